"""The cells of a running gateway: its table, the host lists that it wants by that table, and its part in
forwarding. Parts wired, nothing decided."""

from collections import Counter

from gaproute.appliance.cell_lists import CellLists
from gaproute.conf.cell_files import read_table
from gaproute.core.cellular import CellularCore
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.change import TableHolder
from gaproute.decisions.cells.errors import OtherFleet, StaleVersion, TableError
from gaproute.decisions.cells.place import Place
from gaproute.decisions.links.pooling import Pooling
from gaproute.decisions.route import Gateway
from gaproute.discovery.listing import FileWatch, Listing
from gaproute.fronts.kserve.entry import EntryFront
from gaproute.hosts.entries import CellHosts, Entries


class Contradiction(TableError):
    """A table of the version that is held, but with other content."""


# Why a table or a host list is refused, as the status counts it.
REASONS = {OtherFleet: "other fleet", StaleVersion: "older", Contradiction: "contradicts"}
WRONG_FILE, WRONG_LIST = "wrong file", "wrong host list"


class Cells:
    """The parts that a gateway in a fleet of cells has in place of a whole fleet's: `gateway`, `hosts`,
    `core`. `enlisted(rows)` is called with all hosts known each time that they change, before the
    decisions."""

    def __init__(self, loop, charter, record, seed, reach, run, enlisted):
        self.loop, self.charter, self.line = loop, charter, charter.cells
        self.record, self.enlisted = record, enlisted
        place = Place(charter.name, self.line.region, self.line.zone)
        self.gateway = CellularGateway(seed, charter.terms, loop.now(), place)
        self.hosts = CellHosts(loop, Pooling(), reach, charter.name)
        self.entries = Entries(loop, reach, charter.name)
        self.core = CellularCore(loop, self.gateway, charter.terms, self.hosts, record, run, self.entries)
        # What gateways of one fleet tell each other of hosts is not told of cells: this one knows of none.
        self.unused = Gateway(seed, charter.terms, loop.now())
        self.holder = TableHolder(self.line.fleet)
        self.listing = Listing(loop, sizes=charter.sizes_told)
        self.lists = CellLists(loop, charter.cell_hosts, self._listed, self._list_refused)
        self.look_every = charter.cell_hosts.look
        self.told = {}  # cell: the host lines that the decisions were told last
        self.refused = Counter()  # reason: how often
        self.watch = self.timer = None

    def start(self):
        """Read the table and the lists, and go on looking."""
        self.watch = FileWatch(
            self.loop, self.line.file, self.line.look, self.take, self._file_refused, read_table
        )
        self._look()

    def listen(self, giver, ready):
        """Take calls that other gateways forward at the address of the peers."""
        front = EntryFront(self.loop, giver.server, self.core, self.charter, ready, self._report)
        giver.calls = front.handle

    def read(self):
        """Read all files at once."""
        self.watch.read()
        self.lists.read()

    # The table

    def take(self, table):
        """Go by the table, if it is newer than the one held; else it is refused, counted and logged."""
        held = self.holder.table
        try:
            if held is not None and (table.fleet, table.version) == (held.fleet, held.version):
                if table.cells == held.cells:
                    return
                raise Contradiction(f"version {table.version} is held with other content")
            self.holder.take(table)
        except TableError as wrong:
            self._refuse(REASONS.get(type(wrong), WRONG_FILE), "cell table refused", [wrong])
            return
        now = self.loop.now()
        self.gateway.adopt(now, table)
        self.entries.adopt(table)
        self.record.event("info", "cell table", version=str(table.version), cells=len(table.cells))
        self._want()
        self.core.begin_housekeeping(now)

    def _file_refused(self, mistakes):
        self._refuse(WRONG_FILE, "cell table refused", mistakes)

    def _list_refused(self, cell, mistakes):
        self._refuse(WRONG_LIST, "host list refused", mistakes, cell=cell)

    def _refuse(self, reason, what, mistakes, **told):
        self.refused[reason] += 1
        for mistake in mistakes:
            self.record.event("error", what, mistake=str(mistake), **told)

    # The host lists

    def _look(self):
        """The decisions want other cells now and then, by what is called."""
        self.timer = self.loop.after(self.look_every, self._look)
        self._want()

    def _want(self):
        table = self.holder.table
        if table is None:
            return
        zones = {name: table.by_name[name].zone for name in self.gateway.wanted()}
        if zones != self.lists.zones:
            self.lists.want(zones)
        if self.gateway.single is None:
            known = self.gateway.local.gateways
            if any(cell not in known for cell in self.told):  # let go and wanted again meanwhile
                self.told = {cell: lines for cell, lines in self.told.items() if cell in known}
                self._listed(self.lists.good)

    def _listed(self, lists):
        """All lists in force. The host connections come first: the decisions may wish for a new host at
        once."""
        rows = self._rows(lists)
        self.enlisted([row for of_cell in rows.values() for row in of_cell])
        before, self.told = self.told, dict(lists)
        for cell, of_cell in rows.items():
            if before.get(cell) != lists[cell]:
                self.core.cell_listed(cell, [row.listed for row in of_cell])

    def _rows(self, lists):
        """{cell: rows}; a host whose line names no zone stands in that of its cell."""
        lines = [
            line.model_copy(update={"zone": self.lists.zones[cell]})
            for cell, of_cell in lists.items()
            for line in of_cell
        ]
        rows = iter(self.listing.rows(lines))
        return {cell: [next(rows) for _ in of_cell] for cell, of_cell in lists.items()}

    # What others ask

    def _report(self, cell):
        return self.gateway.local.report(self.loop.now(), cell)

    def gateways(self):
        """The decisions of each cell known."""
        single = self.gateway.single
        return [single] if single is not None else list(self.gateway.local.gateways.values())

    def leads_on(self):
        """Whether calls can be forwarded to another gateway."""
        table = self.holder.table
        return table is not None and any(self.gateway.entries.order(cell) for cell in table.cells)

    def status(self):
        """What an operator is told."""
        table = self.holder.table
        return {
            "version": str(table.version) if table else None,
            "cells": len(table.cells) if table else 0,
            "known": sorted(self.lists.good),
            "forwarded_in": self.core.forwarded_in,
            "forwarded_out": self.core.forwarded_out,
            "refused": dict(self.refused),
        }

    def stop(self):
        """Look at no file any more."""
        for part in (self.watch, self.lists):
            if part is not None:
                part.close()
        if self.timer is not None:
            self.timer.cancel()

    def close(self):
        """End all connections to entry gateways; those to hosts are the appliance's."""
        self.stop()
        self.entries.close()
