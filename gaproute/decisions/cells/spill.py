"""Limits how many requests that a cell rejected for its load may be sent to the next cell.

When a cell is full, the next ones in the order take what it rejects. If all of it moved, those would become
full as well, and instances would be loaded everywhere. So the requests that move are bounded to a share of
all requests, by a token bucket that arrivals fill.

Invariant: over any time at most `SPILL_SHARE` of the arrived requests and `SPILL_BURST` more are moved.
"""

SPILL_SHARE = 0.1  # of the requests that arrive
SPILL_BURST = 20.0  # tokens that can be saved up


class SpillBudget:
    """The token bucket: one token for each request that may move."""

    def __init__(self) -> None:
        self.tokens = SPILL_BURST

    def record_arrival(self) -> None:
        """Counts a request that came from a client."""
        self.tokens = min(SPILL_BURST, self.tokens + SPILL_SHARE)

    def try_spend(self) -> bool:
        """Takes a token if there is one; returns whether a rejected request may be sent to another cell."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
