"""Decides when a process that exited is started again; time and random numbers are handed in.

A process that exits soon after its start must not be restarted in a tight loop, and processes that end
together must not all start at one moment. A process that had run for a while is restarted soon.
"""

from gaproute.decisions.chance import RandomGenerator
from gaproute.units import MILLI, SECOND

FIRST_DELAY = 100 * MILLI  # before the first restart, so that a single crash costs little time
DELAY_GROWTH = 2  # factor on the delay for each early exit in a row
MAX_DELAY = 10 * SECOND  # so that processes start soon after a broken configuration is repaired
HEALTHY_UPTIME = 10 * SECOND  # an exit after so long is no early exit
DELAY_JITTER = 0.25  # share of the delay that is added at random
MIN_SPACING = 300 * MILLI  # between any two starts: about the CPU time that a start takes

_MAX_DOUBLINGS = 32
_JITTER_STEPS = 1000


class RestartBackoff:
    """Exponential backoff for each process slot; all starts are at least `MIN_SPACING` apart."""

    def __init__(self, chance: RandomGenerator) -> None:
        self.early_exits: dict[int, int] = {}  # by process slot: exits in a row before `HEALTHY_UPTIME`
        self.last_start: int | None = None  # when the latest start was, or is scheduled
        self._chance = chance

    def schedule_restart(self, now: int, slot: int, uptime: int) -> int:
        """When the process of that slot, which ran for `uptime` ns, is started again; ns."""
        early = 0 if uptime >= HEALTHY_UPTIME else self.early_exits.get(slot, 0) + 1
        self.early_exits[slot] = early
        delay = min(MAX_DELAY, FIRST_DELAY * DELAY_GROWTH ** min(early, _MAX_DOUBLINGS))
        delay += int(delay * DELAY_JITTER * self._chance.below(_JITTER_STEPS) / _JITTER_STEPS)
        return self.reserve_start(now + delay)

    def reserve_start(self, earliest: int) -> int:
        """Reserves and returns the first time from `earliest` on that is `MIN_SPACING` after all starts."""
        start = earliest
        if self.last_start is not None:
            start = max(start, self.last_start + MIN_SPACING)
        self.last_start = start
        return start
