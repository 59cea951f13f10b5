"""The taps of a day by subject: requests, hosts, gateways.

Nothing that a gateway says of itself is read: requests are known by the id in their body.
"""

from collections import defaultdict
from collections.abc import Mapping, Sequence

from gaproute.judge.cpu_waits import CpuWaits
from gaproute.judge.downtime import Downtime
from gaproute.judge.events import (
    Attempt,
    GatewayEvent,
    HostArrival,
    HostRun,
    LinkFaultEvent,
    ListNotification,
    ProcessCpuWait,
    RequestEnd,
    UnmatchedAnswer,
)
from gaproute.judge.link_faults import LinkFaults
from gaproute.judge.senders import Senders
from gaproute.judge.tap_reading import TapEvent, read_client_events, read_host_run, read_run_events

NEVER_RAN_STATUSES = (429, 404)  # by which a host says in full that a request has not run there

HostTaps = Mapping[str, Sequence[Sequence[TapEvent]]]  # by host: one tap for each process that it had


class Day:
    """What passed on the sockets of a day."""

    def __init__(self, hosts: HostTaps, clients: Sequence[TapEvent], run: Sequence[TapEvent]) -> None:
        self.hosts: dict[str, list[HostRun]] = {
            host: [read_host_run(host, number, events) for number, events in enumerate(taps)]
            for host, taps in hosts.items()
        }
        self.ends: dict[str, list[RequestEnd]] = {}  # by request, in the order of its client's tap
        self.unmatched_answers: list[UnmatchedAnswer] = []
        self._read_clients(clients)
        self.attempts: dict[str, list[Attempt]] = defaultdict(list)  # by request, in the order of time
        self._answers: dict[tuple[str, str], list[tuple[int, int]]] = defaultdict(list)
        self._read_hosts()
        run_events = list(read_run_events(run))
        self.gateway_events = [event for event in run_events if isinstance(event, GatewayEvent)]
        self.notifications = [event for event in run_events if isinstance(event, ListNotification)]
        self.downtime = Downtime(self.gateway_events)
        self.cpu_waits = CpuWaits(event for event in run_events if isinstance(event, ProcessCpuWait))
        self.senders = Senders(self.hosts, self.ends, self.gateway_events)
        self.link_faults = LinkFaults(event for event in run_events if isinstance(event, LinkFaultEvent))

    def _read_clients(self, clients: Sequence[TapEvent]) -> None:
        for event in read_client_events(clients):
            if isinstance(event, RequestEnd):
                self.ends.setdefault(event.request, []).append(event)
            else:
                self.unmatched_answers.append(event)

    def _read_hosts(self) -> None:
        for host, runs in self.hosts.items():
            for run in runs:
                for attempt in run.attempts:
                    self.attempts[attempt.request].append(attempt)
                for answer in run.answers:
                    self._answers[answer.request, host].append((answer.at, answer.status))
        for attempts in self.attempts.values():
            attempts.sort(key=lambda attempt: attempt.at)

    def earliest_send_time(self, arrival: HostArrival) -> int:
        """When it may have been sent at the earliest, by the faults on its link, ns."""
        gateway = self.senders.gateway_of(arrival)
        return self.link_faults.earliest_send_time(gateway, arrival.host, arrival.at)

    def longest_transit(self, arrival: HostArrival) -> int:
        """For how long it may have been on its way at most, ns."""
        return arrival.at - self.earliest_send_time(arrival)

    def may_have_run(self, attempt: Attempt) -> bool:
        """Whether the host did not say, in full, that this attempt never ran."""
        later = [status for at, status in self._answers[attempt.request, attempt.host] if at >= attempt.at]
        return not later or later[0] not in NEVER_RAN_STATUSES
