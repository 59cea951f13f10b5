"""Calls of functions that a gateway of cells makes: its work without the noise of the machine."""

import gc
import sys

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


class CountingLoop(MeteredLoop):
    """`calls`: of Python and built-in functions, while `counting`."""

    __slots__ = ("calls", "counting")

    def __init__(self, shared, lag=0):
        super().__init__(shared, lag)
        self.calls, self.counting = 0, False

    def _metered(self, call, args):
        if not self.counting:
            call(*args)
            return
        sys.setprofile(self._count)
        try:
            call(*args)
        finally:
            sys.setprofile(None)

    def _count(self, frame, event, argument):
        self.calls += event in COUNTED


def calls(size, seed, hosts=HOSTS):
    """Calls of a gateway in full in a second, while the table changes as often as on a day."""
    gc.collect()
    gc.disable()  # what collections call depends on the process
    try:
        fleet = CellFleet(int(size), seed, hosts, FULL, make_loop=CountingLoop)
        fleet.run(SETTLE)
        gateways = fleet.fully()
        for gateway in gateways:
            gateway.loop.counting = True
        for number in range(CHANGES):
            fleet.publish(fleet.plan.cells - 1, hosts - 1 - number % 2)
            fleet.run(1 / CHANGES_A_SECOND)
        made = sum(gateway.loop.calls for gateway in gateways)
        fleet.close()
    finally:
        gc.enable()
    return made / len(gateways) / CHANGES * CHANGES_A_SECOND


def measured() -> Measurement:
    """One play: the same seed gives the same count."""
    return measure(
        "cells-calls",
        "calls of functions in all control parts, at the day's changes",
        "calls/s",
        "gateways in the fleet",
        SIZES,
        calls,
        "one cell in full, counted by the interpreter's hook, no garbage collection",
        plays=1,
    )


MEASUREMENTS = {"cells-calls": measured}
