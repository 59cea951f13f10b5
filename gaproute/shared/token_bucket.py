"""A token bucket, which limits a rate and the size of a burst. Times are in ns."""

from gaproute.units import SECOND


class TokenBucket:
    """A bucket that gains `rate` tokens per second, has at most `burst` tokens, and is full at first."""

    __slots__ = ("rate", "burst", "tokens", "filled_at")

    def __init__(self, rate: int, burst: int, now: int) -> None:
        self.rate, self.burst = rate, burst
        self.tokens, self.filled_at = float(burst), now

    def take(self, now: int, tokens: int) -> bool:
        """Removes the tokens if the bucket has them all; returns whether it did."""
        self._fill(now)
        if self.tokens < tokens:
            return False
        self.tokens -= tokens
        return True

    def borrow(self, now: int, tokens: int) -> bool:
        """Like `take`, but a full bucket also grants more tokens than the burst and goes into debt."""
        self._fill(now)
        if self.tokens < min(tokens, self.burst):
            return False
        self.tokens -= tokens
        return True

    def wait_time(self, now: int, tokens: int) -> int:
        """The time until `borrow` grants the tokens, ns."""
        self._fill(now)
        return max(0, round((min(tokens, self.burst) - self.tokens) * SECOND / self.rate))

    def _fill(self, now: int) -> None:
        elapsed = max(0, now - self.filled_at)
        self.tokens = min(self.burst, self.tokens + elapsed * self.rate / SECOND)
        self.filled_at = now
