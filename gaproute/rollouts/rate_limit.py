"""A limit on the rollouts of one campaign that one gateway sends a second."""

from gaproute.units import SECOND

MAX_BURST_ROLLOUTS = 16  # enough to fill lanes that become free together


class RateLimit:
    """A token bucket with a variable rate. `rate`: rollouts a second; None: limited by lanes only."""

    def __init__(self, now: int) -> None:
        self.rate: float | None = None
        self.tokens, self.updated_at = float(MAX_BURST_ROLLOUTS), now

    def allows(self, now: int) -> bool:
        """Whether a rollout may be sent now."""
        return self.rate is None or self._tokens_at(now, self.rate) >= 1

    def record_sent(self, now: int) -> None:
        """Records that a rollout was sent."""
        if self.rate is not None:
            self.tokens, self.updated_at = self._tokens_at(now, self.rate) - 1, now

    def _tokens_at(self, now: int, rate: float) -> float:
        return min(float(MAX_BURST_ROLLOUTS), self.tokens + (now - self.updated_at) * rate / SECOND)
