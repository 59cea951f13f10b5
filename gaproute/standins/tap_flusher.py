"""Writes the taps of a stand-in process periodically, and notes where the process itself ran late."""

from __future__ import annotations

from collections.abc import Callable

from gaproute.loop import Loop
from gaproute.standins.tap import EventRecorder
from gaproute.units import MILLI

FLUSH_INTERVAL = 50 * MILLI  # a tap is read after the day: often enough that a kill costs little of it
LATE = 20 * MILLI  # a turn of a crowded but living process; beyond it the figures are the machine's


class TapFlusher:
    """Flushes from the loop every `FLUSH_INTERVAL`, from now on.

    A stand-in that runs late makes the measurement late: the event `late` (`by`, ns) says so, and gateways
    are not judged by what happened meanwhile.
    """

    def __init__(self, loop: Loop, tap: EventRecorder, flush_others: Callable[[], object]) -> None:
        """`tap`: of the process, to which lateness is noted; `flush_others()`: flushes further taps."""
        self.loop, self.tap, self.flush_others = loop, tap, flush_others
        self._run(loop.now())

    def _run(self, due: int) -> None:
        now = self.loop.now()
        if now - due > LATE:
            self.tap.note("late", by=now - due)
        self.tap.flush()
        self.flush_others()
        self.loop.call_at(now + FLUSH_INTERVAL, self._run, now + FLUSH_INTERVAL)
