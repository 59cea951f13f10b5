"""Which cell a call goes to, and which after that.

The function's homes come first, one of them drawn by load; then the next cells in its order, for calls that
provably did not run there. An ill home is passed over, but for its one trial; a suspected one by calls that
must not run twice, unless nothing else is left.

Invariants: a cell is given at most once for a call; a trial goes to a function's own home only; with no
illness and no suspicion the first cell is one of the homes.
"""

from typing import NamedTuple

from gaproute.decisions.cells.faults import CircuitState


class Choice(NamedTuple):
    """A cell for a call. `trial`: it is the one trial of an ill place."""

    cell: str
    trial: bool = False


class CellSelector:
    """Puts together homes, demand, loads and health, which all go by one table."""

    def __init__(self, place, homes, demand, loads, health, chance):
        self.place, self.homes, self.demand = place, homes, demand
        self.loads, self.health, self.chance = loads, health, chance
        self.adopt(homes.table)

    def adopt(self, table):
        """Go by a newer table, which `homes` has taken before."""
        self.capacities = {cell.name: cell.capacity for cell in table.cells}
        self.regions = {cell.region for cell in table.cells}
        mean = sum(self.capacities.values()) / len(self.capacities)
        regional = sum(cell.capacity for cell in table.cells if cell.region == self.place.region)
        self.regional_cells = regional / mean

    def placement(self, now, function):
        """Where the function has its homes, as this gateway sees it."""
        placement = self.demand.placement(now, function, len(self.capacities), self.regional_cells)
        if not placement.regional and self.cut_off(now, function):
            return placement._replace(regional=True)
        return placement

    def cut_off(self, now, function):
        """Whether most other regions are silent: then the own one serves all functions alone."""
        if self.regional_cells <= 0 or not self.health.faults:
            return False
        others = [region for region in self.regions if region != self.place.region]
        barred = sum(not self.health.region_usable(now, region, function) for region in others)
        return 2 * barred > len(others) > 0

    def cells(self, now, function, may_repeat=True):
        """Yields each `Choice` for a call of the function, in turn. `may_repeat`: it may be sent again."""
        regional, count = self.placement(now, function)
        region = self.place.region if regional else None
        homes = self.homes.order(function, count, region)[:count]
        first = self._first(now, function, homes, may_repeat)
        given = set()
        if first is not None:
            given.add(first.cell)
            yield first
        yield from self._next(now, function, region, given, may_repeat)
        if regional:
            yield from self._next(now, function, None, given, may_repeat)
        if not given:
            yield from self._last_resort(function, region)

    def _first(self, now, function, homes, may_repeat):
        """One of the homes that may be sent to, drawn by load; a trial goes before; None: all are ill."""
        if not self.health.is_fault_free():
            permits = [(name, self.health.circuit_state(now, name, function, may_repeat)) for name in homes]
            for name, permit in permits:
                if permit is CircuitState.HALF_OPEN and (
                    may_repeat or self.health.accepts_any_trial(now, name)
                ):
                    return Choice(name, True)
            homes = [name for name, permit in permits if permit is CircuitState.CLOSED]
        if not homes:
            return None
        return Choice(self.loads.draw(now, homes, self.capacities, self.chance))

    def _last_resort(self, function, region):
        """Where nothing else is left: the first home that is well again, before the function's turn, or else
        the first that is slow: a late answer is better than none."""
        slow = None
        for name in self.homes.order(function, len(self.capacities), region):
            if name not in self.health.cells:
                continue
            if not self.health.is_faulty(name):
                yield Choice(name)
                return
            if slow is None and self.health.is_only_slow(name):
                slow = name
        if slow is not None:
            yield Choice(slow)

    def _next(self, now, function, region, given, may_repeat):
        """The cells of the order that may be sent to, but for those already given."""
        count, place = 4, 0
        while True:
            order = self.homes.order(function, count, region)
            for name in order[place:]:
                if (
                    name not in given
                    and self.health.circuit_state(now, name, function, may_repeat) is CircuitState.CLOSED
                ):
                    given.add(name)
                    yield Choice(name)
            if len(order) < count:
                return
            place, count = len(order), 4 * count
