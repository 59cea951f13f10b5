"""Limits the CPU time that exchanging and storing observations may take."""

from gaproute.units import MILLI

CPU_SHARE = 0.01  # of a core
# CPU time that may be spent at once: that of a dozen chunks, less than one slow turn of the loop
CPU_BURST = 10 * MILLI
SLICE = MILLI  # CPU time of one answer or write: a client's request in the same turn waits no longer for it
REST = 5 * MILLI  # between two slices: several turns of a busy loop
MIN_WAIT = MILLI


class CpuBudget:
    """A share of the elapsed time, with a small burst at most and a rest after each slice.

    So a client's request waits for one slice at most. Times are ns.
    """

    def __init__(self, now: int) -> None:
        self.available: float = CPU_BURST  # below 0 if more was spent than was available
        self._filled_at = now
        self._next_slice_at = now
        self._last_retry_at = now  # when the latest of the requests that were put off may be repeated

    def may_spend(self, now: int) -> bool:
        """Whether a slice may be spent now."""
        self.available = min(CPU_BURST, self.available + CPU_SHARE * (now - self._filled_at))
        self._filled_at = now
        return self.available > 0 and now >= self._next_slice_at

    def spend(self, now: int, duration: int) -> None:
        """Deducts the CPU time that a slice took."""
        self.available -= duration
        self._next_slice_at = now + REST

    def wait(self, now: int) -> int:
        """How long a request that is put off should wait before it is repeated.

        The waits are spread, one after the other: rejecting requests that all come at one moment would cost
        more than answering them.
        """
        refill = round(max(0, -self.available) / CPU_SHARE)
        ready = max(self._next_slice_at, now + refill)
        interval = REST if self.available > 0 else round(SLICE / CPU_SHARE)
        self._last_retry_at = max(ready, self._last_retry_at + interval)
        return max(MIN_WAIT, self._last_retry_at - now)
