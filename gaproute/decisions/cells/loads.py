"""How loaded the cells are, as far as this gateway heard lately, and the draw between two of them.

Each call of a function with several homes draws two of them, in proportion to capacity, and takes the less
loaded the more likely, the more their loads differ (the power of two choices, Mitzenmacher 2001, with a
slope for loads that are old). Bounded loads (Mirrokni and others, 2018) would need a count of the calls at
each home that all gateways share.

Invariant: a load is forgotten `LOAD_MAX_AGE` after it was heard, and then counts as the mean.
"""

from math import exp

SECOND = 1_000_000_000

LOAD_MEMORY = 10 * SECOND  # over which reports of a cell are averaged
LOAD_MAX_AGE = 60 * SECOND  # a load heard longer ago says nothing
SLOPE = 12.0  # of the chance by the difference of two loads over the mean: a tenth shifts it by 0.6
MIN_PROBABILITY = 0.05  # of the more loaded one: it is still heard of
MAX_DRAWS = 8  # draws until one passes by its capacity


class Load:
    """The load of one cell over its capacity."""

    __slots__ = ("value", "at")

    def __init__(self, now, value):
        self.value, self.at = value, now


class CellLoads:
    """Loads by cell, for cells of one table."""

    def __init__(self):
        self.cells = {}  # name: Load
        self.mean = 0.0  # of the reports, each cell by how often it reports

    def adopt(self, names):
        """Forget cells that the table has no more."""
        self.cells = {name: load for name, load in self.cells.items() if name in names}

    def record(self, now, name, value):
        """A report told the cell's load, in any unit that is the same for all cells."""
        load = self.cells.get(name)
        if load is None:
            load = self.cells[name] = Load(now, value)
            self.mean = self.mean or value
        else:
            load.value += (value - load.value) * (1 - exp(-max(now - load.at, SECOND // 10) / LOAD_MEMORY))
            load.at = now
        self.mean += (load.value - self.mean) / 256

    def relative_load(self, now, name):
        """The cell's load over the mean: 1 where nothing is known."""
        load = self.cells.get(name)
        if load is None or now - load.at > LOAD_MAX_AGE or self.mean <= 0:
            return 1.0
        return load.value / self.mean

    def draw(self, now, names, capacities, chance):
        """One of the cells named. `capacities`: {name: capacity}."""
        if len(names) == 1:
            return names[0]
        most = max(capacities[name] for name in names[:MAX_DRAWS])
        first = _by_capacity(names, capacities, most, chance)
        second = _by_capacity(names, capacities, most, chance)
        if first == second:
            return first
        shift = SLOPE * (self.relative_load(now, second) - self.relative_load(now, first)) / 2
        part = min(1 - MIN_PROBABILITY, max(MIN_PROBABILITY, 0.5 + shift))
        return first if chance.below(SECOND) < part * SECOND else second


def _by_capacity(names, capacities, most, chance):
    """A cell drawn about in proportion to its capacity; `most` is that of the largest of a few."""
    for _ in range(MAX_DRAWS):
        name = names[chance.below(len(names))]
        if chance.below(SECOND) * most < capacities[name] * SECOND:
            break
    return name
