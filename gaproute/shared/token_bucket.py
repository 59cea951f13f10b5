"""A token bucket: a rate, and a bounded burst. Times are ns."""

from gaproute.units import SECOND


class TokenBucket:
    """`rate` tokens per second, at most `burst` of them saved; full at the beginning."""

    __slots__ = ("rate", "burst", "tokens", "filled_at")

    def __init__(self, rate: int, burst: int, now: int) -> None:
        self.rate, self.burst = rate, burst
        self.tokens, self.filled_at = float(burst), now

    def take(self, now: int, tokens: int) -> bool:
        """Spends that many tokens if there are enough; returns whether there were."""
        self._fill(now)
        if self.tokens < tokens:
            return False
        self.tokens -= tokens
        return True

    def borrow(self, now: int, tokens: int) -> bool:
        """Like `take`, but with a full bucket more than the burst may be taken, as a debt."""
        self._fill(now)
        if self.tokens < min(tokens, self.burst):
            return False
        self.tokens -= tokens
        return True

    def wait_time(self, now: int, tokens: int) -> int:
        """The time until there are that many tokens, ns."""
        self._fill(now)
        return max(0, round((min(tokens, self.burst) - self.tokens) * SECOND / self.rate))

    def _fill(self, now: int) -> None:
        passed = max(0, now - self.filled_at)
        self.tokens = min(self.burst, self.tokens + passed * self.rate / SECOND)
        self.filled_at = now
