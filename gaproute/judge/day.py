"""The taps of a day by subject. Imports nothing that is judged.

Events are dicts with `at` (ns on the machine's one monotonic clock) and `what`; `gaproute.standins` writes
them. The gateway's own word is not heard: tasks are known by the id in their KServe body.
"""

from collections import defaultdict

from gaproute.judge.downtime import FOREVER, Downtime
from gaproute.judge.senders import Senders

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
        self.downtime = Downtime(run)
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
    spans += [(event["at"], FOREVER, event) for event in open_since.values()]
    return [
        (begin, end, event["late"], frozenset(gateways), frozenset(hosts))
        for begin, end, event in spans
        for gateways, hosts in event["ways"]
    ]
