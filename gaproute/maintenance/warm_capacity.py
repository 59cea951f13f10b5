"""What is believed warm: a lower bound, from what was confirmed lately, by whom, and how long ago.

A copy counts where the host showed it to this gateway itself, or where two others tell that they saw it and
the host has not shown this one otherwise since. What was seen before a host came back, or before this
scheduler had its turn, counts for nothing: it may be of another life of the host, or from before another
round took it out. Beliefs only lose by age; none gains.
"""

import msgspec

SECOND = 1_000_000_000

FRESH = 5 * SECOND  # a sight counts in full so long: some probes of one host
STALE = 20 * SECOND  # and for nothing from here on, evenly less in between: a death shows within it
TOLD = 5 * SECOND  # what others told may have been on its way so long, whatever age it says
WITNESSES = 2  # others that must have seen a copy: one alone may tell nonsense


class HostReport(msgspec.Struct, frozen=True):
    """A host as it last showed itself. `asked`: own clock's ns when it was asked that; `start`: of its
    process; `mark`: of the order to drain, or to stop that, which it took last; `hands`: tasks in hand;
    `power`: per mille of its lanes' full pace that it has now (cold hosts have less); `free`: slots without a
    copy and not being loaded; `copies`: functions that it has warm; `loading`: those on their way; `done`:
    the last round whose crew restarted it."""

    asked: int
    start: int
    draining: bool = False
    mark: tuple[int, int] = (0, 0)
    hands: int = 0
    power: int = 1000
    free: int = 0
    copies: tuple[str, ...] = ()
    loading: tuple[str, ...] = ()
    done: str = ""


def weight(age):
    """Per mille that a sight so old counts."""
    if age <= FRESH:
        return 1000 if age >= 0 else 0
    return max(0, 1000 * (STALE - age) // (STALE - FRESH))


def sight(now, me, function, seen, told, since):
    """Per mille that a copy counts. `seen`: what the host showed this gateway, from when it was asked that;
    `told`: (age, tellers) by `GossipNode.warm_instances`, or None; nothing seen before `since` counts."""
    if function in seen.copies:
        return weight(now - seen.asked) if seen.asked > since else 0
    if told is None:
        return 0
    age, tellers = told
    at = now - age - TOLD
    others = sum(name != me for name in tellers)
    return weight(age + TOLD) if others >= WITNESSES and at > since and at > seen.asked else 0


def lanes(now, me, fleet, sights, shown, since):
    """{host: {function: lanes}} believed warm now. `sights`: {function: {host: (age, tellers)}} as
    `GossipNode.warm_instances` has them; `shown`: {host: HostReport}; `since`: {host: ns before which nothing
    counts}, of all hosts that count."""
    found = {name: {} for name in fleet}
    for name, host in fleet.items():
        seen = shown.get(name)
        if seen is None or seen.draining or name not in since:
            continue
        told = [function for function, hosts in sights.items() if name in hosts]
        for function in dict.fromkeys((*seen.copies, *told)):
            counts = sight(now, me, function, seen, sights.get(function, {}).get(name), since[name])
            counts = counts * min(1000, seen.power) // 1000
            if counts:
                found[name][function] = host.lanes * counts // 1000
    return found
