"""How evenly cells are loaded by functions of Zipf popularity, while some of the gateways are played in full.

Each played gateway stands for as many as the fleet has more: its calls count so often. Loads are counts of
calls times their work over capacity; reports of them come with each answer and are a second old.
"""

from array import array
from bisect import bisect_left
from itertools import accumulate
from random import Random
from statistics import pstdev

from xxhash import xxh3_64_intdigest

from benchmarks.fleet.clock import MILLI, SECOND
from benchmarks.scale.cells.fleet import Shape, place, table
from gaproute.decisions.cells.choice import CellSelector
from gaproute.decisions.cells.demand import Demand, FleetScope
from gaproute.decisions.cells.health import CellHealth
from gaproute.decisions.cells.homes import HomeCells
from gaproute.decisions.cells.loads import CellLoads
from gaproute.decisions.chance import Chance

FUNCTIONS = 390_000
RATE = 194  # calls a second of a gateway
KEEP_ALIVE = 600 * SECOND
TICK = SECOND // 10  # between looks at the loads
WINDOW = 5 * SECOND  # in which swings show


def work(function):
    """Time of a call: 20 to 320 ms, by the function; half take less than 80."""
    return 20 * MILLI * 2 ** (4 * xxh3_64_intdigest(function.encode(), 99) / (1 << 64))


class Popularity:
    """Draws functions by Zipf's law."""

    def __init__(self, functions, exponent, random):
        self.names = [f"function{rank}" for rank in range(functions)]
        self.sums = array("d", accumulate(1 / rank**exponent for rank in range(1, functions + 1)))
        self.random = random

    def draw(self):
        """A function's name."""
        return self.names[bisect_left(self.sums, self.random.random() * self.sums[-1])]


class Choosers:
    """The decisions of the gateways played; orders by one table are the same and so are shared."""

    def __init__(self, shape, made, played, chance_seed, draw=None):
        self.homes = {}
        self.each = []
        for number in range(played):
            stands = place(number, shape)
            homes = self.homes.setdefault(stands.region, HomeCells(made, 65_536, (stands.region,)))
            regional = max(1, shape.gateways // shape.regions)
            demand = Demand(0, FleetScope(shape.gateways, regional, KEEP_ALIVE))
            chance = Chance(chance_seed + number)
            loads = draw() if draw else CellLoads()
            self.each.append(
                CellSelector(stands, homes, demand, loads, CellHealth(stands.name, chance, stands), chance)
            )
            self.each[-1].health.adopt(made)


class ReportedLoads:
    """Loads of the cells as their hosts would report them."""

    def __init__(self, made, weight):
        self.capacity = {cell.name: cell.capacity for cell in made.cells}
        self.weight = weight  # calls that each played call stands for
        self.now = dict.fromkeys(self.capacity, 0.0)  # of this tick
        self.told = dict.fromkeys(self.capacity, 0.0)  # over capacity, of the last second
        self.total = dict.fromkeys(self.capacity, 0.0)
        self.window = dict.fromkeys(self.capacity, 0.0)  # since the last one began
        self.swings = []  # deviation over the mean in each window

    def add(self, name, span):
        """A call's work at a cell."""
        self.now[name] += span

    def tick(self, measured):
        """Reports follow the work of the last second."""
        for name, load in self.now.items():
            rate = load * self.weight / TICK / self.capacity[name]
            self.told[name] += (rate - self.told[name]) * TICK / SECOND
            if measured:
                self.total[name] += load
                self.window[name] += load
            self.now[name] = 0.0

    def end_window(self):
        """Note how far the cells lie apart in a short time."""
        over = [load / self.capacity[name] for name, load in self.window.items()]
        if any(over):
            self.swings.append(pstdev(over) / (sum(over) / len(over)))
        self.window = dict.fromkeys(self.capacity, 0.0)


def play(shape, played, seconds, warm_up, seed=1, exponent=1.0, functions=FUNCTIONS, draw=None, rate=RATE):
    """One play: {what: figure} over the time after the warm-up."""
    random = Random(seed)
    popularity, made = Popularity(functions, exponent, random), table(shape)
    choosers = Choosers(shape, made, played, seed, draw)
    loads = ReportedLoads(made, shape.gateways / played)
    works = {}
    step = SECOND / (rate * played)
    now, ticked = 0.0, 0
    calls = regional = 0
    while now < seconds * SECOND:
        now += random.expovariate(1) * step
        while now - ticked >= TICK:
            ticked += TICK
            loads.tick(ticked > warm_up * SECOND)
            if ticked % WINDOW == 0:
                loads.end_window()
        chooser = choosers.each[random.randrange(played)]
        function, at = popularity.draw(), int(now)
        span = works.get(function) or works.setdefault(function, work(function))
        chooser.demand.record_arrival(at, function)
        choice = next(chooser.cells(at, function))
        loads.add(choice.cell, span)
        chooser.demand.record_duration(function, int(span))
        chooser.loads.record(at, choice.cell, loads.told[choice.cell])
        calls += 1
        regional += chooser.demand.functions[function].placement.regional
    over = [loads.total[name] / loads.capacity[name] for name in loads.capacity]
    mean = sum(loads.total.values()) / sum(loads.capacity.values())
    return {
        "most loaded over mean": round(max(over) / mean, 3),
        "least loaded over mean": round(min(over) / mean, 3),
        "deviation over mean": round(pstdev(over) / mean, 3),
        "deviation in windows of 5 s": round(sum(loads.swings) / max(1, len(loads.swings)), 3),
        "calls": calls,
        "share of calls placed within the region": round(regional / calls, 3),
    }


SHAPE = Shape(490, 51, 16_000, entries=0)
