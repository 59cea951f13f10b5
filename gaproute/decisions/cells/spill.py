"""How many requests that a cell rejected for its load may go on to the next cell.

When a cell is full its next ones take what it rejects; were all of it moved, the next cells would be full as
well and instances would be loaded everywhere. So rejected requests move within a share of all requests, by a
token bucket that arrivals fill.

Invariant: over any time no more requests move than `SHARE` of those that arrived, and `BURST`.
"""

SHARE = 0.1  # of the requests that arrive
BURST = 20.0  # requests saved up


class SpillBudget:
    """The token bucket: a token for each request that may move."""

    def __init__(self) -> None:
        self.tokens = BURST

    def record_arrival(self) -> None:
        """One more request came from a client."""
        self.tokens = min(BURST, self.tokens + SHARE)

    def try_spend(self) -> bool:
        """Takes a token, if there is one: whether a rejected request may go on to another cell."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
