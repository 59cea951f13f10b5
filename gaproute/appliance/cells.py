"""The cells of a running gateway: the cell table, the host lists that are needed by it, and forwarding.

This module connects the parts; the decisions are in `gaproute.decisions.cells`.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any

from gaproute.appliance.cell_lists import CellLists, Lists
from gaproute.appliance.cell_rows import CellRows
from gaproute.appliance.cell_table import CellTableSource
from gaproute.appliance.followed_lists import FollowedLists
from gaproute.appliance.peer_services import PeerServices
from gaproute.config.configuration import Configuration
from gaproute.config.directives.fleet import CellHostsLine, CellsLine
from gaproute.config.errors import Mistake
from gaproute.core.cellular import CellularCore
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.table import CellTable
from gaproute.decisions.chance import Chance
from gaproute.decisions.connections.pooling import Pooling
from gaproute.decisions.routing import Gateway
from gaproute.discovery.cell_members import RejectedMember
from gaproute.fronts.kserve.entry import EntryFront
from gaproute.hosts.cell_hosts import CellHostClient
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.entry_gateways import EntryGateways
from gaproute.hosts.kserve.settings import ClientSettings
from gaproute.loop import Loop
from gaproute.loop.timers import Timer
from gaproute.peers.tables import CellTableChannels, CellTableSettings, CellTableTransport
from gaproute.peers.tables.pull_exchange import HttpPullListener, PullClient
from gaproute.shared.dissemination import Peer
from gaproute.telemetry.record import Record

# Added to the seed, so that no two parts draw the same random numbers.
CARRIER_SEED = 6  # which gateways are sent a table
SOURCES_SEED = 8  # the order of change log sources and the waits between attempts
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
        record: Record,
        seed: int,
        reach: ClientSettings,
        run: str,
        hosts_changed: Callable[[Sequence[Endpoint]], None],
    ) -> None:
        """`run`: the name of this run of the process. Errors: ValueError where no cells are configured."""
        if configuration.cells is None or configuration.cell_hosts is None:
            raise ValueError("the configuration has no cells")
        self.loop, self.configuration, self.record, self.seed = loop, configuration, record, seed
        self.line: CellsLine = configuration.cells
        self.hosts_line: CellHostsLine = configuration.cell_hosts
        self.hosts_changed = hosts_changed
        location = GatewayLocation(configuration.name, self.line.region, self.line.zone)
        self.gateway = CellularGateway(seed, configuration.terms, loop.now(), location)
        self.placeholder_gateway = Gateway(seed, configuration.terms, loop.now())
        self.hosts = CellHostClient(loop, Pooling(), reach, configuration.name)
        self.entries = EntryGateways(loop, reach, configuration.name)
        self.core = CellularCore(
            loop, self.gateway, configuration.terms, self.hosts, record, run, self.entries
        )
        self.rows = CellRows(loop, sizes=configuration.capacities_reported)
        self.lists = self._make_lists()
        self.lists_given: Lists = {}  # the lists that the decisions were given last
        self.lists_rejected = self.members_rejected = 0
        self.table: CellTableSource | None = None  # None until `listen`
        self.timer: Timer | None = None

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
        carrier = CellTableTransport(
            self.loop,
            CellTableSettings(self.configuration.name, self.line.fleet, path=self.line.stored_table),
            CellTableChannels(membership_transport, HttpPullListener(server), PullClient(self.loop)),
            Chance(self.seed + CARRIER_SEED),
            self.record,
        )
        self.table = CellTableSource(self.loop, self.line, self.record, carrier, self._table_adopted)
        return front

    def start(self) -> None:
        """Reads the table and the lists, and watches them from now on."""
        if self.table is not None:
            self.table.start()
        self._look()

    def update_peers(self, addresses: Mapping[str, str]) -> None:
        """Takes over the addresses of the other gateways by name."""
        if self.table is not None:
            peers = tuple(Peer(name, where) for name, where in addresses.items())
            self.table.carrier.set_peers(peers)

    def reload(self) -> None:
        """Reads all files now."""
        if self.table is not None:
            self.table.reload()
        self.lists.reload()

    def gateways(self) -> list[Any]:
        """The decisions of each known cell."""
        single = self.gateway.single
        return [single] if single is not None else list(self.gateway.local.gateways.values())

    def can_forward(self) -> bool:
        """Whether requests can be forwarded to another gateway."""
        table = self._held_table()
        return table is not None and any(self.gateway.entries.order(cell) for cell in table.cells)

    def status(self) -> dict[str, Any]:
        """The status for operators; its keys are older than the names in the code."""
        table = self._held_table()
        status: dict[str, Any] = {
            "version": str(table.version) if table else None,
            "cells": len(table.cells) if table else 0,
            "known": sorted(self.lists.in_force),
            "forwarded_in": self.core.forwarded_in,
            "forwarded_out": self.core.forwarded_out,
            "refused": self._rejections(),
        }
        if isinstance(self.lists, FollowedLists) and self.hosts_line.sources:
            status["sources"] = self.lists.status()
        return status

    def stop(self) -> None:
        """Stops sending and taking tables, and follows the lists of the present cells only."""
        if self.table is not None:
            self.table.stop()
        if self.timer is not None:
            self.timer.cancel()

    def close(self) -> None:
        """Closes the connections to entry gateways; the appliance closes those to hosts."""
        self.stop()
        self.lists.close()
        self.entries.close()

    def _held_table(self) -> CellTable | None:
        return None if self.table is None else self.table.table

    def _table_adopted(self, table: CellTable) -> None:
        now = self.loop.now()
        self.gateway.adopt(now, table)
        self.entries.apply_table(table)
        self.record.event("info", "cell_table_adopted", version=str(table.version), cells=len(table.cells))
        self._follow_wanted_cells()
        self.core.start_housekeeping(now)

    def _look(self) -> None:
        """Follows the cells that the decisions need now, which depend on the functions that are requested."""
        self.timer = self.loop.after(self.hosts_line.look, self._look)
        self._follow_wanted_cells()

    def _follow_wanted_cells(self) -> None:
        table = self._held_table()
        if table is None:
            return
        zones = {name: table.by_name[name].zone for name in self.gateway.wanted()}
        if zones != self.lists.zones:
            self.lists.set_cells(zones)
        if self.gateway.single is None:
            known = self.gateway.local.gateways
            if any(cell not in known for cell in self.lists_given):  # a cell was released and is wanted again
                self.lists_given = {cell: lines for cell, lines in self.lists_given.items() if cell in known}
                self._apply_lists(self.lists.in_force)

    def _apply_lists(self, lists: Lists) -> None:
        """Applies all lists in force, first to the connections: the decisions may use a new host at once."""
        rows = self.rows.of(lists, self.lists.zones, self.lists.current_at())
        self.hosts_changed([row for of_cell in rows.values() for row in of_cell])
        before, self.lists_given = self.lists_given, dict(lists)
        for cell, of_cell in rows.items():
            if before.get(cell) != lists[cell]:
                self.core.update_cell_hosts(cell, [row.listed for row in of_cell])

    def _make_lists(self) -> CellLists | FollowedLists:
        """Makes the host lists, from files or from change logs."""
        if self.hosts_line.folder is not None:
            return CellLists(self.loop, self.hosts_line, self._apply_lists, self._list_rejected)
        return FollowedLists(
            self.loop,
            self.line.fleet,
            self.hosts_line,
            self._apply_lists,
            self._members_rejected,
            self._source_changed,
            Chance(self.seed + SOURCES_SEED),
        )

    def _list_rejected(self, cell: str, mistakes: Sequence[Mistake]) -> None:
        self.lists_rejected += 1
        for mistake in mistakes:
            self.record.event("error", "host_list_rejected", cell=cell, error=str(mistake))

    def _members_rejected(self, cell: str, count: int, members: Sequence[RejectedMember]) -> None:
        self.members_rejected += count
        for host, reason in members:
            self.record.event("error", "cell_host_rejected", cell=cell, host=host, error=reason)

    def _source_changed(self, cell: str, error: str | None) -> None:
        if error is None:
            self.record.event("info", "cell_source_restored", cell=cell)
        else:
            self.record.event("error", "cell_source_lost", cell=cell, error=error)

    def _rejections(self) -> dict[str, int]:
        rejections = {} if self.table is None else self.table.rejections()
        if self.lists_rejected:
            rejections[WRONG_LIST] = self.lists_rejected
        if self.members_rejected:
            rejections[WRONG_MEMBER] = self.members_rejected
        return rejections

    def _load_report(self, cell: str) -> Any:
        return self.gateway.local.report(self.loop.now(), cell)
