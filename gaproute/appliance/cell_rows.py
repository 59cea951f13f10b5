"""Host lines of cells as rows; of a list that changes, only the lines that did are made rows anew."""

from typing import NamedTuple

from gaproute.discovery.listing import Listing


class MadeList(NamedTuple):
    """A cell's list as it was made rows."""

    zone: str
    lines: list
    by_host: dict  # {host: (line, row)}
    rows: list


class CellRows:
    """The rows of the lists in force."""

    def __init__(self, loop, sizes):
        self.listing = Listing(loop, sizes=sizes)
        self.made = {}  # by cell

    def of(self, lists, zones):
        """{cell: rows} of {cell: lines}; a host whose line names no zone stands in that of its cell."""
        self.made = {cell: self._made(cell, lines, zones[cell]) for cell, lines in lists.items()}
        self.listing.forget_others([line for lines in lists.values() for line in lines])
        return {cell: made.rows for cell, made in self.made.items()}

    def _made(self, cell, lines, zone):
        before = self.made.get(cell)
        if before is not None and before.zone == zone and before.lines is lines:
            return before
        known = before.by_host if before is not None and before.zone == zone else {}
        by_host = {line.name: self._row(line, zone, known.get(line.name)) for line in lines}
        return MadeList(zone, lines, by_host, [row for _, row in by_host.values()])

    def _row(self, line, zone, known):
        if known is not None and (known[0] is line or known[0] == line):
            return known
        return line, self.listing.row(line, zone)
