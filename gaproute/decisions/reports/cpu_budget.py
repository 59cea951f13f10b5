"""Limits the CPU time that exchanging and storing observations may take."""

from gaproute.units import MILLI

CPU_SHARE = 0.01  # of a core
# CPU time that may be spent at once: that of a dozen chunks, less than one slow turn of the loop
CPU_BURST = 10 * MILLI
SLICE_CPU_TIME = (
    MILLI  # CPU time of one answer or write: a client's request in the same turn waits no longer for it
)
MIN_SLICE_INTERVAL = 5 * MILLI  # between two slices: several turns of a busy loop
MIN_RETRY_DELAY = MILLI


class CpuBudget:
    """A share of the elapsed time, with a small burst at most and a rest after each slice.

    So a client's request waits for one slice at most. Times are ns.
    """

    def __init__(self, now: int) -> None:
        self.available_cpu_time: float = CPU_BURST  # below 0 if more was spent than was available
        self._refilled_at = now
        self._next_slice_at = now
        self._last_retry_at = now  # when the latest of the requests that were put off may be repeated

    def allows_slice(self, now: int) -> bool:
        """Whether a slice may be spent now."""
        self.available_cpu_time = min(
            CPU_BURST, self.available_cpu_time + CPU_SHARE * (now - self._refilled_at)
        )
        self._refilled_at = now
        return self.available_cpu_time > 0 and now >= self._next_slice_at

    def deduct(self, now: int, duration: int) -> None:
        """Deducts the CPU time that a slice took."""
        self.available_cpu_time -= duration
        self._next_slice_at = now + MIN_SLICE_INTERVAL

    def retry_delay(self, now: int) -> int:
        """How long a request that is put off should wait before it is repeated.

        The waits are spread, one after the other: rejecting requests that all come at one moment would cost
        more than answering them.
        """
        refill = round(max(0, -self.available_cpu_time) / CPU_SHARE)
        ready = max(self._next_slice_at, now + refill)
        interval = MIN_SLICE_INTERVAL if self.available_cpu_time > 0 else round(SLICE_CPU_TIME / CPU_SHARE)
        self._last_retry_at = max(ready, self._last_retry_at + interval)
        return max(MIN_RETRY_DELAY, self._last_retry_at - now)
