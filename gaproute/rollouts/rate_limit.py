"""A limit on how many rollouts of one campaign one gateway sends a second."""

from gaproute.units import SECOND

MAX_BURST_ROLLOUTS = 16  # rollouts at once at most: lanes that become free together are filled together


class RateLimit:
    """A token bucket whose rate may change or be absent. `rate`: rollouts a second; None: as lanes allow."""

    def __init__(self, now: int) -> None:
        self.rate: float | None = None
        self.tokens, self.updated_at = float(MAX_BURST_ROLLOUTS), now

    def allows(self, now: int) -> bool:
        """Whether a rollout may be sent now."""
        return self.rate is None or self._tokens_at(now, self.rate) >= 1

    def record_sent(self, now: int) -> None:
        """A rollout was sent."""
        if self.rate is not None:
            self.tokens, self.updated_at = self._tokens_at(now, self.rate) - 1, now

    def _tokens_at(self, now: int, rate: float) -> float:
        return min(float(MAX_BURST_ROLLOUTS), self.tokens + (now - self.updated_at) * rate / SECOND)
