"""The settings that the parts of the appliance start with, made from checked directives."""

from collections.abc import Sequence
from typing import Any

from gaproute import interface
from gaproute.config.directives import fleet, process, requests
from gaproute.config.parsing import DirectiveType, NamedDirective, directives_of

IDEMPOTENCY_BY_EFFECT = {kind.value: kind for kind in interface.Idempotency}
IDEMPOTENCY_SCOPE_BY_GROUP = {
    "all": interface.IdempotencyScope.ALL,
    "zone": interface.IdempotencyScope.ZONE,
    "rack": interface.IdempotencyScope.CELL,
}


class Configuration:
    """A checked configuration: its directives by class, and the settings of the routing decisions."""

    def __init__(self, file: str, directives: Sequence[NamedDirective]) -> None:
        """Errors: ImportError, AttributeError if the class of the routing decisions does not exist."""
        lines = _DirectiveLookup(directives)
        self.file = file
        self.name: str = lines.first_or_default(fleet.NameLine).name
        self.listen_addresses: list[tuple[str, str]] = [
            (line.kind, line.where) for line in lines.all_of(fleet.ListenLine)
        ]
        self.hosts = lines.all_of(fleet.HostLine)
        self.hosts_file = lines.first_of(fleet.HostsFileLine)
        self.cells = lines.first_of(fleet.CellsLine)
        self.cell_hosts = lines.first_of(fleet.CellHostsLine)
        self.request_classes = lines.all_of(requests.RequestClassLine)
        self.models = {line.name: line for line in lines.all_of(requests.ModelLine)}
        self.tenants = {line.name: index for index, line in enumerate(lines.all_of(requests.TenantLine))}
        self.peers = lines.all_of(fleet.PeerLine)
        self.peers_file = lines.first_of(fleet.PeersFileLine)
        self.observation_file: str | None = next(
            (line.path for line in lines.all_of(fleet.ObservationFileLine)), None
        )
        self.raft_group = lines.first_of(fleet.RaftGroupLine)
        self.client_limits = lines.first_or_default(process.ClientLimitsLine)
        self.host_limits = lines.first_or_default(process.HostLimitsLine)
        self.log_level: str = lines.first_or_default(process.LogLine).level
        # Any: the class is known only at run time
        self.decisions: Any = lines.first_or_default(process.DecisionsLine).load_class()
        # the longest hard limit of a request, ns
        self.max_deadline = max(line.limit for line in self.request_classes)
        self.capacities_reported = lines.first_or_default(requests.CapacitiesLine).enabled
        self.gossip_enabled = lines.first_or_default(fleet.GossipLine).enabled
        self.routing_settings = _routing_settings(lines, self.request_classes, self.cells)

    def assign_process_slot(self, number: int, count: int) -> None:
        """Makes this the configuration of process `number` of `count` that share the addresses for clients.

        The process gets its own name, its own file names, and its own addresses except those for clients. If
        it has an address for peers and no peers-file, the other processes become its peers.
        """
        base = self.name
        self.name = f"{base}-{number}"
        peer_addresses = [where for kind, where in self.listen_addresses if kind == "peers"]
        self.listen_addresses = [
            (kind, where if kind == "kserve" else _process_slot_address(where, number))
            for kind, where in self.listen_addresses
        ]
        if self.observation_file is not None:
            self.observation_file = f"{self.observation_file}.{number}"
        if self.cells is not None and self.cells.stored_table is not None:
            self.cells = self.cells.model_copy(update={"stored_table": f"{self.cells.stored_table}.{number}"})
        if peer_addresses and not self.peers_file:
            self.peers = self.peers + [
                fleet.PeerLine(name=f"{base}-{other}", where=_process_slot_address(peer_addresses[0], other))
                for other in range(count + 1)
                if other != number
            ]


class _DirectiveLookup:
    """Finds the directives of a file by their class."""

    def __init__(self, directives: Sequence[NamedDirective]) -> None:
        self._directives = directives

    def all_of(self, directive_type: type[DirectiveType]) -> list[DirectiveType]:
        return directives_of(self._directives, directive_type)

    def first_of(self, directive_type: type[DirectiveType]) -> DirectiveType | None:
        """The first directive of that class, or None."""
        return next(iter(self.all_of(directive_type)), None)

    def first_or_default(self, directive_type: type[DirectiveType]) -> DirectiveType:
        """The first directive of that class, or one with all its defaults."""
        return self.first_of(directive_type) or directive_type.model_construct()


def _routing_settings(
    lines: _DirectiveLookup, request_classes: list[requests.RequestClassLine], cells: fleet.CellsLine | None
) -> interface.RoutingSettings:
    """The settings of the deployment that the routing decisions take."""
    instances, attempts = (
        lines.first_or_default(requests.WarmInstancesLine),
        lines.first_or_default(requests.AttemptsLine),
    )
    slow_start, reports = (
        lines.first_or_default(requests.SlowStartLine),
        lines.first_or_default(requests.ReportsLine),
    )
    return interface.RoutingSettings(
        request_classes=tuple(map(_request_class, request_classes)),
        tenant_shares=tuple(line.share for line in lines.all_of(requests.TenantLine)),
        over_share_value=lines.first_or_default(requests.OverShareWeightLine).value,
        keep_alive=instances.keep,
        load_orders_allowed=instances.orders,
        load_orders_free=instances.free,
        load_order_share=instances.share,
        load_order_window=instances.window,
        same_function_counted=instances.alike,
        warmth_reported=instances.notes,
        probes_allowed=reports.probes,
        reports_by_probe=reports.source == "probe",
        reported_figures=(),
        probe_price=0.0,
        peer_price=0.0,
        peers_allowed=False,  # gateways of the appliance exchange observations by a protocol of their own
        gateways=cells.gateways if cells else 1,
        cancel_allowed=attempts.cancel,
        hedging_allowed=attempts.twins,
        attempt_limit=attempts.limit,
        retry_after_limit=lines.first_or_default(requests.RetryAfterLine).limit,
        warm_up_share=slow_start.share,
        warm_up_time=slow_start.time,
        host_list_polled=False,
        zone=-1,
        crossing_price=0.0,
    )


def _request_class(line: requests.RequestClassLine) -> interface.RequestClass:
    return interface.RequestClass(
        IDEMPOTENCY_BY_EFFECT[line.effect],
        IDEMPOTENCY_SCOPE_BY_GROUP[line.group],
        line.remembers,
        line.contract,
        line.limit,
        line.earnings,
    )


def _process_slot_address(where: str, number: int) -> str:
    """The address of one process: the path with its number appended, or the port plus its number."""
    if where.startswith("unix:"):
        return f"{where}.{number}"
    host, _, port = where.rpartition(":")
    return f"{host}:{int(port) + number if int(port) else 0}"
