"""Limits the CPU time that a gateway spends on the exchange and the storage of observations."""

from gaproute.units import MILLI

CPU_SHARE = 0.01  # share of one core
# CPU time that can be spent at once: that of a dozen chunks, and less than one slow turn of the loop.
CPU_BURST = 10 * MILLI
# CPU time of one slice (one answer or one write), and so the longest delay of a client's request in the same
# turn.
SLICE_CPU_TIME = MILLI
MIN_SLICE_INTERVAL = 5 * MILLI  # shortest time between two slices: several turns of a busy loop
MIN_RETRY_DELAY = MILLI


class CpuBudget:
    """A budget of `CPU_SHARE` of the elapsed time, up to `CPU_BURST`, with a pause after each slice.

    The pauses ensure that a client's request waits for one slice at most. Times are ns.
    """

    def __init__(self, now: int) -> None:
        self.available_cpu_time: float = CPU_BURST  # negative if the last slice overran the budget
        self._refilled_at = now
        self._next_slice_at = now
        self._last_retry_at = now  # latest retry time of the requests put off so far

    def allows_slice(self, now: int) -> bool:
        """Whether a slice may start now; adds the budget of the elapsed time."""
        self.available_cpu_time = min(
            CPU_BURST, self.available_cpu_time + CPU_SHARE * (now - self._refilled_at)
        )
        self._refilled_at = now
        return self.available_cpu_time > 0 and now >= self._next_slice_at

    def deduct(self, now: int, duration: int) -> None:
        """Deducts `duration`, the CPU time that a slice took."""
        self.available_cpu_time -= duration
        self._next_slice_at = now + MIN_SLICE_INTERVAL

    def retry_delay(self, now: int) -> int:
        """Returns the delay after which the sender of a request that is put off should repeat it.

        Each request gets a later retry time than the one before: rejecting requests that all arrive at the
        same moment would cost more CPU time than answering them.
        """
        refill = round(max(0, -self.available_cpu_time) / CPU_SHARE)
        ready = max(self._next_slice_at, now + refill)
        interval = MIN_SLICE_INTERVAL if self.available_cpu_time > 0 else round(SLICE_CPU_TIME / CPU_SHARE)
        self._last_retry_at = max(ready, self._last_retry_at + interval)
        return max(MIN_RETRY_DELAY, self._last_retry_at - now)
