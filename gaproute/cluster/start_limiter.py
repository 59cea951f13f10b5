"""Limits how many processes start at a time, so that starts leave cores to the processes that are judged."""

from __future__ import annotations

from collections import deque

from gaproute.loop import Loop, Promise
from gaproute.scenarios.processes import Routine
from gaproute.units import MILLI

START_INTERVAL = 20 * MILLI  # a start takes the parent some 15 ms


class StartLimiter:
    """Runs at most `limit` coroutines at a time, and begins no two of them within `interval` ns."""

    def __init__(self, loop: Loop, limit: int, interval: int = START_INTERVAL) -> None:
        self.loop, self.interval = loop, interval
        self._free, self._next_start = limit, 0
        self._waiting: deque[Promise] = deque()

    def run(self, routine: Routine) -> Routine:
        """A coroutine: waits for its turn, then runs the routine."""
        if self._free:
            self._free -= 1
        else:
            turn = Promise()
            self._waiting.append(turn)
            yield turn
        self._next_start = max(self.loop.now(), self._next_start + self.interval)
        try:
            yield self.loop.sleep(self._next_start - self.loop.now())
            yield from routine
        finally:
            if self._waiting:
                self._waiting.popleft().set()
            else:
                self._free += 1
