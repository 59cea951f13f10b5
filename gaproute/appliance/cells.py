"""The cells of a running gateway: the cell table, the host lists that are needed by it, and forwarding.

This module connects the parts; the decisions are in `gaproute.decisions.cells`.
"""

from collections.abc import Callable, Mapping, Sequence

from gaproute.appliance.cell_endpoints import CellEndpoints
from gaproute.appliance.cell_lists import CellLists, ListsByCell
from gaproute.appliance.cell_table import CellTableSource
from gaproute.appliance.followed_lists import FollowedLists
from gaproute.appliance.json_object import JsonObject
from gaproute.appliance.peer_services import PeerServices
from gaproute.appliance.seed_offsets import SeedOffset
from gaproute.config.configuration import Configuration
from gaproute.config.directives.fleet import CellHostsLine, CellsLine
from gaproute.config.errors import Mistake
from gaproute.core.cellular import CellularCore
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.table import CellTable
from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.connections.pooling import ConnectionReusePolicy
from gaproute.decisions.routing import Gateway
from gaproute.discovery.cell_members import RejectedMember
from gaproute.fronts.kserve.entry import EntryFront
from gaproute.hosts.cell_hosts import CellHostClient
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.entry_gateways import EntryGateways
from gaproute.hosts.kserve.settings import ClientSettings
from gaproute.interface import HostLoadReport
from gaproute.loop import Loop
from gaproute.loop.timers import Timer
from gaproute.peers.tables import CellTableChannels, CellTableSettings, CellTableTransport
from gaproute.peers.tables.pull_exchange import HttpPullListener, PullClient
from gaproute.shared.dissemination import Peer
from gaproute.telemetry.record import GatewayRecord

WRONG_LIST = "wrong host list"  # as operators read it in the status
WRONG_MEMBER = "wrong host of a source"


class CellServices:
    """The parts that a gateway in a fleet of cells has instead of one host list for the whole fleet.

    `gateway`, `hosts` and `core` are the decisions, the connections to hosts and the request driver.
    `hosts_changed(rows)` is called with all known hosts each time that they change, before the decisions.
    `placeholder_gateway` knows no host: gateways in a fleet of cells do not exchange the host observations
    that are exchanged in a fleet without cells.
    """

    def __init__(
        self,
        loop: Loop,
        configuration: Configuration,
        record: GatewayRecord,
        seed: int,
        client_settings: ClientSettings,
        run_name: str,
        hosts_changed: Callable[[Sequence[Endpoint]], None],
    ) -> None:
        """`run_name` identifies this run of the process. Errors: ValueError where no cells are configured."""
        if configuration.cells is None or configuration.cell_hosts is None:
            raise ValueError("the configuration has no cells")
        self.loop, self.configuration, self.record, self.seed = loop, configuration, record, seed
        self.cells_line: CellsLine = configuration.cells
        self.cell_hosts_line: CellHostsLine = configuration.cell_hosts
        self.hosts_changed = hosts_changed
        location = GatewayLocation(configuration.name, self.cells_line.region, self.cells_line.zone)
        self.gateway = CellularGateway(seed, configuration.routing_settings, loop.now(), location)
        self.placeholder_gateway = Gateway(seed, configuration.routing_settings, loop.now())
        self.hosts = CellHostClient(loop, ConnectionReusePolicy(), client_settings, configuration.name)
        self.entries = EntryGateways(loop, client_settings, configuration.name)
        self.core = CellularCore(
            loop, self.gateway, configuration.routing_settings, self.hosts, record, run_name, self.entries
        )
        self.endpoints = CellEndpoints(loop, use_capacities=configuration.capacities_reported)
        self.lists = self._make_lists()
        self.applied_lists: ListsByCell = {}  # the lists that the decisions were given last
        self.rejected_lists = self.rejected_members = 0
        self.table: CellTableSource | None = None  # None until `listen`
        self.poll_timer: Timer | None = None

    def listen(self, peer_services: PeerServices, ready: Callable[[], bool]) -> EntryFront:
        """Opens the front for requests that other gateways forward, and receives their tables; returns the
        front.
        """
        server = peer_services.peer_server
        membership_transport = peer_services.membership_transport
        if server is None or membership_transport is None:
            raise ValueError("the address of the peers is not listened on")
        front = EntryFront(server.server, self.core, self.configuration, ready, self._load_report)
        server.forwarded = front.handle
        transport = CellTableTransport(
            self.loop,
            CellTableSettings(
                self.configuration.name, self.cells_line.fleet, path=self.cells_line.stored_table
            ),
            CellTableChannels(membership_transport, HttpPullListener(server), PullClient(self.loop)),
            RandomGenerator(self.seed + SeedOffset.CELL_TABLE),
            self.record,
        )
        self.table = CellTableSource(self.loop, self.cells_line, self.record, transport, self._table_adopted)
        return front

    def start(self) -> None:
        """Reads the table and the lists, and watches them from now on."""
        if self.table is not None:
            self.table.start()
        self._poll_wanted_cells()

    def update_peers(self, addresses: Mapping[str, str]) -> None:
        """Takes over the addresses of the other gateways by name."""
        if self.table is not None:
            peers = tuple(Peer(name, where) for name, where in addresses.items())
            self.table.transport.set_peers(peers)

    def reload(self) -> None:
        """Reads all files now."""
        if self.table is not None:
            self.table.reload()
        self.lists.reload()

    def gateways(self) -> list[Gateway]:
        """The decisions of each known cell."""
        single = self.gateway.single_gateway
        return [single] if single is not None else list(self.gateway.local.gateways.values())

    def can_forward(self) -> bool:
        """Whether requests can be forwarded to another gateway."""
        table = self._current_table()
        return table is not None and any(self.gateway.entries.ordered_entries(cell) for cell in table.cells)

    def status(self) -> JsonObject:
        """The status for operators; its keys are older than the names in the code."""
        table = self._current_table()
        status: JsonObject = {
            "version": str(table.version) if table else None,
            "cells": len(table.cells) if table else 0,
            "known": sorted(self.lists.in_force),
            "forwarded_in": self.core.forwarded_in,
            "forwarded_out": self.core.forwarded_out,
            "refused": self._rejections(),
        }
        if isinstance(self.lists, FollowedLists) and self.cell_hosts_line.sources:
            status["sources"] = self.lists.status()
        return status

    def stop(self) -> None:
        """Stops sending and receiving tables, and follows the lists of the present cells only."""
        if self.table is not None:
            self.table.stop()
        if self.poll_timer is not None:
            self.poll_timer.cancel()

    def close(self) -> None:
        """Closes the connections to entry gateways; the appliance closes those to hosts."""
        self.stop()
        self.lists.close()
        self.entries.close()

    def _current_table(self) -> CellTable | None:
        return None if self.table is None else self.table.table

    def _table_adopted(self, table: CellTable) -> None:
        now = self.loop.now()
        self.gateway.adopt(now, table)
        self.entries.apply_table(table)
        self.record.event("info", "cell_table_adopted", version=str(table.version), cells=len(table.cells))
        self._follow_wanted_cells()
        self.core.start_housekeeping(now)

    def _poll_wanted_cells(self) -> None:
        """Follows the cells that the decisions need now, which depend on the functions that are requested."""
        self.poll_timer = self.loop.call_later(self.cell_hosts_line.look, self._poll_wanted_cells)
        self._follow_wanted_cells()

    def _follow_wanted_cells(self) -> None:
        table = self._current_table()
        if table is None:
            return
        zones = {name: table.by_name[name].zone for name in self.gateway.cells_to_follow()}
        if zones != self.lists.zones:
            self.lists.set_cells(zones)
        self._reapply_released_lists()

    def _reapply_released_lists(self) -> None:
        """Gives the decisions their lists again if they released a cell and want it again."""
        if self.gateway.single_gateway is not None:
            return
        known = self.gateway.local.gateways
        if all(cell in known for cell in self.applied_lists):
            return
        self.applied_lists = {cell: lines for cell, lines in self.applied_lists.items() if cell in known}
        self._apply_lists(self.lists.in_force)

    def _apply_lists(self, lists: ListsByCell) -> None:
        """Applies all lists in force, first to the connections: the decisions may use a new host at once."""
        endpoints = self.endpoints.convert(lists, self.lists.zones, self.lists.current_at())
        self.hosts_changed([endpoint for of_cell in endpoints.values() for endpoint in of_cell])
        before, self.applied_lists = self.applied_lists, dict(lists)
        for cell, of_cell in endpoints.items():
            if before.get(cell) != lists[cell]:
                self.core.update_cell_hosts(cell, [endpoint.listed for endpoint in of_cell])

    def _make_lists(self) -> CellLists | FollowedLists:
        """Makes the host lists, from files or from change logs."""
        if self.cell_hosts_line.folder is not None:
            return CellLists(self.loop, self.cell_hosts_line, self._apply_lists, self._list_rejected)
        return FollowedLists(
            self.loop,
            self.cells_line.fleet,
            self.cell_hosts_line,
            self._apply_lists,
            self._members_rejected,
            self._source_changed,
            RandomGenerator(self.seed + SeedOffset.CELL_SOURCES),
        )

    def _list_rejected(self, cell: str, mistakes: Sequence[Mistake]) -> None:
        self.rejected_lists += 1
        for mistake in mistakes:
            self.record.event("error", "host_list_rejected", cell=cell, error=str(mistake))

    def _members_rejected(self, cell: str, count: int, members: Sequence[RejectedMember]) -> None:
        self.rejected_members += count
        for host, reason in members:
            self.record.event("error", "cell_host_rejected", cell=cell, host=host, error=reason)

    def _source_changed(self, cell: str, error: str | None) -> None:
        if error is None:
            self.record.event("info", "cell_source_restored", cell=cell)
        else:
            self.record.event("error", "cell_source_lost", cell=cell, error=error)

    def _rejections(self) -> dict[str, int]:
        rejections = {} if self.table is None else self.table.rejections()
        if self.rejected_lists:
            rejections[WRONG_LIST] = self.rejected_lists
        if self.rejected_members:
            rejections[WRONG_MEMBER] = self.rejected_members
        return rejections

    def _load_report(self, cell: str) -> HostLoadReport | None:
        return self.gateway.local.load_report(self.loop.now(), cell)
