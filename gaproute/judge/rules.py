"""Judges a day by its taps: what hosts and clients saw on their sockets, and what was told to whom and when.

What arrives through a fault on the wire may have been sent earlier: what rests on its time (rules 1 and 3, a
receipted task's window) goes by the earliest time that the fault allows; rules 4 and 5, which count what
comes together, pass over what may have waited for longer than `transit`. What rests on its being there is
not touched.
"""

from bisect import bisect_left, bisect_right
from collections import defaultdict

from gaproute.judge.answers import answers
from gaproute.judge.day import Day
from gaproute.judge.facts import Broken, Kind


def judge(facts, hosts, clients, run):
    """[Broken] of a day. `hosts`: {name: [[events of a run], ...]}; `clients`, `run`: [events]."""
    day = Day(hosts, clients, run)
    found = []
    for rule in (answers, effects, drains, cold, rations):
        found += rule(facts, day)
    return sorted(found, key=lambda broken: (broken.rule, broken.at))


def effects(facts, day):
    """Rule 2, by what the hosts said of each arrival."""
    for task, arrivals in day.arrivals.items():
        track = arrivals[0][2]["track"]
        effect = facts.effects[track]
        if effect == "pure":
            continue
        first = None  # the first arrival that may have run
        for at, host, event in arrivals:
            if first is not None:
                if effect == "effectful":
                    yield Broken(
                        2,
                        at,
                        f"effectful task {task}: sent to {host}, may have run at {first[1]}",
                        Kind.DUPLICATE,
                    )
                else:
                    sent = day.sent(day.senders.number(host, None, event), host, at)
                    if sent > first[0] + facts.windows[track] + facts.transit:
                        yield Broken(
                            2, at, f"receipted task {task}: sent again after its window", Kind.WINDOW
                        )
                    place = {"all": 0, "zone": 1, "rack": 2}[facts.groups[track]]
                    if place and facts.places[host][place - 1] != facts.places[first[1]][place - 1]:
                        yield Broken(
                            2,
                            at,
                            f"receipted task {task}: sent to {host}, outside {first[1]}'s group",
                            Kind.GROUP,
                        )
                    if event["mark"] != first[2]["mark"]:
                        yield Broken(
                            2, at, f"receipted task {task}: its mark changed between relays", Kind.KEY
                        )
            elif day.ran(task, at, host):
                first = (at, host, event)
        end = day.ends.get(task, [None])[0]
        declined = end is not None and end["what"] == "answer" and end["outcome"] == "declined"
        if declined and first is not None and not (effect == "receipted" and facts.groups[track] == "all"):
            yield Broken(
                2, end["at"], f"{effect} task {task}: declined, may have run at {first[1]}", Kind.REFUSED
            )


def drains(facts, day):
    """Rule 3. `told` events: {host, state}, of a gateway with a list of its own {gateway} as well; the grace
    runs from the first telling. Who sent is asked of the clients; of an unknown one the last telling
    counts."""
    told = defaultdict(lambda: defaultdict(list))
    for event in day.run:
        if event["what"] == "told":
            told[event["host"]][event.get("gateway")].append((event["at"], event["state"]))
    for host, by_gateway in told.items():
        spans = {gateway: drained(facts, changes) for gateway, changes in by_gateway.items()}
        for place, events in enumerate(day.hosts.get(host, ())):
            for event in events:
                if event["what"] != "task" and (event["what"] != "order" or event["count"] <= 0):
                    continue
                sender = day.senders.number(host, place, event)
                by = (
                    [spans.get(sender, spans.get(None, []))]
                    if sender is not None or None in spans
                    else list(spans.values())
                )
                sent = day.sent(sender, host, event["at"])
                if all(any(begin < sent and event["at"] < end for begin, end in each) for each in by):
                    yield Broken(
                        3,
                        event["at"],
                        f"{event['what']} to {host}, told draining or gone before"
                        + (f", by g{sender}" if None not in spans else ""),
                        Kind.DRAIN,
                    )


def drained(facts, changes):
    """[(begin, end)] in which nothing may arrive, by one gateway's tellings."""
    changes.sort()
    spans = []
    for place, (at, state) in enumerate(changes):
        if state != "active" and (place == 0 or changes[place - 1][1] == "active"):
            back = [later for later, next_state in changes[place:] if next_state == "active"]
            spans.append((at + facts.drain_grace + facts.transit, back[0] if back else 1 << 62))
    return spans


def cold(facts, day):
    """Rule 4: the work sent to a cold host within any window stays under multiple x capacity x window."""
    for host, runs in day.hosts.items():
        for place, events in enumerate(runs):
            up = next((event for event in events if event["what"] == "up"), None)
            if up is None or up["warm"]:
                continue
            arrivals = [
                event
                for event in events
                if event["what"] == "task" and day.waited(host, place, event) <= facts.transit
            ]
            begin, total = 0, 0
            for event in arrivals:
                age = event["at"] - up["at"]
                if age >= up["cold_time"]:
                    break
                total += event["work"]
                while arrivals[begin]["at"] <= event["at"] - up["tip"]:
                    total -= arrivals[begin]["work"]
                    begin += 1
                share = up["cold_share"] + (1 - up["cold_share"]) * age / up["cold_time"]
                able = up["cores"] * up["speed"] * share * up["tip"]
                if total > up["fall_multiple"] * able:
                    yield Broken(
                        4,
                        event["at"],
                        f"cold {host}: {total / able:.1f} times what it can do",
                        Kind.SLOW_START,
                    )
                    break


def rations(facts, day):
    """Rule 5, for each gateway since its last start; counted where the orders arrive."""
    if facts.order_window <= 0:
        return
    orders, taken, starts = defaultdict(list), defaultdict(list), defaultdict(list)
    for host, runs in day.hosts.items():
        for place, events in enumerate(runs):
            for event in events:
                if (
                    event["what"] != "order"
                    or event["count"] <= 0
                    or day.waited(host, place, event) > facts.transit
                ):
                    continue
                sender = day.senders.name(host, place, event)
                if sender is not None:  # else it is nobody's: the order's connection carried no task
                    orders[sender].append(event["at"])
    names = day.senders.names
    for event in day.run:
        if event["what"] == "started":
            starts[names[event["gateway"]]].append(event["at"])
    for ends in day.ends.values():
        taken[names.get(ends[0]["gateway"], str(ends[0]["gateway"]))].append(ends[0]["asked"])
    for gateway, times in orders.items():
        times.sort()
        asked = sorted(taken[gateway])
        for at in times:
            since = max([at - facts.order_window] + [start for start in starts[gateway] if start <= at])
            ordered = bisect_right(times, at) - bisect_right(times, since)
            allowed = facts.order_free + facts.order_share * (
                bisect_right(asked, at) - bisect_left(asked, since - facts.transit)
            )
            if ordered > allowed:
                yield Broken(
                    5, at, f"gateway {gateway}: {ordered} load orders, {allowed:.1f} allowed", Kind.RATION
                )
                break
