"""The loads of cells by their latest reports, and the draw of a cell by load.

For each request of a function with several homes, two homes are drawn in proportion to capacity. Of these
two, the less loaded one is chosen with a probability that grows with the difference of their loads (the power
of two choices, Mitzenmacher 2001, with a slope instead of a step because loads may be old). Bounded loads
(Mirrokni and others, 2018) would need a count of the requests at each home that all gateways share.

Invariant: a load is ignored `LOAD_MAX_AGE` after it was reported; the cell then counts as one of mean load.
"""

from collections.abc import Collection, Mapping, Sequence
from math import exp

from gaproute.shared.randomness import RandomSource
from gaproute.units import SECOND

LOAD_DECAY_TIME = 10 * SECOND  # over which the reports of a cell are averaged
LOAD_MAX_AGE = 60 * SECOND  # after which a load is ignored
MIN_REPORT_INTERVAL = SECOND // 10  # shorter intervals between two reports of a cell count as this
MEAN_REPORT_WEIGHT = 1 / 256  # weight of one report in the mean over all cells
# Change of the probability by the difference of two loads over the mean: a difference of 0.1 shifts it by 0.6
PROBABILITY_SLOPE = 12.0
MIN_HIGHER_LOAD_PROBABILITY = 0.05  # so that reports of the more loaded cell still arrive
MAX_DRAWS = 8  # by capacity; the last one is taken in any case


class _CellLoad:
    """The load of one cell divided by its capacity, and the time of its last report."""

    __slots__ = ("reported_at", "value")

    def __init__(self, now: int, value: float) -> None:
        self.value, self.reported_at = value, now


class CellLoads:
    """The loads of the cells of one table. `mean` is over all reports: cells that report often count more."""

    def __init__(self) -> None:
        self.cells: dict[str, _CellLoad] = {}  # by name
        self.mean = 0.0

    def adopt(self, names: Collection[str]) -> None:
        """Drops the loads of cells that are not among the names of the newer table."""
        self.cells = {name: load for name, load in self.cells.items() if name in names}

    def record(self, now: int, name: str, value: float) -> None:
        """Records a report of the cell's load, in a unit that is the same for all cells."""
        load = self.cells.get(name)
        if load is None:
            load = self.cells[name] = _CellLoad(now, value)
            self.mean = self.mean or value
        else:
            interval = max(now - load.reported_at, MIN_REPORT_INTERVAL)
            load.value += (value - load.value) * (1 - exp(-interval / LOAD_DECAY_TIME))
            load.reported_at = now
        self.mean += (load.value - self.mean) * MEAN_REPORT_WEIGHT

    def relative_load(self, now: int, name: str) -> float:
        """The load of the cell divided by the mean, or 1 if its load is unknown."""
        load = self.cells.get(name)
        if load is None or now - load.reported_at > LOAD_MAX_AGE or self.mean <= 0:
            return 1.0
        return load.value / self.mean

    def draw(
        self, now: int, names: Sequence[str], capacities: Mapping[str, float], chance: RandomSource
    ) -> str:
        """Draws one of the named cells by capacity and load. `capacities`: by name."""
        if len(names) == 1:
            return names[0]
        largest = max(capacities[name] for name in names[:MAX_DRAWS])
        first = _draw_by_capacity(names, capacities, largest, chance)
        second = _draw_by_capacity(names, capacities, largest, chance)
        if first == second:
            return first
        shift = PROBABILITY_SLOPE * (self.relative_load(now, second) - self.relative_load(now, first)) / 2
        probability = min(1 - MIN_HIGHER_LOAD_PROBABILITY, max(MIN_HIGHER_LOAD_PROBABILITY, 0.5 + shift))
        return first if chance.below(SECOND) < probability * SECOND else second


def _draw_by_capacity(
    names: Sequence[str], capacities: Mapping[str, float], largest: float, chance: RandomSource
) -> str:
    """Draws a cell, nearly in proportion to capacity. `largest`: the largest capacity among them."""
    for _ in range(MAX_DRAWS):
        name = names[chance.below(len(names))]
        if chance.below(SECOND) * largest < capacities[name] * SECOND:
            break
    return name
