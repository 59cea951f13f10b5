"""A token bucket: so much a second, a burst at most."""

from gaproute.shared.dissemination.bounds import SECOND


class Budget:
    """`rate` tokens a second, `burst` at most at once."""

    def __init__(self, rate: int, burst: int, now: int):
        self.rate, self.burst = rate, burst
        self.tokens, self.filled = float(burst), now

    def take(self, now: int, tokens: int) -> bool:
        """Whether there was room for them; they are spent then."""
        self._fill(now)
        if self.tokens < tokens:
            return False
        self.tokens -= tokens
        return True

    def borrow(self, now: int, tokens: int) -> bool:
        """Like `take`, but more than the burst may be taken where that is there: it is paid off later."""
        self._fill(now)
        if self.tokens < min(tokens, self.burst):
            return False
        self.tokens -= tokens
        return True

    def wait(self, now: int, tokens: int) -> int:
        """Nanoseconds until there is room for them."""
        self._fill(now)
        return max(0, round((min(tokens, self.burst) - self.tokens) * SECOND / self.rate))

    def _fill(self, now):
        passed = max(0, now - self.filled)
        self.tokens = min(self.burst, self.tokens + passed * self.rate / SECOND)
        self.filled = now
