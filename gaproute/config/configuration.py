"""What a checked configuration becomes: the settings that the parts of the appliance start with."""

from collections.abc import Sequence
from typing import Any

from gaproute import interface
from gaproute.config.directives import DIRECTIVES
from gaproute.config.directives.fleet import (
    CellHostsLine,
    CellsLine,
    HostLine,
    HostsFileLine,
    PeerLine,
    PeersFileLine,
    RaftGroupLine,
)
from gaproute.config.directives.process import ClientLimitsLine, HostLimitsLine
from gaproute.config.directives.requests import ModelLine, RequestClassLine
from gaproute.config.parsing import NamedDirective

IDEMPOTENCY = {kind.value: kind for kind in interface.Idempotency}
GROUPS = {"all": interface.Group.ALL, "zone": interface.Group.ZONE, "rack": interface.Group.CELL}


class Configuration:
    """A checked configuration: directives by their kind, and the terms that the decisions are given."""

    def __init__(self, file: str, found: Sequence[NamedDirective]) -> None:
        """Errors: ImportError, AttributeError for a class of decisions that does not exist."""
        lines = _Lines(found)
        self.file = file
        self.name: str = lines.one("name").name
        self.listen_addresses: list[tuple[str, str]] = [
            (line.kind, line.where) for line in lines.all("listen")
        ]
        self.hosts: list[HostLine] = lines.all("host")
        self.hosts_file: HostsFileLine | None = lines.first("hosts-file")
        self.cells: CellsLine | None = lines.first("cells")
        self.cell_hosts: CellHostsLine | None = lines.first("cell-hosts")
        self.request_classes: list[RequestClassLine] = lines.all("track")
        self.models: dict[str, ModelLine] = {line.name: line for line in lines.all("model")}
        self.tenants: dict[str, int] = {line.name: place for place, line in enumerate(lines.all("tenant"))}
        self.peers: list[PeerLine] = lines.all("peer")
        self.peers_file: PeersFileLine | None = lines.first("peers-file")
        self.observation_file: str | None = next((line.path for line in lines.all("memory")), None)
        self.raft_group: RaftGroupLine | None = lines.first("keepers")
        self.client_limits: ClientLimitsLine = lines.one("clients")
        self.host_limits: HostLimitsLine = lines.one("reach")
        self.log_level: str = lines.one("log").level
        self.decisions: Any = lines.one("decisions").load()
        self.max_deadline: int = max(
            line.limit for line in self.request_classes
        )  # ns that a request may take
        self.capacities_reported: bool = lines.one("sizes").enabled
        self.gossip_enabled: bool = lines.one("weak-word").enabled
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
                PeerLine(name=f"{base}-{other}", where=_address_of_slot(peer_addresses[0], other))
                for other in range(count + 1)
                if other != number
            ]


class _Lines:
    """The directives of a file by their name."""

    def __init__(self, found: Sequence[NamedDirective]) -> None:
        self._by_name: dict[str, list[Any]] = {}
        for name, directive in found:
            self._by_name.setdefault(name, []).append(directive)

    def all(self, name: str) -> list[Any]:
        return list(self._by_name.get(name, ()))

    def first(self, name: str) -> Any:
        """The first directive of that name, or None."""
        return next(iter(self._by_name.get(name, ())), None)

    def one(self, name: str) -> Any:
        """The directive of that name; its defaults where there is none."""
        return self.first(name) or DIRECTIVES[name].model_construct()


def _terms(
    lines: _Lines, request_classes: list[RequestClassLine], cells: CellsLine | None
) -> interface.Terms:
    """The terms of the deployment, as the decisions take them."""
    copies, relays, cold, reports = (lines.one(name) for name in ("copies", "relays", "cold", "reports"))
    return interface.Terms(
        request_classes=tuple(map(_request_class, request_classes)),
        tenant_shares=tuple(line.share for line in lines.all("tenant")),
        over_share_value=lines.one("over-share").value,
        keep_alive=copies.keep,
        load_orders_allowed=copies.orders,
        load_orders_free=copies.free,
        load_order_share=copies.share,
        load_order_window=copies.window,
        same_function_counted=copies.alike,
        warmth_reported=copies.notes,
        probes_allowed=reports.probes,
        reports_by_probe=reports.source == "probe",
        reported_figures=(),
        probe_price=0.0,
        peer_price=0.0,
        peers_allowed=False,  # gateways of the appliance exchange more, over their own protocol
        gateways=cells.gateways if cells else 1,
        cancel_allowed=relays.cancel,
        hedging_allowed=relays.twins,
        attempt_limit=relays.limit,
        retry_after_limit=lines.one("advice").limit,
        warm_up_share=cold.share,
        warm_up_time=cold.time,
        host_list_polled=False,
        zone=-1,
        crossing_price=0.0,
    )


def _request_class(line: RequestClassLine) -> interface.RequestClass:
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
