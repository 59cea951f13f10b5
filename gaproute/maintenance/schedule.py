"""Which hosts go next, which copies are loaded where before that, and whether a round can be done at all.

Greedy: first the host whose group (of `apart` or `one_per`) has the most hosts still to go, as that chain
decides when the round ends, then the one with the most lanes, as it is the hardest to place; whoever may not
go now is passed over. When a better order would pay is measured in `benchmarks/rounds.py` against the best
order of all.
"""

import msgspec

from gaproute.maintenance.capacity_floor import ALL, kept, rows_of, worded

SECOND = 1_000_000_000


class SchedulingEstimates(msgspec.Struct, frozen=True):
    """ns that things are believed to take; the ration: loads under way at once that a round may cause."""

    drain: int = 6 * SECOND
    load: int = 4 * SECOND
    seen: int = 2 * SECOND
    ration: int = 2


def groups(asked, fleet, name):
    """The groups of which one host at a time may be away, and that this host is in."""
    found = [("apart", number) for number, group in enumerate(asked.apart) if name in group]
    return found + ([(asked.one_per, getattr(fleet[name], asked.one_per))] if asked.one_per else [])


def barred(asked, fleet, name, away, down=()):
    """What forbids that this host goes beside those `away`, floor aside; or "". `down`: others not there."""
    if len(away) >= asked.together:
        return f"together: {len(away)} are away"
    mine = groups(asked, fleet, name)
    for other in (*away, *down) if mine else ():
        for group in groups(asked, fleet, other):
            if other != name and group in mine:
                return f"apart: {name} and {other}"
    return ""


def order(asked, fleet, waiting):
    """The waiting hosts, the most pressing first."""
    crowd = {}
    for name in waiting:
        for group in groups(asked, fleet, name):
            crowd[group] = crowd.get(group, 0) + 1
    return sorted(
        waiting,
        key=lambda name: (
            -max((crowd[group] for group in groups(asked, fleet, name)), default=0),
            -fleet[name].lanes,
            name,
        ),
    )


def choose(asked, fleet, warm, needs, waiting, away, down=(), order=order):
    """([hosts that may go now], (the first that may not, why) or None). `order`: as above."""
    going, first, away = [], None, list(away)
    for name in order(asked, fleet, waiting):
        why = barred(asked, fleet, name, away, down)
        if not why:
            missing = kept(fleet, warm, needs, asked.survive, (*away, name))
            why = worded(missing) if missing else ""
        if why:
            first = first or (name, why)
            continue
        going.append(name)
        away.append(name)
    return going, first


def loads(asked, fleet, warm, needs, waiting, away, free, loading, had, ration):
    """[(host, function)] to be loaded now. `free`: {host: free slots} of hosts that may load; `loading`:
    [(host, function)] under way; `had`: {host: functions} of those that came back, to be loaded there again;
    `ration`: loads at once. A host loads one copy at a time; one that is to go soon loads none for others if
    it can be helped.
    """
    left, busy, came = ration - len(loading), {host for host, _ in loading}, []
    coming = {name: dict(functions) for name, functions in warm.items()}
    for host, function in loading:
        coming[host][function] = fleet[host].lanes

    def load(host, function):
        nonlocal left
        left -= 1
        busy.add(host)
        coming[host][function] = fleet[host].lanes
        came.append((host, function))

    for host, functions in had.items():  # what was there is put back, the rest is as it was
        for function in functions:
            if left > 0 and host not in busy and free.get(host, 0) > 0 and function not in coming[host]:
                load(host, function)
    nexts = [name for name in order(asked, fleet, waiting) if not barred(asked, fleet, name, away)]
    soon = {name: place for place, name in enumerate(nexts)}
    for leaving in ((), *((name,) for name in nexts)):
        while left > 0 and (missing := kept(fleet, coming, needs, asked.survive, (*away, *leaving))):
            target = _target(fleet, coming, missing, busy, free, (*away, *leaving), soon)
            if target is None:
                break
            load(*target)
        if came or loading:
            break  # one host's way is made free before the next one's
    return came


def _target(fleet, coming, missing, busy, free, without, soon):
    """(host, function) of the most use against what is missing, or None."""
    for (function, scope), _, _, what in missing:
        best = None
        for name, slots in free.items():
            host = fleet[name]
            if (
                slots <= 0
                or name in busy
                or name in without
                or scope not in ("", host.zone)
                or what in (name, host.rack, host.zone)
            ):
                continue
            wanted = function
            if function == ALL:
                if coming[name]:
                    continue
                wanted = next((row[0] for row, *_ in missing if row[0] != ALL), None) or _common(coming)
            if wanted is None or wanted in coming[name]:
                continue
            key = -soon.get(name, 1 << 30), -host.lanes, name
            best = min(best, (key, (name, wanted))) if best else (key, (name, wanted))
        if best:
            return best[1]
    return None


def _common(coming):
    """The function with most copies: the likeliest to be asked for."""
    counts = {}
    for functions in coming.values():
        for name in functions:
            counts[name] = counts.get(name, 0) + 1
    return max(counts, key=lambda name: (counts[name], name), default=None)


class Plan(msgspec.Struct, frozen=True):
    """`steps`: [(ns after the beginning, host)]; `end`: ns when all are back; `why`: what forbids it."""

    steps: tuple[tuple[int, str], ...]
    end: int
    why: str = ""


def plan(asked, fleet, warm, needs, hosts, free, paces, order=order):
    """Plays the round as believed, everything taking its pace. A round that cannot be done names in `why` the
    first thing in its way."""
    warm = {name: dict(functions) for name, functions in warm.items()}
    missing = kept(fleet, warm, needs, asked.survive)
    whole = {}  # what all lanes there are could give, each warm with everything
    for name in fleet:
        every = dict.fromkeys([row[0] for row in needs], fleet[name].lanes)
        for row, lanes in rows_of(fleet[name], every).items():
            whole[row] = whole.get(row, 0) + lanes
    above = [(row, lanes, whole.get(row, 0), "") for row, lanes in needs.items() if lanes > whole.get(row, 0)]
    if above:
        return Plan((), 0, f"{worded(above)}: above all capacity")
    waiting, away, loading, had, free = list(hosts), {}, {}, {}, dict(free)
    now, steps = 0, []
    while True:
        going, first = choose(asked, fleet, warm, needs, waiting, away, (), order)
        for name in going:
            waiting.remove(name)
            steps.append((now, name))
            away[name] = now + paces.drain + asked.out + paces.seen
            had[name], warm[name] = tuple(warm[name]), {}
        for name, function in loads(
            asked,
            fleet,
            warm,
            needs,
            waiting,
            away,
            {name: slots for name, slots in free.items() if name not in away},
            list(loading),
            {name: functions for name, functions in had.items() if name not in away},
            paces.ration,
        ):
            loading[name, function] = now + paces.load + paces.seen
            free[name] -= 1
        times = [*away.values(), *loading.values()]
        if not times:
            if waiting:
                why = first[1] if first else worded(missing)
                return Plan(tuple(steps), now, f"{why}, when {first[0]} is to go" if first else why)
            end = max([0, *(at + paces.drain + asked.out + paces.seen for at, _ in steps)])
            return Plan(
                tuple(steps),
                end,
                "" if end <= asked.by else f"by: it takes {end / SECOND:g} s, by is {asked.by / SECOND:g} s",
            )
        now = min(times)
        for name in [name for name, at in away.items() if at <= now]:
            del away[name]
            free[name] = fleet[name].slots
        for host, function in [copy for copy, at in loading.items() if at <= now]:
            del loading[host, function]
            warm[host][function] = fleet[host].lanes
