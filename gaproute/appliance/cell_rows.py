"""Host lines of cells as rows; of a list that changes, only the lines that did are made rows anew."""

from typing import NamedTuple

from gaproute.discovery.host_lines import HostLineConverter


class MadeList(NamedTuple):
    """A cell's list as it was made rows."""

    zone: str
    lines: list
    by_host: dict  # {host: (line, row)}
    rows: list


class CellRows:
    """The rows of the lists in force."""

    def __init__(self, loop, sizes):
        self.listing = HostLineConverter(loop, use_capacities=sizes)
        self.made = {}  # by cell

    def of(self, lists, zones, current_at=None):
        """{cell: rows} of {cell: lines}; a host whose line names no zone stands in that of its cell.

        `current_at`: {cell: when its list before was last known to be in force, by the loop's clock}.
        """
        current_at = current_at or {}
        self.made = {
            cell: self._made(cell, lines, zones[cell], current_at.get(cell)) for cell, lines in lists.items()
        }
        self.listing.retain([line for lines in lists.values() for line in lines])
        return {cell: made.rows for cell, made in self.made.items()}

    def _made(self, cell, lines, zone, current_at):
        before = self.made.get(cell)
        absent_at = current_at if before is not None else None  # a cell's first list has none before it
        if before is not None and before.zone == zone and before.lines is lines:
            return before
        known = before.by_host if before is not None and before.zone == zone else {}
        by_host = {line.name: self._row(line, zone, known.get(line.name), absent_at) for line in lines}
        return MadeList(zone, lines, by_host, [row for _, row in by_host.values()])

    def _row(self, line, zone, known, absent_at):
        if known is not None and (known[0] is line or known[0] == line):
            return known
        return line, self.listing.endpoint(line, zone, absent_at)
