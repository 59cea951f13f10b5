"""How much CPU the exchange and the storage of observations may take; the clock is handed in."""

MILLI, SECOND = 1_000_000, 1_000_000_000

CPU_SHARE = 0.01  # of a core
CPU_BURST = 10 * MILLI  # at once: a dozen chunks, less than one slow turn
SLICE = MILLI  # of CPU that one answer may take: a request in the same turn waits no longer for it
REST = 5 * MILLI  # between two slices: several turns of a busy loop
MIN_WAIT = MILLI


class CpuBudget:
    """A share of the time that passes, a small burst at most, and never two slices on end, so that a request
    waits for one of them at most. Times are in ns."""

    def __init__(self, now: int) -> None:
        self.available: float = CPU_BURST  # below 0 where more was spent than there was
        self._filled_at = now
        self._next_slice_at = now
        self._last_turn = now  # when the last of those that were put off comes again

    def may_spend(self, now: int) -> bool:
        """Whether a slice may be spent now."""
        self.available = min(CPU_BURST, self.available + CPU_SHARE * (now - self._filled_at))
        self._filled_at = now
        return self.available > 0 and now >= self._next_slice_at

    def spend(self, now: int, duration: int) -> None:
        """Takes the CPU time that a slice took."""
        self.available -= duration
        self._next_slice_at = now + REST

    def wait(self, now: int) -> int:
        """How long one that is put off should wait.

        Each comes after the one before, so that many that wait do not all come at once and cost more by
        asking than by being answered.
        """
        refill = round(max(0, -self.available) / CPU_SHARE)
        ready = max(self._next_slice_at, now + refill)
        interval = REST if self.available > 0 else round(SLICE / CPU_SHARE)
        self._last_turn = max(ready, self._last_turn + interval)
        return max(MIN_WAIT, self._last_turn - now)
