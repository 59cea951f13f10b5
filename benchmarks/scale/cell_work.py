"""The work of a gateway of cells by the fleet's size: CPU time, and calls of functions, which no noise of the
machine changes. Garbage collections are left out of both: they would search the memory of all gateways."""

from __future__ import annotations

import argparse
import gc
import json
import sys
from collections.abc import Callable
from dataclasses import asdict, dataclass
from types import FrameType
from typing import NamedTuple

from benchmarks.scale.measurement import LADDERS
from benchmarks.scale.size import CHANGES_A_SECOND
from gaproute.hollow.cells import CellFleet
from gaproute.hollow.cells.metered_loop import MeteredLoop
from gaproute.hollow.cells.plan import HOSTS
from gaproute.hollow.simulation import SimulatedLoop
from gaproute.loop.timers import Callback

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

    def __init__(self, shared: SimulatedLoop, lag: int = 0) -> None:
        super().__init__(shared, lag)
        self.calls, self.counting = 0, False

    def _measure(self, call: Callback, args: tuple[object, ...]) -> None:
        if not self.counting:
            super()._measure(call, args)
            return
        sys.setprofile(self._count)
        try:
            call(*args)
        finally:
            sys.setprofile(None)

    def _count(self, frame: FrameType, event: str, argument: object) -> None:
        self.calls += event in COUNTED


class SpanWork(NamedTuple):
    """Of a gateway in a second."""

    cpu: float  # ms
    calls: float


@dataclass(frozen=True)
class Work:
    """Of a gateway in full in a second: CPU in ms, and calls.

    `rest`: nothing happens; `day`: the table changes as often as on a day.
    """

    rest_cpu: float
    day_cpu: float
    rest_calls: float
    day_calls: float


def work(size: int, seed: int, hosts: int = HOSTS) -> Work:
    """Play a fleet. Calls are counted in every second gateway, lest the counting fall on the CPU time."""
    gc.collect()
    gc.disable()
    try:
        fleet = CellFleet(int(size), seed=seed, hosts=hosts, full_cells=FULL, make_loop=CountingLoop)
        fleet.run(SETTLE)
        full = [gateway.loop for gateway in fleet.full_gateways()]
        loops = [loop for loop in full if isinstance(loop, CountingLoop)]
        for loop in loops[::2]:
            loop.counting = True
        last_cell = fleet.plan.cells - 1
        rest = span_work(fleet, loops, lambda number: None)
        day = span_work(fleet, loops, lambda number: fleet.publish(last_cell, hosts - 1 - number % 2))
        fleet.close()
    finally:
        gc.enable()
    return Work(rest.cpu, day.cpu, rest.calls, day.calls)


def span_work(fleet: CellFleet, loops: list[CountingLoop], change: Callable[[int], object]) -> SpanWork:
    """Play some changes, a day's time between two apart."""
    cpu, calls = sum(loop.cpu_time for loop in loops), sum(loop.calls for loop in loops)
    for number in range(CHANGES):
        change(number)
        fleet.run(1 / CHANGES_A_SECOND)
    cpu, calls = sum(loop.cpu_time for loop in loops) - cpu, sum(loop.calls for loop in loops) - calls
    seconds, counted = CHANGES / CHANGES_A_SECOND, len(loops[::2])
    return SpanWork(cpu / MILLI / seconds / (len(loops) - counted), calls / seconds / counted)


def main() -> None:
    """Play all sizes once, and keep them."""
    parser = argparse.ArgumentParser(prog="python -m benchmarks.scale.cell_work", description=__doc__)
    parser.add_argument("--rungs", default="250,1000,4000,16000", help="sizes")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    rungs = []
    for size in map(int, arguments.rungs.split(",")):
        rungs.append({"size": size, **asdict(work(size, arguments.seed))})
        print(json.dumps(rungs[-1]), flush=True)
    content = {"clock": "simulated", "seed": arguments.seed, "conditions": CONDITIONS, "rungs": rungs}
    (LADDERS / FILE).write_text(json.dumps(content, indent=1) + "\n")


if __name__ == "__main__":
    main()
