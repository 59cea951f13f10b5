"""Plays a cluster script with the platform's gateways (`cluster kind platform`): same faults and rules."""

from __future__ import annotations

from gaproute.cluster.gateways import GatewayParts
from gaproute.cluster.harness import ClusterHarness
from gaproute.cluster.links.faults import BLOCKING_KINDS
from gaproute.cluster.platform.change_log import PlatformChangeLog
from gaproute.cluster.platform.clients import PlatformClusterClients
from gaproute.cluster.platform.gateways import PlatformGateways
from gaproute.cluster.platform.hosts import PlatformClusterHosts
from gaproute.cluster.script import ClusterScript
from gaproute.cluster.script_lines import GatewayKind
from gaproute.scenarios.processes import Routine


class PlatformHarness(ClusterHarness):
    """One play with the platform's gateways, their hosts, change log and clients."""

    hosts: PlatformClusterHosts
    host_list: PlatformChangeLog
    gateways: PlatformGateways
    clients: PlatformClusterClients

    def create_actors(self) -> None:
        """Makes hosts, change log, gateways and clients."""
        for number, model in enumerate(self.models, 1):
            model["name"] = f"{number:016x}"  # as the platform names functions
        self.plan.announce_callers = True  # orders bear their gateway's name, for rule 5
        self.hosts = PlatformClusterHosts(
            self.context, self.processes, self.models, starts=self.starts, emulators=self.links
        )
        self.host_list = PlatformChangeLog(self.context, self.hosts, self.processes)
        parts = GatewayParts(self.context, self.record, self.starts)
        self.gateways = PlatformGateways(self, parts, self.host_list)
        self.clients = PlatformClusterClients(self, self.context)

    def start_store(self) -> Routine:
        """A coroutine: starts the store, and the processes that hosts and gateways need."""
        yield from super().start_store()
        yield from self.hosts.start_processes()
        yield from self.host_list.start()
        yield from self.gateways.start_peer_broadcast()

    def day_routines(self) -> list[Routine]:
        """What happens during the day, as coroutines.

        Clients wait until all gateways answer them; the script's times count from their first request.
        """
        link_faults = [
            self.host_list.run_link_fault(line, self.link_faults)
            for line in self.script.link_faults
            if self.links.running and line.kind in BLOCKING_KINDS
        ]
        return [self._after_first_requests(routine) for routine in [*super().day_routines(), *link_faults]]

    def _after_first_requests(self, routine: Routine) -> Routine:
        # Not `yield from`: the loop sends what each promise came to, which an iterator of a list cannot take.
        for first_request in self.clients.first_requests:  # noqa: UP028
            yield first_request
        yield from routine

    def host_latenesses(self) -> list[int]:
        """How late the hosts and their processes ran during the day, as they noted it, ns."""
        return [*super().host_latenesses(), *self._latenesses_in("hosts-*.tap")]

    def shut_down(self) -> Routine:
        """A coroutine: ends all processes, and adds the change log's tap to the harness's own."""
        yield from super().shut_down()
        self.tap.flush()
        log_tap = self.out / "log.tap"
        if log_tap.exists():
            self.tap.append_lines(log_tap.read_bytes())


def harness_class(script: ClusterScript) -> type[ClusterHarness]:
    """The class that plays a cluster's script."""
    is_platform = script.cluster is not None and script.cluster.kind is GatewayKind.PLATFORM
    return PlatformHarness if is_platform else ClusterHarness
