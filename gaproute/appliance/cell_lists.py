"""The host lists of the cells that a gateway knows: files `CELL.hosts` of one folder, watched while wanted.

Invariants: the lists in force never name a host twice, nor one in another zone than its cell's; a list that
does is refused and the cell's last good one stays. Lists are judged together, so that a host may move from
one cell to another whichever file changes first.
"""

from functools import partial

from gaproute.config.cell_files import first_clash, path_of, read_cell_hosts, zone_mistakes
from gaproute.discovery.file_watch import FileWatch


class CellLists:
    """`told({cell: lines})` of all lists in force, each time that they change; `refused(cell, mistakes)`."""

    def __init__(self, loop, line, told, refused):
        self.loop, self.folder, self.look_every = loop, line.folder, line.look
        self.told, self.refused = told, refused
        self.zones, self.watches = {}, {}  # by cell
        self.offered, self.good = {}, {}  # cell: lines as last read, and those in force
        self.clashes = {}  # cell: the mistake for which what it offers is not in force

    def want(self, zones):
        """Have the lists of these cells and no others; `zones`: {cell: its zone}."""
        dropped = [cell for cell in self.watches if cell not in zones]
        for cell in dropped:
            self.watches.pop(cell).close()
            for table in (self.offered, self.good, self.clashes):
                table.pop(cell, None)
        moved = [cell for cell in self.zones if self.zones[cell] != zones.get(cell)]
        self.zones = dict(zones)
        fresh = [cell for cell in zones if cell not in self.watches]
        for cell in fresh:
            self._watch(cell)
        for cell in moved:
            if cell in self.watches:
                self.watches[cell].read()
        if dropped:
            self._settle(changed=True)

    def _watch(self, cell):
        # A watch looks as it is made, before it can be stored.
        self.watches[cell] = FileWatch(
            self.loop,
            path_of(self.folder, cell),
            self.look_every,
            partial(self._read, cell),
            partial(self.refused, cell),
            read_cell_hosts,
        )

    def read(self):
        """Look into every file at once."""
        for watch in list(self.watches.values()):
            watch.read()

    def current_at(self):
        """{cell: when its file was last seen to be as it was told}, of each known before the news at hand."""
        return {cell: watch.current_at for cell, watch in self.watches.items()}

    def _read(self, cell, lines):
        mistakes = zone_mistakes(path_of(self.folder, cell), lines, self.zones[cell])
        if mistakes:
            self.refused(cell, mistakes)
            return
        self.offered[cell] = lines
        self._settle()

    def _settle(self, changed=False):
        """Put in force the newest lists that go together; in place of one that clashes, its last good one."""
        lists = {cell: lines for cell, lines in self.offered.items() if self.good.get(cell) == lines}
        lists |= self.offered  # those in force come first: the newer of two that clash is refused
        paths = {cell: path_of(self.folder, cell) for cell in lists}
        clashes = {}
        while (clash := first_clash(paths, lists)) is not None:
            cell, clashes[cell] = clash
            del lists[cell]
            if cell in self.good:
                lists = {cell: self.good[cell]} | lists
        for cell, mistake in clashes.items():
            if self.clashes.get(cell) != mistake:
                self.refused(cell, [mistake])
        self.clashes = clashes
        if changed or lists != self.good:
            self.good = lists
            self.told(lists)

    def close(self):
        """Watch nothing any more."""
        for watch in self.watches.values():
            watch.close()
