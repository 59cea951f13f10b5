"""Converts the host lists of cells to endpoints; in a changed list, only the changed lines are converted."""

from collections.abc import Mapping
from typing import NamedTuple

from gaproute.config.directives.fleet import HostLine
from gaproute.discovery.host_lines import HostLineConverter
from gaproute.hosts.endpoints import Endpoint
from gaproute.loop import Loop


class ConvertedLine(NamedTuple):
    """A line of a host list and its endpoint."""

    line: HostLine
    endpoint: Endpoint


class ConvertedList(NamedTuple):
    """The host list of a cell and its endpoints."""

    zone: str
    lines: list[HostLine]
    by_host: dict[str, ConvertedLine]
    endpoints: list[Endpoint]


class CellEndpointConverter:
    """Converts the host lists of cells, and keeps those of the last call to convert only changed lines.

    `use_capacities`: whether endpoints get the capacities in the lines.
    """

    def __init__(self, loop: Loop, *, use_capacities: bool) -> None:
        self.converter = HostLineConverter(loop, use_capacities=use_capacities)
        self.lists: dict[str, ConvertedList] = {}  # by cell

    def convert(
        self,
        lists: Mapping[str, list[HostLine]],
        zones: Mapping[str, str],
        current_at: Mapping[str, int | None] | None = None,
    ) -> dict[str, list[Endpoint]]:
        """Converts the host lines of all cells; returns the endpoints by cell.

        A host whose line names no zone is in the zone of its cell, which `zones` has by cell.
        `current_at`: by cell, when its previous list was last known to be current, ns of the loop's clock.
        """
        current_at = current_at or {}
        self.lists = {
            cell: self._convert_list(cell, lines, zones[cell], current_at.get(cell))
            for cell, lines in lists.items()
        }
        self.converter.retain([line for lines in lists.values() for line in lines])
        return {cell: converted.endpoints for cell, converted in self.lists.items()}

    def _convert_list(
        self, cell: str, lines: list[HostLine], zone: str, current_at: int | None
    ) -> ConvertedList:
        previous = self.lists.get(cell)
        absent_at = current_at if previous is not None else None  # None for the first list of a cell
        if previous is not None and previous.zone == zone and previous.lines is lines:
            return previous
        previous_lines = previous.by_host if previous is not None and previous.zone == zone else {}
        by_host = {
            line.name: self._convert_line(line, zone, previous_lines.get(line.name), absent_at)
            for line in lines
        }
        return ConvertedList(zone, lines, by_host, [converted.endpoint for converted in by_host.values()])

    def _convert_line(
        self, line: HostLine, zone: str, previous: ConvertedLine | None, absent_at: int | None
    ) -> ConvertedLine:
        if previous is not None and (previous.line is line or previous.line == line):
            return previous
        return ConvertedLine(line, self.converter.endpoint(line, zone, absent_at))
