"""How loaded the cells are, by the reports of the last seconds, and the draw between two of them.

Each request of a function with several homes draws two of them, in proportion to capacity, and takes the less
loaded the more likely, the more their loads differ (the power of two choices, Mitzenmacher 2001, with a
slope for loads that are old). Bounded loads (Mirrokni and others, 2018) would need a count of the requests at
each home that all gateways share.

Invariant: a load is forgotten `LOAD_MAX_AGE` after it was reported, and then counts as the mean.
"""

from collections.abc import Collection, Mapping, Sequence
from math import exp

from gaproute.shared.randomness import RandomSource

SECOND = 1_000_000_000

LOAD_MEMORY = 10 * SECOND  # over which reports of a cell are averaged
LOAD_MAX_AGE = 60 * SECOND  # an older load says nothing
MIN_REPORT_INTERVAL = SECOND // 10  # as which shorter intervals between reports count
MEAN_WEIGHT = 1 / 256  # of one report in the mean of all
SLOPE = 12.0  # of the probability by the difference of two loads over the mean: a tenth shifts it by 0.6
MIN_PROBABILITY = 0.05  # of the more loaded one: its reports still come
MAX_DRAWS = 8  # until one passes by its capacity


class _CellLoad:
    """The load of one cell over its capacity, and when it was reported."""

    __slots__ = ("reported_at", "value")

    def __init__(self, now: int, value: float) -> None:
        self.value, self.reported_at = value, now


class CellLoads:
    """Loads by cell, for cells of one table. `mean`: of the reports, each cell by how often it reports."""

    def __init__(self) -> None:
        self.cells: dict[str, _CellLoad] = {}  # by name
        self.mean = 0.0

    def adopt(self, names: Collection[str]) -> None:
        """Forgets cells that the table has no more."""
        self.cells = {name: load for name, load in self.cells.items() if name in names}

    def record(self, now: int, name: str, value: float) -> None:
        """A report of the cell's load, in any unit that is the same for all cells."""
        load = self.cells.get(name)
        if load is None:
            load = self.cells[name] = _CellLoad(now, value)
            self.mean = self.mean or value
        else:
            interval = max(now - load.reported_at, MIN_REPORT_INTERVAL)
            load.value += (value - load.value) * (1 - exp(-interval / LOAD_MEMORY))
            load.reported_at = now
        self.mean += (load.value - self.mean) * MEAN_WEIGHT

    def relative_load(self, now: int, name: str) -> float:
        """The cell's load over the mean: 1 where nothing is known."""
        load = self.cells.get(name)
        if load is None or now - load.reported_at > LOAD_MAX_AGE or self.mean <= 0:
            return 1.0
        return load.value / self.mean

    def draw(
        self, now: int, names: Sequence[str], capacities: Mapping[str, float], chance: RandomSource
    ) -> str:
        """One of the cells named. `capacities`: {name: capacity}."""
        if len(names) == 1:
            return names[0]
        largest = max(capacities[name] for name in names[:MAX_DRAWS])
        first = _draw_by_capacity(names, capacities, largest, chance)
        second = _draw_by_capacity(names, capacities, largest, chance)
        if first == second:
            return first
        shift = SLOPE * (self.relative_load(now, second) - self.relative_load(now, first)) / 2
        probability = min(1 - MIN_PROBABILITY, max(MIN_PROBABILITY, 0.5 + shift))
        return first if chance.below(SECOND) < probability * SECOND else second


def _draw_by_capacity(
    names: Sequence[str], capacities: Mapping[str, float], largest: float, chance: RandomSource
) -> str:
    """A cell drawn about in proportion to its capacity; `largest` is that of the largest of a few."""
    for _ in range(MAX_DRAWS):
        name = names[chance.below(len(names))]
        if chance.below(SECOND) * largest < capacities[name] * SECOND:
            break
    return name
