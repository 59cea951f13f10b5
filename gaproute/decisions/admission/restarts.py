"""Decides when a process that exited is started again; callers pass in the time and the random numbers.

A process that exits soon after its start must not be restarted in a tight loop, and processes that exit
together must not all start at the same moment. A process that ran for a while before its exit is restarted
soon.
"""

from gaproute.decisions.chance import RandomGenerator
from gaproute.units import MILLI, SECOND

FIRST_DELAY = 100 * MILLI  # delay before the first restart: short, so that a single crash costs little time
DELAY_GROWTH = 2  # factor by which each consecutive early exit multiplies the delay
MAX_DELAY = 10 * SECOND  # longest delay: processes start soon after a broken configuration is repaired
HEALTHY_UPTIME = 10 * SECOND  # an exit after at least this uptime is not an early exit
DELAY_JITTER_SHARE = 0.25  # share of the delay up to which a random time is added
MIN_START_INTERVAL = 300 * MILLI  # shortest time between two starts: about the CPU time that a start takes

_MAX_DOUBLINGS = 32
_JITTER_STEPS = 1000


class RestartBackoff:
    """Exponential backoff for each process slot; all starts are at least `MIN_START_INTERVAL` apart."""

    def __init__(self, chance: RandomGenerator) -> None:
        self.early_exit_counts: dict[int, int] = {}  # by process slot: consecutive early exits
        # The latest reserved start time (ns); it may be in the future.
        self.last_start_time: int | None = None
        self._chance = chance

    def schedule_restart(self, now: int, slot: int, uptime: int) -> int:
        """Returns the time (ns) to restart the slot's process, which exited after `uptime` ns."""
        early = 0 if uptime >= HEALTHY_UPTIME else self.early_exit_counts.get(slot, 0) + 1
        self.early_exit_counts[slot] = early
        delay = min(MAX_DELAY, FIRST_DELAY * DELAY_GROWTH ** min(early, _MAX_DOUBLINGS))
        delay += int(delay * DELAY_JITTER_SHARE * self._chance.below(_JITTER_STEPS) / _JITTER_STEPS)
        return self.reserve_start(now + delay)

    def reserve_start(self, earliest: int) -> int:
        """Reserves and returns the first start time (ns) from `earliest` on that is possible.

        It is at least `MIN_START_INTERVAL` after all start times reserved before.
        """
        start = earliest
        if self.last_start_time is not None:
            start = max(start, self.last_start_time + MIN_START_INTERVAL)
        self.last_start_time = start
        return start
