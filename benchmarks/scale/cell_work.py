"""The work of a gateway of cells by the fleet's size: CPU time, and calls of functions, which no noise of the
machine changes. Garbage collections are left out of both: they would search the memory of all gateways."""

import argparse
import gc
import json
import sys
from dataclasses import asdict, dataclass

from benchmarks.scale.measurement import LADDERS
from benchmarks.scale.size import CHANGES_A_SECOND
from gaproute.hollow.cells import CellFleet
from gaproute.hollow.cells.metered_loop import MeteredLoop
from gaproute.hollow.cells.plan import HOSTS

FILE = "cells-work.json"
CONDITIONS = "one cell in full, no garbage collections, calls counted in every second gateway"
FULL = 1  # cells in full
SETTLE = 8  # simulated seconds: the peers are listed anew 5 s after the start
CHANGES = 3  # of the table while calls are counted
COUNTED = ("call", "c_call")
MILLI = 1_000_000


class CountingLoop(MeteredLoop):
    """`calls`: of Python and built-in functions, while `counting`; no CPU time meanwhile."""

    __slots__ = ("calls", "counting")

    def __init__(self, shared, lag=0):
        super().__init__(shared, lag)
        self.calls, self.counting = 0, False

    def _measure(self, call, args):
        if not self.counting:
            super()._measure(call, args)
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


def work(size, seed, hosts=HOSTS) -> Work:
    """Plays a fleet. Calls are counted in every second gateway, lest the counting fall on the CPU time."""
    gc.collect()
    gc.disable()
    try:
        fleet = CellFleet(int(size), seed=seed, hosts=hosts, full_cells=FULL, make_loop=CountingLoop)
        fleet.run(SETTLE)
        loops = [gateway.loop for gateway in fleet.full_gateways()]
        for loop in loops[::2]:
            loop.counting = True
        rest_cpu, rest_calls = span(fleet, loops, lambda number: None)
        day_cpu, day_calls = span(
            fleet, loops, lambda number: fleet.publish(fleet.plan.cells - 1, hosts - 1 - number % 2)
        )
        fleet.close()
    finally:
        gc.enable()
    return Work(rest_cpu, day_cpu, rest_calls, day_calls)


def span(fleet, loops, change):
    """Plays some changes, a day's time between two apart: CPU in ms and calls of a gateway in a second."""
    spent, calls = sum(loop.cpu_time for loop in loops), sum(loop.calls for loop in loops)
    for number in range(CHANGES):
        change(number)
        fleet.run(1 / CHANGES_A_SECOND)
    spent, calls = sum(loop.cpu_time for loop in loops) - spent, sum(loop.calls for loop in loops) - calls
    seconds, counted = CHANGES / CHANGES_A_SECOND, len(loops[::2])
    return spent / MILLI / seconds / (len(loops) - counted), calls / seconds / counted


def main():
    """Plays all sizes once, and keeps them."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale.cell_work", description=__doc__)
    parser.add_argument("--rungs", default="250,1000,4000,16000", help="sizes")
    parser.add_argument("--seed", type=int, default=1)
    told = parser.parse_args()
    rungs = []
    for size in map(int, told.rungs.split(",")):
        rungs.append({"size": size, **asdict(work(size, told.seed))})
        print(json.dumps(rungs[-1]), flush=True)
    kept = {"clock": "simulated", "seed": told.seed, "conditions": CONDITIONS, "rungs": rungs}
    (LADDERS / FILE).write_text(json.dumps(kept, indent=1) + "\n")


if __name__ == "__main__":
    main()
