"""The work of a gateway of cells by the fleet's size: CPU time, and calls of functions, which no noise of the
machine changes. Garbage collections are left out of both: they would search the memory of all gateways."""

import gc
import sys
from dataclasses import dataclass
from functools import cache
from itertools import count

from benchmarks.scale.measurement import Measurement, measure
from benchmarks.scale.size import CHANGES_A_SECOND
from gaproute.hollow.cells import CellFleet
from gaproute.hollow.cells.fleet import MeteredLoop
from gaproute.hollow.cells.plan import HOSTS

SIZES = (250, 1_000, 4_000, 16_000)
FULL = 1  # cells in full
SETTLE = 8  # simulated seconds: the peers are listed anew 5 s after the start
CHANGES = 4  # of the table while calls are counted
COUNTED = ("call", "c_call")
MILLI = 1_000_000


class CountingLoop(MeteredLoop):
    """`calls`: of Python and built-in functions, while `counting`; no CPU time meanwhile."""

    __slots__ = ("calls", "counting")

    def __init__(self, shared, lag=0):
        super().__init__(shared, lag)
        self.calls, self.counting = 0, False

    def _metered(self, call, args):
        if not self.counting:
            super()._metered(call, args)
            return
        sys.setprofile(self._count)
        try:
            call(*args)
        finally:
            sys.setprofile(None)

    def _count(self, frame, event, argument):
        self.calls += event in COUNTED


@dataclass(frozen=True)
class Work:
    """Of a gateway in full in a second; `rest`: nothing happens, `day`: the table changes as often as on a
    day. CPU in ms, calls counted."""

    rest_cpu: float
    day_cpu: float
    rest_calls: float
    day_calls: float


@cache
def work(size, seed, hosts=HOSTS) -> Work:
    """Plays a fleet."""
    gc.collect()
    gc.disable()
    try:
        fleet = CellFleet(int(size), seed, hosts, FULL, make_loop=CountingLoop)
        fleet.run(SETTLE)
        published = count()

        def change():
            fleet.publish(fleet.plan.cells - 1, hosts - 1 - next(published) % 2)

        rest, day = span(fleet, lambda: None), span(fleet, change)
        for gateway in fleet.fully():
            gateway.loop.counting = True
        rest_counted, day_counted = span(fleet, lambda: None), span(fleet, change)
        fleet.close()
    finally:
        gc.enable()
    return Work(rest.cpu, day.cpu, rest_counted.calls, day_counted.calls)


@dataclass(frozen=True)
class Span:
    """CPU in ms and calls of a gateway in full in a second."""

    cpu: float
    calls: float


def span(fleet, change):
    """Plays some changes, a day's time between two apart."""
    loops = [gateway.loop for gateway in fleet.fully()]
    spent, calls = sum(loop.spent for loop in loops), sum(loop.calls for loop in loops)
    for _ in range(CHANGES):
        change()
        fleet.run(1 / CHANGES_A_SECOND)
    spent, calls = sum(loop.spent for loop in loops) - spent, sum(loop.calls for loop in loops) - calls
    seconds = CHANGES / CHANGES_A_SECOND * len(loops)
    return Span(spent / MILLI / seconds, calls / seconds)


def measured(name, meaning, unit, figure) -> Measurement:
    """One play of one seed: of the calls, another gives the same count."""
    conditions = "one cell in full, garbage collections left out, calls counted by the interpreter's hook"
    play = lambda size, seed: getattr(work(size, seed), figure)  # noqa: E731
    return measure(name, meaning, unit, "gateways in the fleet", SIZES, play, conditions, plays=1)


FIGURES = {
    "cells-cpu-rest": ("CPU of all control parts, no change", "ms/s", "rest_cpu"),
    "cells-cpu-day": ("CPU of all control parts, at the day's changes", "ms/s", "day_cpu"),
    "cells-calls-rest": ("calls of functions in all control parts, no change", "calls/s", "rest_calls"),
    "cells-calls-day": ("calls of functions in all control parts, day's changes", "calls/s", "day_calls"),
}
MEASUREMENTS = {name: lambda name=name: measured(name, *FIGURES[name]) for name in FIGURES}
