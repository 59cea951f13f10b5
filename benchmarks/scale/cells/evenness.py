"""How evenly cells are loaded by functions of Zipf popularity, while some of the gateways are played in full.

Each played gateway stands for as many as the fleet has more: its calls count so often. Loads are counts of
calls times their work over capacity; reports of them come with each answer and are a second old.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from statistics import pstdev
from typing import Any

from xxhash import xxh3_64_intdigest

from benchmarks.fleet.clock import MILLI, SECOND
from benchmarks.scale.cells.fleet import Shape, location_of, make_table
from benchmarks.scale.cells.popularity import Popularity
from gaproute.decisions.cells.choice import CellSelector
from gaproute.decisions.cells.demand import Demand, FleetScope
from gaproute.decisions.cells.health import CellHealth
from gaproute.decisions.cells.homes import HomeCells
from gaproute.decisions.cells.loads import CellLoads
from gaproute.decisions.cells.table import CellTable
from gaproute.decisions.chance import RandomGenerator

SHAPE = Shape(490, 51, 16_000, entries=0)
FUNCTIONS = 390_000
RATE = 194  # calls a second of a gateway
KEEP_ALIVE = 600 * SECOND
TICK = SECOND // 10  # between updates of the loads
WINDOW = 5 * SECOND  # in which swings show
MAX_ORDERS = 65_536  # of cells, cached by the gateways of a region
SHORTEST_WORK, DOUBLINGS, WORK_SEED = 20 * MILLI, 4, 99  # of a call


def work_of(function: str) -> float:
    """Time of a call, ns: 20 to 320 ms, by the function; half take less than 80."""
    digest = xxh3_64_intdigest(function.encode(), WORK_SEED)
    return float(SHORTEST_WORK * 2 ** (DOUBLINGS * digest / (1 << 64)))


class Selectors:
    """The decisions of the gateways played; orders by one table are the same and so are shared."""

    def __init__(
        self,
        shape: Shape,
        table: CellTable,
        count: int,
        seed: int,
        make_loads: Callable[[], CellLoads] = CellLoads,
    ) -> None:
        self._shape, self._table, self._seed, self._make_loads = shape, table, seed, make_loads
        self._homes: dict[str, HomeCells] = {}  # by region
        self.all = [self._make(number) for number in range(count)]

    def _make(self, number: int) -> CellSelector:
        location = location_of(number, self._shape)
        if location.region not in self._homes:
            self._homes[location.region] = HomeCells(self._table, MAX_ORDERS, (location.region,))
        regional = max(1, self._shape.gateways // self._shape.regions)
        demand = Demand(0, FleetScope(self._shape.gateways, regional, KEEP_ALIVE))
        chance = RandomGenerator(self._seed + number)
        health = CellHealth(location.name, chance, location)
        homes = self._homes[location.region]
        selector = CellSelector(location, homes, demand, self._make_loads(), health, chance)
        health.adopt(self._table)
        return selector


class ReportedLoads:
    """Loads of the cells as their hosts would report them; `weight`: calls that each played call stands for.

    `reported` is over capacity, of the last second; `total` is the work since the warm-up, ns.
    """

    def __init__(self, table: CellTable, weight: float) -> None:
        self.capacity = {cell.name: cell.capacity for cell in table.cells}
        self.reported = dict.fromkeys(self.capacity, 0.0)
        self.total = dict.fromkeys(self.capacity, 0.0)
        self.swings: list[float] = []  # deviation over the mean in each window
        self._weight = weight
        self._in_tick = dict.fromkeys(self.capacity, 0.0)
        self._in_window = dict.fromkeys(self.capacity, 0.0)

    def add(self, cell: str, work: float) -> None:
        """Add a call's work at a cell."""
        self._in_tick[cell] += work

    def tick(self, *, measured: bool) -> None:
        """Let the reports follow the work of the last second."""
        for cell, load in self._in_tick.items():
            rate = load * self._weight / TICK / self.capacity[cell]
            self.reported[cell] += (rate - self.reported[cell]) * TICK / SECOND
            if measured:
                self.total[cell] += load
                self._in_window[cell] += load
            self._in_tick[cell] = 0.0

    def end_window(self) -> None:
        """Note how far the cells lie apart in a short time."""
        relative = [load / self.capacity[cell] for cell, load in self._in_window.items()]
        if any(relative):
            self.swings.append(pstdev(relative) / (sum(relative) / len(relative)))
        self._in_window = dict.fromkeys(self.capacity, 0.0)


class EvennessPlay:
    """One play. `played`: gateways played in full, each with `rate` calls a second."""

    def __init__(
        self,
        shape: Shape,
        played: int,
        *,
        seed: int,
        exponent: float,
        functions: int,
        make_loads: Callable[[], CellLoads],
        rate: float,
    ) -> None:
        self._random, self._played = Random(seed), played
        self._popularity = Popularity(functions, exponent, self._random)
        table = make_table(shape)
        self._selectors = Selectors(shape, table, played, seed, make_loads).all
        self._loads = ReportedLoads(table, shape.gateways / played)
        self._works: dict[str, float] = {}  # by function
        self._mean_gap = SECOND / (rate * played)
        self._calls = self._regional = 0

    def run(self, seconds: float, warm_up: float) -> dict[str, Any]:
        """The figures over the time after the warm-up."""
        now, ticked = 0.0, 0
        while now < seconds * SECOND:
            now += self._random.expovariate(1) * self._mean_gap
            while now - ticked >= TICK:
                ticked += TICK
                self._loads.tick(measured=ticked > warm_up * SECOND)
                if ticked % WINDOW == 0:
                    self._loads.end_window()
            self._call(int(now))
        return self._figures()

    def _call(self, now: int) -> None:
        selector = self._selectors[self._random.randrange(self._played)]
        function = self._popularity.draw()
        work = self._works.get(function) or self._works.setdefault(function, work_of(function))
        selector.demand.record_arrival(now, function)
        choice = next(selector.choices(now, function))
        self._loads.add(choice.cell, work)
        selector.demand.record_duration(function, int(work))
        selector.loads.record(now, choice.cell, self._loads.reported[choice.cell])
        self._calls += 1
        self._regional += selector.demand.functions[function].placement.regional

    def _figures(self) -> dict[str, Any]:
        loads = self._loads
        relative = [loads.total[cell] / loads.capacity[cell] for cell in loads.capacity]
        mean = sum(loads.total.values()) / sum(loads.capacity.values())
        swing = sum(loads.swings) / max(1, len(loads.swings))
        return {
            "most loaded over mean": round(max(relative) / mean, 3),
            "least loaded over mean": round(min(relative) / mean, 3),
            "deviation over mean": round(pstdev(relative) / mean, 3),
            "deviation in windows of 5 s": round(swing, 3),
            "calls": self._calls,
            "share of calls placed within the region": round(self._regional / self._calls, 3),
        }


def play(
    shape: Shape,
    played: int,
    seconds: float,
    warm_up: float,
    seed: int = 1,
    exponent: float = 1.0,
    functions: int = FUNCTIONS,
    make_loads: Callable[[], CellLoads] = CellLoads,
    rate: float = RATE,
) -> dict[str, Any]:
    """The figures of one play over the time after the warm-up, s."""
    made = EvennessPlay(
        shape,
        played,
        seed=seed,
        exponent=exponent,
        functions=functions,
        make_loads=make_loads,
        rate=rate,
    )
    return made.run(seconds, warm_up)
