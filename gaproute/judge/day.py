"""The taps of a day by subject. Imports nothing that is judged.

Events are dicts with `at` (ns on the machine's one monotonic clock) and `what`; `gaproute.standins` writes
them. The gateway's own word is not heard: tasks are known by the id in their KServe body.
"""

from collections import defaultdict

from gaproute.judge.senders import Senders

SECOND = 1_000_000_000
NEVER_RAN = (429, 404)


class Day:
    """The taps by subject."""

    def __init__(self, hosts, clients, run):
        self.hosts = hosts  # {host: [its runs' events]}, each run begins with "up"
        self.clients, self.run = clients, run
        self.ends = {}  # task: its last event at the client
        for event in clients:
            if event["what"] in ("answer", "overdue", "left", "broken"):
                self.ends.setdefault(event["id"], []).append(event)
        self.arrivals = defaultdict(list)  # task: [(at, host, event)]
        said = defaultdict(list)
        for host, runs in hosts.items():
            for events in runs:
                for event in events:
                    if event["what"] == "task":
                        self.arrivals[event["id"]].append((event["at"], host, event))
                    elif event["what"] == "said":
                        said[event["id"], host].append((event["at"], event["status"]))
        self.said = said
        for arrivals in self.arrivals.values():
            arrivals.sort(key=lambda arrival: arrival[0])
        # Spans in which a gateway did not run: killed or stopped.
        self.stops = defaultdict(list)
        self.endings = defaultdict(list)  # gateway: (asked to end, ended), after which it starts again
        since, asked = {}, {}
        for event in sorted(run, key=lambda event: event["at"]):
            if event["what"] in ("killed", "stopped"):
                since[event["gateway"]] = event["at"]
                if event["gateway"] in asked:
                    self.endings[event["gateway"]].append((asked.pop(event["gateway"]), event["at"]))
            elif event["what"] == "ending":
                asked[event["gateway"]] = event["at"]
            elif event["what"] in ("started", "continued") and event["gateway"] in since:
                self.stops[event["gateway"]].append((since.pop(event["gateway"]), event["at"]))
        for gateway, at in since.items():
            self.stops[gateway].append((at, 1 << 62))
        self.senders = Senders(hosts, self.ends, run)
        self.held_up = held_up(run)

    def sent(self, gateway, host, at):
        """The earliest time at which what arrived then may have been sent, by the faults on the wire between
        the two: bytes that were kept back may be as old as the fault."""
        return min(
            (
                max(begin, at - late)
                for begin, end, late, gateways, hosts in self.held_up
                if begin <= at <= end and gateway in gateways and host in hosts
            ),
            default=at,
        )

    def waited(self, host, place, event):
        """How long before it arrived something may have been sent, ns. `place`: of the host's run."""
        return event["at"] - self.sent(self.senders.number(host, place, event), host, event["at"])

    def ran(self, task, at, host):
        """Whether this arrival may have run: the host did not say, in full, that it never did."""
        later = [status for said, status in self.said[task, host] if said >= at]
        return not later or later[0] not in NEVER_RAN

    def stopped_within(self, gateway, begin, end):
        return any(start <= end and stop + SECOND >= begin for start, stop in self.stops[gateway])

    def ending_at(self, gateway, at):
        """Whether it had been asked to end then: it may close a connection just as a request comes on it,
        which no client can tell from a request that was read."""
        return any(begin <= at <= end for begin, end in self.endings[gateway])


def held_up(run):
    """[(begin, end, late, gateways, hosts)] of the faults under which bytes may reach hosts late, `late` ns
    at most."""
    spans, open_since = [], {}
    for event in sorted(run, key=lambda event: event["at"]):
        if event["what"] != "fault" or not event.get("ways"):
            continue
        if event["on"]:
            open_since[event["id"]] = event
        elif event["id"] in open_since:
            begin = open_since.pop(event["id"])
            spans.append((begin["at"], event["at"] + event["slack"], event))
    spans += [(event["at"], 1 << 62, event) for event in open_since.values()]
    return [
        (begin, end, event["late"], frozenset(gateways), frozenset(hosts))
        for begin, end, event in spans
        for gateways, hosts in event["ways"]
    ]
