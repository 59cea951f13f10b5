"""The parts of a gateway in a fleet of cells: the cell table, the cells' host lists, and forwarding.

This module connects the parts; the decisions are in `gaproute.decisions.cells`.
"""

from collections.abc import Callable, Mapping, Sequence

from gaproute.appliance.cell_endpoints import CellEndpointConverter
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

# Reasons of rejections, as operators read them in the status
INVALID_LIST = "wrong host list"
INVALID_MEMBER = "wrong host of a source"


class CellServices:
    """The parts that a gateway in a fleet of cells has in place of one host list for the whole fleet.

    `gateway` makes the decisions, `hosts` has the connections to hosts, and `core` drives requests.
    `on_hosts_changed(endpoints)` is called with all known hosts each time that they change, before the
    decisions use them. `placeholder_gateway` knows no host: it stands for the decisions in the exchange of
    observations with other gateways, as a fleet of cells exchanges no observations of hosts.
    """

    def __init__(
        self,
        loop: Loop,
        configuration: Configuration,
        record: GatewayRecord,
        seed: int,
        client_settings: ClientSettings,
        run_name: str,
        on_hosts_changed: Callable[[Sequence[Endpoint]], None],
    ) -> None:
        """`run_name` identifies this run of the process. Errors: ValueError if no cells are configured."""
        if configuration.cells is None or configuration.cell_hosts is None:
            raise ValueError("the configuration has no lines for cells and their hosts")
        self.loop, self.configuration, self.record, self.seed = loop, configuration, record, seed
        self.cells_line: CellsLine = configuration.cells
        self.cell_hosts_line: CellHostsLine = configuration.cell_hosts
        self.on_hosts_changed = on_hosts_changed
        location = GatewayLocation(configuration.name, self.cells_line.region, self.cells_line.zone)
        self.gateway = CellularGateway(seed, configuration.routing_settings, loop.now(), location)
        self.placeholder_gateway = Gateway(seed, configuration.routing_settings, loop.now())
        self.hosts = CellHostClient(loop, ConnectionReusePolicy(), client_settings, configuration.name)
        self.entry_gateways = EntryGateways(loop, client_settings, configuration.name)
        self.core = CellularCore(
            loop,
            self.gateway,
            configuration.routing_settings,
            self.hosts,
            record,
            run_name,
            self.entry_gateways,
        )
        self.converter = CellEndpointConverter(loop, use_capacities=configuration.capacities_reported)
        self.host_lists = self._make_host_lists()
        self.applied_lists: ListsByCell = {}  # the lists that were passed to the decisions last
        self.rejected_lists = self.rejected_members = 0
        self.table_source: CellTableSource | None = None  # None until `listen`
        self.poll_timer: Timer | None = None

    def listen(self, peer_services: PeerServices, ready: Callable[[], bool]) -> EntryFront:
        """Opens the front for requests that other gateways forward, and begins to receive their cell tables.

        Errors: ValueError if `peer_services` has not opened the address for peers.
        """
        server = peer_services.peer_server
        membership_transport = peer_services.membership_transport
        if server is None or membership_transport is None:
            raise ValueError("cells need the address for other gateways, which is not open")
        front = EntryFront(server.server, self.core, self.configuration, ready, self._load_report)
        server.forwarded_request_handler = front.handle
        transport = CellTableTransport(
            self.loop,
            CellTableSettings(
                self.configuration.name, self.cells_line.fleet, path=self.cells_line.stored_table
            ),
            CellTableChannels(membership_transport, HttpPullListener(server), PullClient(self.loop)),
            RandomGenerator(self.seed + SeedOffset.CELL_TABLE),
            self.record,
        )
        self.table_source = CellTableSource(
            self.loop, self.cells_line, self.record, transport, self._adopt_table
        )
        return front

    def start(self) -> None:
        """Begins to follow the cell table and the host lists."""
        if self.table_source is not None:
            self.table_source.start()
        self._poll_wanted_cells()

    def update_peers(self, addresses: Mapping[str, str]) -> None:
        """Replaces the addresses of all other gateways, by name."""
        if self.table_source is not None:
            peers = tuple(Peer(name, address) for name, address in addresses.items())
            self.table_source.transport.set_peers(peers)

    def reload(self) -> None:
        """Reads the files of the cell table and the host lists now."""
        if self.table_source is not None:
            self.table_source.reload()
        self.host_lists.reload()

    def gateways(self) -> list[Gateway]:
        """The decisions for each known cell."""
        single = self.gateway.single_gateway
        return [single] if single is not None else list(self.gateway.local.gateways.values())

    def can_forward(self) -> bool:
        """Whether requests can be forwarded to another gateway."""
        table = self._current_table()
        return table is not None and any(self.gateway.entries.ordered_entries(cell) for cell in table.cells)

    def status(self) -> JsonObject:
        """The status for operators; the keys are older than the names in the code."""
        table = self._current_table()
        status: JsonObject = {
            "version": str(table.version) if table else None,
            "cells": len(table.cells) if table else 0,
            "known": sorted(self.host_lists.in_force),
            "forwarded_in": self.core.forwarded_in,
            "forwarded_out": self.core.forwarded_out,
            "refused": self._rejection_counts(),
        }
        if isinstance(self.host_lists, FollowedLists) and self.cell_hosts_line.sources:
            status["sources"] = self.host_lists.status()
        return status

    def stop(self) -> None:
        """Stops following the cell table; the host lists of the cells known now are still followed."""
        if self.table_source is not None:
            self.table_source.stop()
        if self.poll_timer is not None:
            self.poll_timer.cancel()

    def close(self) -> None:
        """Closes all parts except the connections to hosts, which the appliance closes."""
        self.stop()
        self.host_lists.close()
        self.entry_gateways.close()

    def _current_table(self) -> CellTable | None:
        return None if self.table_source is None else self.table_source.table

    def _adopt_table(self, table: CellTable) -> None:
        now = self.loop.now()
        self.gateway.adopt(now, table)
        self.entry_gateways.apply_table(table)
        self.record.event("info", "cell_table_adopted", version=str(table.version), cells=len(table.cells))
        self._follow_wanted_cells()
        self.core.start_housekeeping(now)

    def _poll_wanted_cells(self) -> None:
        """Follows the cells that the decisions need, which change with the functions that clients request."""
        self.poll_timer = self.loop.call_later(self.cell_hosts_line.look, self._poll_wanted_cells)
        self._follow_wanted_cells()

    def _follow_wanted_cells(self) -> None:
        table = self._current_table()
        if table is None:
            return
        zones = {name: table.by_name[name].zone for name in self.gateway.cells_to_follow()}
        if zones != self.host_lists.zones:
            self.host_lists.set_cells(zones)
        self._reapply_released_lists()

    def _reapply_released_lists(self) -> None:
        """Applies a list again whose cell the decisions released, so that they can use the cell again."""
        if self.gateway.single_gateway is not None:
            return
        known = self.gateway.local.gateways
        if all(cell in known for cell in self.applied_lists):
            return
        self.applied_lists = {cell: lines for cell, lines in self.applied_lists.items() if cell in known}
        self._apply_lists(self.host_lists.in_force)

    def _apply_lists(self, lists: ListsByCell) -> None:
        """Applies all lists in force, first to the connections, as decisions may use new hosts at once."""
        endpoints = self.converter.convert(lists, self.host_lists.zones, self.host_lists.current_at())
        self.on_hosts_changed([endpoint for hosts in endpoints.values() for endpoint in hosts])
        previous_lists, self.applied_lists = self.applied_lists, dict(lists)
        for cell, hosts in endpoints.items():
            if previous_lists.get(cell) != lists[cell]:
                self.core.update_cell_hosts(cell, [endpoint.listed for endpoint in hosts])

    def _make_host_lists(self) -> CellLists | FollowedLists:
        """Makes the host lists, which are read from files or from change logs."""
        if self.cell_hosts_line.folder is not None:
            return CellLists(self.loop, self.cell_hosts_line, self._apply_lists, self._log_rejected_list)
        return FollowedLists(
            self.loop,
            self.cells_line.fleet,
            self.cell_hosts_line,
            self._apply_lists,
            self._log_rejected_members,
            self._log_source_change,
            RandomGenerator(self.seed + SeedOffset.CELL_SOURCES),
        )

    def _log_rejected_list(self, cell: str, mistakes: Sequence[Mistake]) -> None:
        self.rejected_lists += 1
        for mistake in mistakes:
            self.record.event("error", "host_list_rejected", cell=cell, error=str(mistake))

    def _log_rejected_members(self, cell: str, count: int, members: Sequence[RejectedMember]) -> None:
        self.rejected_members += count
        for host, reason in members:
            self.record.event("error", "cell_host_rejected", cell=cell, host=host, error=reason)

    def _log_source_change(self, cell: str, error: str | None) -> None:
        if error is None:
            self.record.event("info", "cell_source_restored", cell=cell)
        else:
            self.record.event("error", "cell_source_lost", cell=cell, error=error)

    def _rejection_counts(self) -> dict[str, int]:
        rejections = {} if self.table_source is None else self.table_source.rejection_counts()
        if self.rejected_lists:
            rejections[INVALID_LIST] = self.rejected_lists
        if self.rejected_members:
            rejections[INVALID_MEMBER] = self.rejected_members
        return rejections

    def _load_report(self, cell: str) -> HostLoadReport | None:
        return self.gateway.local.load_report(self.loop.now(), cell)
