"""The change log of a platform cluster: one process that gives each gateway its own addresses of the hosts.

Its faults are the log's own.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from gaproute.cluster.context import ClusterContext
from gaproute.cluster.host_lists import GATHER_TIME, HostPublisher
from gaproute.cluster.hosts import ClusterHosts
from gaproute.cluster.link_faults import LinkFaultSchedule
from gaproute.cluster.links.faults import LinkTraffic
from gaproute.cluster.processes import ClusterProcesses
from gaproute.cluster.script_lines import HostListFaultKind, HostListFaultLine, LinkFaultLine
from gaproute.scenarios.hosts import DayHost, ListedState
from gaproute.scenarios.processes import DayProcess, Routine
from gaproute.standins.platform.host_list import ListedMember, Snapshot, VersionedHostList, member
from gaproute.units import MILLI


class PlatformChangeLog(HostPublisher):
    """Drives the log's process."""

    def __init__(self, context: ClusterContext, hosts: ClusterHosts, processes: ClusterProcesses) -> None:
        super().__init__(context, hosts)
        self.processes = processes
        self._publishing = False
        self._published: dict[str, ListedMember] = {}  # by host
        self._list = VersionedHostList()
        self.process: DayProcess

    def start(self) -> Routine:
        """A coroutine: starts the log's process, which has an address for each gateway."""
        addresses = ["127.0.0.1:0"] * self.context.day.gateways
        settings = {"gateways": addresses, "tap": str(self.context.out / "log.tap")}
        self.process = self.processes.start_stand_in("platform-log", "log", settings)
        started = yield self.processes.first_line(self.process, "the change log")
        self.context.plan.change_log_addresses = started["addresses"]

    def close_input(self) -> None:
        """Ends the process's input, at which the process ends."""
        self.process.close_input()

    def known_to(self, number: int) -> Snapshot:
        """The host list for the file of a gateway that starts now."""
        snapshot = self._list.snapshot()
        for event in snapshot["results"]:
            event["fleet"]["members"] = [
                row | {"host_port": row["host_port"][number]} for row in event["fleet"]["members"]
            ]
        return snapshot

    def publish(self) -> None:
        """Sends an event with what has changed soon."""
        if not self._publishing:
            self._publishing = True
            self.loop.call_later(GATHER_TIME, self.publish_all_now)

    def publish_all_now(self) -> None:
        """Sends one event with what has changed since the last one."""
        self._publishing = False
        changed = list(self._changed_rows())
        if changed:
            self._published |= {row["id"]: row for row in changed}
            self.process.send(self._list.change(*changed))

    def run_link_fault(self, line: LinkFaultLine, schedule: LinkFaultSchedule) -> Routine:
        """A coroutine: informs the log which gateways a fault on its links concerns.

        The ends are drawn as for the fault itself, by the line's own generator.
        """
        chance = self.context.line_random(line)
        yield self.loop.sleep(line.at)
        source, destination = (set(end.names) for end in schedule.resolve_ends(line, chance))
        numbers = [
            number
            for number in range(self.context.day.gateways)
            if (f"g{number}" in source and f"l{number}" in destination)
            or (f"g{number}" in destination and f"l{number}" in source)
        ]
        if not numbers or line.traffic is LinkTraffic.DATAGRAMS:
            return
        self.process.send({"trouble": "elsewhere", "gateways": numbers})
        yield self.loop.sleep(line.lasts)
        self.process.send({"trouble": "elsewhere", "gateways": numbers, "on": False})

    def run_fault(self, line: HostListFaultLine, gateways: Sequence[int]) -> Routine:
        """A coroutine: carries out a `list` line.

        The connections of deaf gateways are silent; these count as notified after 4 s.
        """
        yield self.loop.sleep(line.at)
        fault: dict[str, object] = {"trouble": "silent"}
        if line.kind is HostListFaultKind.LATE:
            fault = {"trouble": "late", "by": line.back}
        self.process.send(fault | {"gateways": gateways})
        self.context.tap.note("list", kind=line.kind, gateways=gateways, lasts=line.lasts)
        yield self.loop.sleep(line.lasts)
        self.process.send(fault | {"gateways": gateways, "on": False})

    def _changed_rows(self) -> Iterator[ListedMember]:
        for host in self.hosts.by_name.values():
            if host.process is None:
                continue  # it was never up
            row, before = self._row(host), self._published.get(host.name)
            if row != before and (before is not None or row["phase"] != "Gone"):
                yield row

    def _row(self, host: DayHost) -> ListedMember:
        """A host as an event has it, with an address for each gateway."""
        addresses = [self.context.plan.host(number, host) for number in range(self.context.day.gateways)]
        return member(
            host.name,
            addresses,
            ListedState.GONE if host.state == ListedState.ABSENT else host.state,
            host.zone,
            host.number % self.context.day.racks,
            host.kind.cores * host.kind.speed,
            host.started // MILLI if host.started else 0,
        )
