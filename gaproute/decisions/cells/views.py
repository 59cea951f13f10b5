"""The view of a gateway: the cells whose hosts it knows. It reaches all others through their entry gateways.

A gateway is assigned a few cells of its own zone by rendezvous hashing of its name, and the cells of its zone
that have it as an entry; so each cell has some tens of gateways that know its hosts. The gateway adds further
cells to which it sends many requests, and removes them when it sends few.

Invariants: the cells in the view have at most `MAX_HOSTS_IN_VIEW` hosts together, except that one assigned
cell always stays; the request rates for adding and for removing a cell differ, so that the view rarely
changes.
"""

from collections.abc import Iterable, Mapping
from math import exp
from typing import NamedTuple

from xxhash import xxh3_64_intdigest

from gaproute.decisions.cells.demand import (
    LONG_DECAY_TIME,
    SHORT_DECAY_TIME,
    DecayingCount,
    effective_count_time,
)
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.table import Cell, CellTable
from gaproute.units import SECOND

# In the own zone; with a thousand gateways and 38 cells in a zone, about 50 gateways know each cell
ASSIGNED_CELLS = 2
MAX_HOSTS_IN_VIEW = 512  # independent of the size of the fleet
# Requests to a cell above which its host list is worth following
MIN_ADD_REQUESTS_PER_SECOND = 10.0
REMOVE_FACTOR = 4  # a cell is removed below the rate for adding divided by this
REVIEW_INTERVAL = 10 * SECOND  # between two reviews of the view


class RequestRates(NamedTuple):
    """The requests per second that this gateway sends to a cell."""

    recent: float
    long_term: float


class CellView:
    """The cells that this gateway should know: names of `assigned` and of added (`extra`) cells."""

    def __init__(self, now: int, location: GatewayLocation, max_hosts: int = MAX_HOSTS_IN_VIEW) -> None:
        self.started_at, self.location, self.max_hosts = now, location, max_hosts
        self.cells: Mapping[str, Cell] = {}  # of the table
        self.assigned: tuple[str, ...] = ()
        self.extra: tuple[str, ...] = ()
        self.request_counts: dict[str, DecayingCount] = {}  # own requests by cell
        self.reviewed_at = now

    def adopt(self, table: CellTable) -> None:
        """Replaces the table by a newer one."""
        self.cells = table.by_name
        self.request_counts = {
            name: count for name, count in self.request_counts.items() if name in self.cells
        }
        self.assigned = self._assigned_cells(table)
        extra = [name for name in self.extra if name in self.cells and name not in self.assigned]
        self.extra = self._fitting_cells(extra)

    def cell_names(self) -> tuple[str, ...]:
        """The names of all cells in the view, in a stable order."""
        return self.assigned + self.extra

    def host_count(self) -> int:
        """The number of hosts that the table states for all cells in the view."""
        return sum(self.cells[name].hosts for name in self.cell_names())

    def record_request(self, now: int, name: str) -> None:
        """Counts a request of this gateway to the cell."""
        count = self.request_counts.get(name)
        if count is None:
            count = self.request_counts[name] = DecayingCount(now)
        count.add(now, 1.0)

    def review(self, now: int) -> bool:
        """Adds and removes cells if a review is due; returns whether the view changed."""
        if not self.cells or now - self.reviewed_at < REVIEW_INTERVAL:
            return False
        self.reviewed_at, before = now, self.extra
        retained = [
            name
            for name in self.extra
            if max(self._request_rates(now, name)) >= MIN_ADD_REQUESTS_PER_SECOND / REMOVE_FACTOR
        ]
        self.extra = self._fitting_cells(retained + self._cells_to_add(now, {*self.assigned, *retained}))
        return self.extra != before

    def _cells_to_add(self, now: int, known: set[str]) -> list[str]:
        """Cells to add: those whose recent and long-term rates are high, the most requests per host first."""
        ranked = [
            (-min(self._request_rates(now, name)) / self.cells[name].hosts, name)
            for name in self.request_counts
            if name not in known and min(self._request_rates(now, name)) >= MIN_ADD_REQUESTS_PER_SECOND
        ]
        return [name for _, name in sorted(ranked)]

    def _request_rates(self, now: int, name: str) -> RequestRates:
        count = self.request_counts.get(name)
        if count is None:
            return RequestRates(0.0, 0.0)
        return RequestRates(
            self._request_rate(now, count.updated_at, count.short_term, SHORT_DECAY_TIME),
            self._request_rate(now, count.updated_at, count.long_term, LONG_DECAY_TIME),
        )

    def _request_rate(self, now: int, updated_at: int, count: float, decay_time: int) -> float:
        """Requests per second, from a count with the decay time `decay_time` (ns)."""
        decayed = count * exp((updated_at - now) / decay_time)
        return decayed / effective_count_time(now - self.started_at, decay_time) * SECOND

    def _assigned_cells(self, table: CellTable) -> tuple[str, ...]:
        own_zone = [cell for cell in table.cells if cell.zone == self.location.zone]
        own_zone.sort(key=lambda cell: (-_rendezvous_hash(self.location.name, cell.name), cell.name))
        as_entry = [
            cell for cell in own_zone if any(entry.name == self.location.name for entry in cell.entries)
        ]
        chosen: list[str] = []
        hosts = 0
        for cell in dict.fromkeys(as_entry + own_zone[:ASSIGNED_CELLS]):
            if not chosen or hosts + cell.hosts <= self.max_hosts:
                chosen.append(cell.name)
                hosts += cell.hosts
        return tuple(chosen)

    def _fitting_cells(self, names: Iterable[str]) -> tuple[str, ...]:
        """The first of the named cells that fit into the view in addition to the assigned cells."""
        left = self.max_hosts - sum(self.cells[name].hosts for name in self.assigned)
        fitting = []
        for name in names:
            if self.cells[name].hosts <= left:
                fitting.append(name)
                left -= self.cells[name].hosts
        return tuple(fitting)


def _rendezvous_hash(gateway: str, cell: str) -> int:
    return xxh3_64_intdigest(f"{gateway}\0{cell}".encode())
