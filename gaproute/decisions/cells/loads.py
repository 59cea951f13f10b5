"""How loaded the cells are, by the reports of the last seconds, and the draw between two of them.

For each request of a function with several homes, two homes are drawn in proportion to capacity. The less
loaded one is taken, the more likely the more their loads differ (the power of two choices, Mitzenmacher 2001,
with a slope because loads may be old). Bounded loads (Mirrokni and others, 2018) would need a count of the
requests at each home that all gateways share.

Invariant: a load is forgotten `LOAD_MAX_AGE` after it was reported, and then counts as the mean.
"""

from collections.abc import Collection, Mapping, Sequence
from math import exp

from gaproute.shared.randomness import RandomSource
from gaproute.units import SECOND

LOAD_DECAY_TIME = 10 * SECOND  # time over which the reports of a cell are averaged
LOAD_MAX_AGE = 60 * SECOND  # an older load does not count
MIN_REPORT_INTERVAL = SECOND // 10  # shorter intervals between reports count as this
MEAN_REPORT_WEIGHT = 1 / 256  # weight of one report in the mean of all
# Of the probability by the difference of two loads divided by the mean: a tenth shifts it by 0.6
PROBABILITY_SLOPE = 12.0
MIN_HIGHER_LOAD_PROBABILITY = 0.05  # of taking the more loaded one, so that its reports still come
MAX_DRAWS = 8  # draws by capacity before one is taken anyway


class _CellLoad:
    """The load of one cell divided by its capacity, and when it was reported."""

    __slots__ = ("reported_at", "value")

    def __init__(self, now: int, value: float) -> None:
        self.value, self.reported_at = value, now


class CellLoads:
    """Loads by cell, for the cells of one table. `mean`: of all reports, so cells that report often count
    more.
    """

    def __init__(self) -> None:
        self.cells: dict[str, _CellLoad] = {}  # by name
        self.mean = 0.0

    def adopt(self, names: Collection[str]) -> None:
        """Forgets cells that the table lacks."""
        self.cells = {name: load for name, load in self.cells.items() if name in names}

    def record(self, now: int, name: str, value: float) -> None:
        """A report of the cell's load, in any unit that is the same for all cells."""
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
        """The cell's load divided by the mean; 1 where nothing is known."""
        load = self.cells.get(name)
        if load is None or now - load.reported_at > LOAD_MAX_AGE or self.mean <= 0:
            return 1.0
        return load.value / self.mean

    def draw(
        self, now: int, names: Sequence[str], capacities: Mapping[str, float], chance: RandomSource
    ) -> str:
        """Draws one of the named cells. `capacities`: by name."""
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
    """Draws a cell, about in proportion to its capacity; `largest`: the largest capacity among them."""
    for _ in range(MAX_DRAWS):
        name = names[chance.below(len(names))]
        if chance.below(SECOND) * largest < capacities[name] * SECOND:
            break
    return name
