"""The cells of a running gateway: its table, the host lists that it wants by that table, and its part in
forwarding. Parts wired, nothing decided."""

from gaproute.appliance.cell_lists import CellLists
from gaproute.appliance.cell_rows import CellRows
from gaproute.appliance.cell_table import CellTableSource
from gaproute.appliance.followed_lists import FollowedLists
from gaproute.core.cellular import CellularCore
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.chance import Chance
from gaproute.decisions.connections.pooling import Pooling
from gaproute.decisions.routing import Gateway
from gaproute.fronts.kserve.entry import EntryFront
from gaproute.hosts.entries import CellHosts, Entries
from gaproute.peers.tables import TableCarrier
from gaproute.shared.dissemination import Peer

CARRIER_SEED = 6  # the chance that draws whom to tell is another than those of other parts
SOURCES_SEED = 8  # and this one the order of sources and the waits between tries
WRONG_LIST = "wrong host list"
WRONG_MEMBER = "wrong host of a source"


class CellServices:
    """The parts that a gateway in a fleet of cells has in place of a whole fleet's: `gateway`, `hosts`,
    `core`. `hosts_changed(rows)` is called with all hosts known each time that they change, before the
    decisions."""

    def __init__(self, loop, configuration, record, seed, reach, run, hosts_changed):
        self.loop, self.configuration, self.line = loop, configuration, configuration.cells
        self.record, self.hosts_changed = record, hosts_changed
        place = GatewayLocation(configuration.name, self.line.region, self.line.zone)
        self.gateway = CellularGateway(seed, configuration.terms, loop.now(), place)
        self.hosts = CellHosts(loop, Pooling(), reach, configuration.name)
        self.entries = Entries(loop, reach, configuration.name)
        self.core = CellularCore(
            loop, self.gateway, configuration.terms, self.hosts, record, run, self.entries
        )
        # What gateways of one fleet tell each other of hosts is not told of cells: this one knows of none.
        self.placeholder_gateway = Gateway(seed, configuration.terms, loop.now())
        self.rows = CellRows(loop, configuration.sizes_reported)
        self.lists = self._lists(configuration.cell_hosts, seed)
        self.look_every = configuration.cell_hosts.look
        self.told = {}  # cell: the host lines that the decisions were told last
        self.lists_refused = self.members_refused = 0
        self.seed, self.table, self.timer = seed, None, None

    def listen(self, peer_services, ready):
        """Take calls that other gateways forward, and the table that they tell, at the address of the peers.
        Returns the front of those calls."""
        giver = peer_services.observation_server
        front = EntryFront(self.loop, giver.server, self.core, self.configuration, ready, self._report)
        giver.calls = front.handle
        line = self.line
        carrier = TableCarrier(
            self.loop,
            self.configuration.name,
            line.fleet,
            peer_services.membership_transport,
            giver,
            Chance(self.seed + CARRIER_SEED),
            self.record,
            path=line.kept,
        )
        self.table = CellTableSource(self.loop, line, self.record, carrier, self._table_adopted)
        return front

    def start(self):
        """Read the table and the lists, and go on looking."""
        self.table.start()
        self._look()

    def update_peers(self, peers):
        """The other gateways of the configuration, {name: address}."""
        self.table.carrier.peers(tuple(Peer(name, where) for name, where in peers.items()))

    def read(self):
        """Read all files at once."""
        self.table.read()
        self.lists.read()

    def _table_adopted(self, table):
        """A newer table has come."""
        now = self.loop.now()
        self.gateway.adopt(now, table)
        self.entries.adopt(table)
        self.record.event("info", "cell table", version=str(table.version), cells=len(table.cells))
        self._want()
        self.core.begin_housekeeping(now)

    # The host lists

    def _lists(self, line, seed):
        """The host lists, from files or from sources."""
        if line.folder is not None:
            return CellLists(self.loop, line, self._apply_lists, self._list_refused)
        return FollowedLists(
            self.loop,
            self.line.fleet,
            line,
            self._apply_lists,
            self._members_refused,
            self._source_trouble,
            Chance(seed + SOURCES_SEED),
        )

    def _members_refused(self, cell, count, members):
        self.members_refused += count
        for host, reason in members:
            self.record.event("error", "cell host refused", cell=cell, host=host, mistake=reason)

    def _source_trouble(self, cell, why):
        if why is None:
            self.record.event("info", "cell source back", cell=cell)
        else:
            self.record.event("error", "cell source lost", cell=cell, fault=why)

    def _list_refused(self, cell, mistakes):
        self.lists_refused += 1
        for mistake in mistakes:
            self.record.event("error", "host list refused", cell=cell, mistake=str(mistake))

    def _look(self):
        """The decisions want other cells now and then, by what is called."""
        self.timer = self.loop.after(self.look_every, self._look)
        self._want()

    def _want(self):
        table = self.table.held
        if table is None:
            return
        zones = {name: table.by_name[name].zone for name in self.gateway.wanted()}
        if zones != self.lists.zones:
            self.lists.want(zones)
        if self.gateway.single is None:
            known = self.gateway.local.gateways
            if any(cell not in known for cell in self.told):  # let go and wanted again meanwhile
                self.told = {cell: lines for cell, lines in self.told.items() if cell in known}
                self._apply_lists(self.lists.good)

    def _apply_lists(self, lists):
        """All lists in force. The host connections come first: the decisions may wish for a new host at
        once."""
        rows = self.rows.of(lists, self.lists.zones, self.lists.current_at())
        self.hosts_changed([row for of_cell in rows.values() for row in of_cell])
        before, self.told = self.told, dict(lists)
        for cell, of_cell in rows.items():
            if before.get(cell) != lists[cell]:
                self.core.cell_listed(cell, [row.listed for row in of_cell])

    # What others ask

    def _report(self, cell):
        return self.gateway.local.report(self.loop.now(), cell)

    def gateways(self):
        """The decisions of each cell known."""
        single = self.gateway.single
        return [single] if single is not None else list(self.gateway.local.gateways.values())

    def can_forward(self):
        """Whether calls can be forwarded to another gateway."""
        table = self.table.held
        return table is not None and any(self.gateway.entries.order(cell) for cell in table.cells)

    def status(self):
        """What an operator is told."""
        table = self.table.held
        return {
            "version": str(table.version) if table else None,
            "cells": len(table.cells) if table else 0,
            "known": sorted(self.lists.good),
            "forwarded_in": self.core.forwarded_in,
            "forwarded_out": self.core.forwarded_out,
            "refused": self.table.refusals()
            | ({WRONG_LIST: self.lists_refused} if self.lists_refused else {})
            | ({WRONG_MEMBER: self.members_refused} if self.members_refused else {}),
        } | ({"sources": self.lists.status()} if self.configuration.cell_hosts.sources else {})

    def stop(self):
        """Neither tell nor hear of tables any more, nor follow the lists of other cells than now."""
        if self.table is not None:
            self.table.stop()
        if self.timer is not None:
            self.timer.cancel()

    def close(self):
        """End all connections to entry gateways; those to hosts are the appliance's."""
        self.stop()
        self.lists.close()
        self.entries.close()
