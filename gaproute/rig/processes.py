"""The children of a rig: none outlives the parent, also where that is killed; the rig's own go first.

A wire, a client or a parent that waits for a core would void the measurement, so what is measured runs a little
nicer than what measures it.
"""
import sys
from collections import deque

from gaproute.loop import Promise
from gaproute.trial.processes import Processes

NICE = 5                     # of gateways, hosts and the store: the wire and the clients are woken first
LEAD = {"gaproute.rig.wire", "clients"}      # what the rig itself must do in time


class RigProcesses(Processes):
    def command(self, words, rate=1.0, offset=0):
        """`rate`, `offset` (ns): of a clock that is wrong."""
        clock = [f"--rate={rate:g}"] * (rate != 1) + [f"--offset-ms={offset / 1e6:g}"] * (offset != 0)
        nice = [] if LEAD & set(words) else ["nice", "-n", str(NICE)]
        return [*nice, sys.executable, "-m", "gaproute.rig.child", "--parent-death", *clock, "--", *words]


class Gate:
    """So many coroutines at a time: starts that run all at once would keep every core from what is judged."""

    def __init__(self, most):
        self.free, self.waiting = most, deque()

    def through(self, routine):
        """A coroutine: the routine, when its turn has come."""
        if self.free:
            self.free -= 1
        else:
            turn = Promise()
            self.waiting.append(turn)
            yield turn
        try:
            yield from routine
        finally:
            if self.waiting:
                self.waiting.popleft().set()
            else:
                self.free += 1
