"""Samples the routes of calls: into a cell that is known, or to an entry gateway that the table names for it.

The decisions name the cell and the entry. No request is served, and whether the entry runs and knows the cell
is looked up at once, without the network.
"""

from __future__ import annotations

from collections import Counter
from enum import StrEnum

from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.hollow.cells.environment import CellGatewayEnvironment
from gaproute.hollow.environment import RandomStream

FUNCTIONS = 10_000
MAX_ATTEMPTS = 2  # entries of a cell that are tried for one call, as the decisions do


class Route(StrEnum):
    """How a call gets to its cell; the values are keys of the counters."""

    KNOWN = "known"  # this gateway knows the cell's hosts
    ENTERED = "entered"  # an entry gateway took it
    FAILED = "failed"  # there was no way


class RouteSampler:
    """`counts`: calls, those of each route, and attempts at entries that are gone or do not know the cell."""

    def __init__(self, environment: CellGatewayEnvironment, cellular: CellularGateway) -> None:
        self._cellular = cellular
        self._is_entry_reachable = environment.is_entry_reachable
        self._random = environment.random(RandomStream.ROUTES)
        self.counts: Counter[str] = Counter(
            {"calls": 0, Route.KNOWN: 0, Route.ENTERED: 0, "unreached": 0, Route.FAILED: 0}
        )

    def sample(self, now: int) -> None:
        """Count the route of a call of any function."""
        function = f"model-{self._random.below(FUNCTIONS):05}"
        self.counts["calls"] += 1
        self.counts[self._route(now, self._home_cell(function))] += 1

    def _home_cell(self, function: str) -> str | None:
        homes, table = self._cellular.homes, self._cellular.table
        if homes is not None:
            return homes.first(function)
        assert table is not None
        return table.cells[0].name

    def _route(self, now: int, cell: str | None) -> Route:
        if self._cellular.single_gateway is not None or cell in self._cellular.local.gateways:
            return Route.KNOWN
        assert cell is not None
        assert self._cellular.table is not None
        entries, row = self._cellular.entries, self._cellular.table.by_name[cell]
        tried: set[str] = set()
        while len(tried) < MAX_ATTEMPTS:
            entry = entries.pick(now, row, tried)
            if entry is None:
                break
            tried.add(entry.name)
            if self._is_entry_reachable(entry, cell):
                entries.record_answer(now, entry.name)
                return Route.ENTERED
            entries.record_failure(now, entry.name)
            self.counts["unreached"] += 1
        return Route.FAILED
