"""When a process that exited is started again: decisions only; clock and randomness are handed in.

A process that exits at once must not be restarted in a loop that uses up the machine, and one fault that ends
all processes must not start all of them at one moment; one that served for a while is back at once.
"""

from gaproute.decisions.chance import Chance

MILLI, SECOND = 1_000_000, 1_000_000_000

FIRST_DELAY = 100 * MILLI  # before the first restart: a crash that clears at once costs little
DELAY_GROWTH = 2  # with each early exit in a row
MAX_DELAY = 10 * SECOND  # a deployment with a broken file recovers soon after it is mended
HEALTHY_UPTIME = 10 * SECOND  # after which an exit counts as a first one again
DELAY_JITTER = 0.25  # of the delay, added at random
MIN_SPACING = 300 * MILLI  # between any two starts: about the CPU time that one takes

_MAX_DOUBLINGS = 32
_JITTER_STEPS = 1000


class RestartBackoff:
    """Exponential backoff for each process slot, with all starts kept apart."""

    def __init__(self, chance: Chance) -> None:
        self.early_exits: dict[int, int] = {}  # process slot: exits in a row before `HEALTHY_UPTIME`
        self.last_start: int | None = None  # when the last start was or is to be
        self._chance = chance

    def schedule_restart(self, now: int, slot: int, uptime: int) -> int:
        """When the process of that slot, which ran for `uptime` ns, is to be started again."""
        early = 0 if uptime >= HEALTHY_UPTIME else self.early_exits.get(slot, 0) + 1
        self.early_exits[slot] = early
        delay = min(MAX_DELAY, FIRST_DELAY * DELAY_GROWTH ** min(early, _MAX_DOUBLINGS))
        delay += int(delay * DELAY_JITTER * self._chance.below(_JITTER_STEPS) / _JITTER_STEPS)
        return self.reserve_start(now + delay)

    def reserve_start(self, earliest: int) -> int:
        """The first time from `earliest` on that is apart from all other starts; it is taken then."""
        start = earliest
        if self.last_start is not None:
            start = max(start, self.last_start + MIN_SPACING)
        self.last_start = start
        return start
