"""What a checked configuration becomes: the settings that the parts of the appliance start with."""

from collections.abc import Sequence
from typing import Any

from gaproute import interface
from gaproute.config.directives import fleet, process, requests
from gaproute.config.parsing import DirectiveType, NamedDirective, directives_of

IDEMPOTENCY = {kind.value: kind for kind in interface.Idempotency}
GROUPS = {
    "all": interface.IdempotencyScope.ALL,
    "zone": interface.IdempotencyScope.ZONE,
    "rack": interface.IdempotencyScope.CELL,
}


class Configuration:
    """A checked configuration: directives by their kind, and the terms that the decisions are given."""

    def __init__(self, file: str, found: Sequence[NamedDirective]) -> None:
        """Errors: ImportError, AttributeError for a class of decisions that does not exist."""
        lines = _Lines(found)
        self.file = file
        self.name: str = lines.one(fleet.NameLine).name
        self.listen_addresses: list[tuple[str, str]] = [
            (line.kind, line.where) for line in lines.all(fleet.ListenLine)
        ]
        self.hosts = lines.all(fleet.HostLine)
        self.hosts_file = lines.first(fleet.HostsFileLine)
        self.cells = lines.first(fleet.CellsLine)
        self.cell_hosts = lines.first(fleet.CellHostsLine)
        self.request_classes = lines.all(requests.RequestClassLine)
        self.models = {line.name: line for line in lines.all(requests.ModelLine)}
        self.tenants = {line.name: index for index, line in enumerate(lines.all(requests.TenantLine))}
        self.peers = lines.all(fleet.PeerLine)
        self.peers_file = lines.first(fleet.PeersFileLine)
        self.observation_file: str | None = next(
            (line.path for line in lines.all(fleet.ObservationFileLine)), None
        )
        self.raft_group = lines.first(fleet.RaftGroupLine)
        self.client_limits = lines.one(process.ClientLimitsLine)
        self.host_limits = lines.one(process.HostLimitsLine)
        self.log_level: str = lines.one(process.LogLine).level
        self.decisions: Any = lines.one(process.DecisionsLine).load()  # a class that only the file names
        # ns that a request may take
        self.max_deadline = max(line.limit for line in self.request_classes)
        self.capacities_reported = lines.one(requests.CapacitiesLine).enabled
        self.gossip_enabled = lines.one(fleet.GossipLine).enabled
        self.terms = _terms(lines, self.request_classes, self.cells)

    def assign_process_slot(self, number: int, count: int) -> None:
        """Makes this the configuration of one of `count` processes behind the same addresses for clients.

        Its name, its other addresses and its files are its own; the other processes are its peers where it
        has an address for peers at all.
        """
        base = self.name
        self.name = f"{base}-{number}"
        peer_addresses = [where for kind, where in self.listen_addresses if kind == "peers"]
        self.listen_addresses = [
            (kind, where if kind == "kserve" else _address_of_slot(where, number))
            for kind, where in self.listen_addresses
        ]
        if self.observation_file is not None:
            self.observation_file = f"{self.observation_file}.{number}"
        if self.cells is not None and self.cells.stored_table is not None:
            self.cells = self.cells.model_copy(update={"stored_table": f"{self.cells.stored_table}.{number}"})
        if peer_addresses and not self.peers_file:
            self.peers = self.peers + [
                fleet.PeerLine(name=f"{base}-{other}", where=_address_of_slot(peer_addresses[0], other))
                for other in range(count + 1)
                if other != number
            ]


class _Lines:
    """The directives of a file by their class."""

    def __init__(self, found: Sequence[NamedDirective]) -> None:
        self._found = found

    def all(self, kind: type[DirectiveType]) -> list[DirectiveType]:
        return directives_of(self._found, kind)

    def first(self, kind: type[DirectiveType]) -> DirectiveType | None:
        """The first directive of that class, or None."""
        return next(iter(self.all(kind)), None)

    def one(self, kind: type[DirectiveType]) -> DirectiveType:
        """The first directive of that class; one with all its defaults if there is none."""
        return self.first(kind) or kind.model_construct()


def _terms(
    lines: _Lines, request_classes: list[requests.RequestClassLine], cells: fleet.CellsLine | None
) -> interface.RoutingSettings:
    """The terms of the deployment, as the decisions take them."""
    instances, attempts = lines.one(requests.WarmInstancesLine), lines.one(requests.AttemptsLine)
    slow_start, reports = lines.one(requests.SlowStartLine), lines.one(requests.ReportsLine)
    return interface.RoutingSettings(
        request_classes=tuple(map(_request_class, request_classes)),
        tenant_shares=tuple(line.share for line in lines.all(requests.TenantLine)),
        over_share_value=lines.one(requests.OverShareWeightLine).value,
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
        peers_allowed=False,  # gateways of the appliance exchange more, over their own protocol
        gateways=cells.gateways if cells else 1,
        cancel_allowed=attempts.cancel,
        hedging_allowed=attempts.twins,
        attempt_limit=attempts.limit,
        retry_after_limit=lines.one(requests.RetryAfterLine).limit,
        warm_up_share=slow_start.share,
        warm_up_time=slow_start.time,
        host_list_polled=False,
        zone=-1,
        crossing_price=0.0,
    )


def _request_class(line: requests.RequestClassLine) -> interface.RequestClass:
    return interface.RequestClass(
        IDEMPOTENCY[line.effect],
        GROUPS[line.group],
        line.remembers,
        line.contract,
        line.limit,
        line.earnings,
    )


def _address_of_slot(where: str, number: int) -> str:
    """The address of one process beside the others: the path or the port, counted on."""
    if where.startswith("unix:"):
        return f"{where}.{number}"
    host, _, port = where.rpartition(":")
    return f"{host}:{int(port) + number if int(port) else 0}"
