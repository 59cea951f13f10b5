"""The children of a harness: none outlives the parent, also where that is killed; the harness's own go first.

A wire, a client, a host or a parent that waits for a core measures itself: with 340 processes on 8 cores a
wire that used 6% of a core waited for one half of the time, whatever its nice value. So all but the gateways
are woken at once.
"""

import os
import shutil
import sys
from collections import deque

from gaproute.loop import Promise
from gaproute.scenarios.processes import MILLI, DayProcesses

NICE = 5  # that gateways are nicer where nobody may be woken at once
URGENT, NEXT = 2, 1  # the lowest real-time priorities: woken at once, before other work; gateways
#                              on a crowded machine come next, so that they never hold the wire up


def hurry(pid, priority=URGENT):
    """From now on this process is woken at once. Whether it is allowed (it needs root)."""
    try:
        os.sched_setscheduler(pid, os.SCHED_RR, os.sched_param(priority))
    except (PermissionError, ProcessLookupError):
        return False
    return True


def calm():
    """No more hurry for this process: the judging can wait."""
    os.sched_setscheduler(0, os.SCHED_OTHER, os.sched_param(0))


class ClusterProcesses(DayProcesses):
    # As a service manager starts them. Linux shares cores among sessions first: in one, 200 gateways would
    # have as much as a single process of somebody else's.
    OWN_SESSION = True

    def __init__(self, loop, out):
        super().__init__(loop, out)
        # Whether the harness's own are woken at once. What they start must be able to give that up as it
        # starts.
        self.first = shutil.which("chrt") is not None and hurry(0)

    def command(self, words, rate=1.0, offset=0, environment=None):
        """`rate`, `offset` (ns): of a clock that is wrong; `environment`: to add."""
        clock = [f"--rate={rate:g}"] * (rate != 1) + [f"--offset-ms={offset / 1e6:g}"] * (offset != 0)
        # The parent waits until the new process runs its first program: as urgent as it, and only until then.
        manner = []
        if self.first and "clients" not in words:
            manner = ["chrt", "-o", "0"]
        elif not self.first and "serve" in words:
            manner = ["nice", "-n", str(NICE)]
        if environment:
            manner = ["env", *(f"{name}={value}" for name, value in environment.items()), *manner]
        return [
            *manner,
            sys.executable,
            "-m",
            "gaproute.cluster.child",
            "--parent-death",
            *clock,
            "--",
            *words,
        ]

    def first_line(self, process, name="a stand-in"):
        """As a trial's; who is ready is the harness's own, and hurries from then on."""
        promise = super().first_line(process, name)
        promise.then(lambda promise: self.first and hurry(process.child.pid))
        return promise


class StartLimiter:
    """So many coroutines at a time: starts that run all at once would keep every core from what is judged.
    Nor do two begin in one turn: a start takes the parent some 15 ms."""

    APART = 20 * MILLI

    def __init__(self, loop, most):
        self.loop, self.free, self.waiting, self.due = loop, most, deque(), 0

    def through(self, routine):
        """A coroutine: the routine, when its turn has come."""
        if self.free:
            self.free -= 1
        else:
            turn = Promise()
            self.waiting.append(turn)
            yield turn
        self.due = max(self.loop.now(), self.due + self.APART)
        try:
            yield self.loop.sleep(self.due - self.loop.now())
            yield from routine
        finally:
            if self.waiting:
                self.waiting.popleft().set()
            else:
                self.free += 1
