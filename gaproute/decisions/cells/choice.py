"""Chooses the cell for a request, and the cells to try after it.

The first choice is one of the function's home cells, drawn by load. The next choices, for requests that
provably did not run, are the cells that follow in the function's order. A home with a fault is left out,
except for one trial request at a time. Requests that must not run twice also avoid a suspected home, unless
no other cell is left.

Invariants: each cell is chosen at most once for a request; a trial goes to one of the function's own homes
only; without fault or suspicion the first choice is one of the homes.
"""

from collections.abc import Iterator, Sequence
from typing import NamedTuple

from gaproute.decisions.cells.demand import Demand, Placement
from gaproute.decisions.cells.faults import CircuitState
from gaproute.decisions.cells.health import CellHealth
from gaproute.decisions.cells.homes import HomeCells
from gaproute.decisions.cells.loads import CellLoads
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.table import CellTable
from gaproute.shared.randomness import RandomSource

INITIAL_ORDER_LENGTH = 4  # cells of the order that are computed at first
ORDER_GROWTH_FACTOR = 4  # by which that number grows while more cells are needed


class CellChoice(NamedTuple):
    """A cell for a request. `trial`: the request is the trial request for a domain with a fault."""

    cell: str
    trial: bool = False


class CellSelector:
    """Chooses cells by homes, demand, loads and health, which all use the same table."""

    def __init__(
        self,
        location: GatewayLocation,
        homes: HomeCells,
        demand: Demand,
        loads: CellLoads,
        health: CellHealth,
        chance: RandomSource,
    ) -> None:
        self.location, self.homes, self.demand = location, homes, demand
        self.loads, self.health, self.chance = loads, health, chance
        self.capacities: dict[str, float] = {}  # by cell
        self.regions: set[str] = set()
        self.regional_cells = 0.0  # capacity of the own region divided by the mean capacity of a cell
        self.adopt(homes.table)

    def adopt(self, table: CellTable) -> None:
        """Replaces the table by a newer one, which `homes` must have adopted already."""
        self.capacities = {cell.name: cell.capacity for cell in table.cells}
        self.regions = {cell.region for cell in table.cells}
        mean = sum(self.capacities.values()) / len(self.capacities)
        regional = sum(cell.capacity for cell in table.cells if cell.region == self.location.region)
        self.regional_cells = regional / mean

    def choices(self, now: int, function: str, *, may_repeat: bool = True) -> Iterator[CellChoice]:
        """Yields the cells to try for a request of the function. `may_repeat`: the request may run twice."""
        regional, count = self.placement(now, function)
        region = self.location.region if regional else None
        homes = self.homes.order(function, count, region)[:count]
        first = self._first_choice(now, function, homes, may_repeat=may_repeat)
        chosen: set[str] = set()
        if first is not None:
            chosen.add(first.cell)
            yield first
        yield from self._further_choices(now, function, region, chosen, may_repeat=may_repeat)
        if regional:
            yield from self._further_choices(now, function, None, chosen, may_repeat=may_repeat)
        if not chosen:
            yield from self._last_resort_choice(function, region)

    def placement(self, now: int, function: str) -> Placement:
        """The placement of the function's homes, as this gateway estimates it."""
        placement = self.demand.placement(now, function, len(self.capacities), self.regional_cells)
        if not placement.regional and self._is_region_cut_off(now, function):
            return placement._replace(regional=True)
        return placement

    def _is_region_cut_off(self, now: int, function: str) -> bool:
        """Whether most other regions have a fault: the own region then serves all functions alone."""
        if self.regional_cells <= 0 or not self.health.faults:
            return False
        others = [region for region in self.regions if region != self.location.region]
        unusable = sum(not self.health.is_region_usable(now, region, function) for region in others)
        return 2 * unusable > len(others) > 0

    def _first_choice(
        self, now: int, function: str, homes: Sequence[str], *, may_repeat: bool
    ) -> CellChoice | None:
        """A usable home: one that is due for a trial, else one drawn by load; None if no home is usable."""
        if not self.health.is_fault_free():
            states = {
                name: self.health.circuit_state(now, name, function, may_repeat=may_repeat) for name in homes
            }
            for name, state in states.items():
                if state is not CircuitState.HALF_OPEN:
                    continue
                if may_repeat or self.health.accepts_any_trial(now, name):
                    return CellChoice(name, trial=True)
            homes = [name for name, state in states.items() if state is CircuitState.CLOSED]
        if not homes:
            return None
        return CellChoice(self.loads.draw(now, homes, self.capacities, self.chance))

    def _further_choices(
        self, now: int, function: str, region: str | None, chosen: set[str], *, may_repeat: bool
    ) -> Iterator[CellChoice]:
        """Yields the usable cells of the function's order, except those in `chosen`, and adds them to it."""
        count, start = INITIAL_ORDER_LENGTH, 0
        while True:
            order = self.homes.order(function, count, region)
            for name in order[start:]:
                if name in chosen:
                    continue
                state = self.health.circuit_state(now, name, function, may_repeat=may_repeat)
                if state is CircuitState.CLOSED:
                    chosen.add(name)
                    yield CellChoice(name)
            if len(order) < count:
                return
            start, count = len(order), ORDER_GROWTH_FACTOR * count

    def _last_resort_choice(self, function: str, region: str | None) -> Iterator[CellChoice]:
        """Yields the cell to use if no other is left.

        It is the first cell of the order that has recovered although the function has not returned there yet,
        or else the first that is slow: a late answer is better than none.
        """
        slow = None
        for name in self.homes.order(function, len(self.capacities), region):
            if name not in self.health.cells:
                continue
            if not self.health.is_faulty(name):
                yield CellChoice(name)
                return
            if slow is None and self.health.is_only_slow(name):
                slow = name
        if slow is not None:
            yield CellChoice(slow)
