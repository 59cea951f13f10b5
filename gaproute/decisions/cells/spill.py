"""Limits how many of the requests that a cell rejected for its load are sent to the next cell.

When a cell is full, the next cells in the order serve requests that it rejects. If all rejected requests
moved, those cells would become full as well, and instances would be loaded in all cells. So the requests that
move are limited to a share of all requests, by a token bucket that arriving requests fill.

Invariant: over any period, at most `SPILL_SHARE` of the arriving requests plus `SPILL_BURST` requests move.
"""

SPILL_SHARE = 0.1  # tokens added for each arriving request
SPILL_BURST = 20.0  # tokens in a full bucket


class SpillBudget:
    """The token bucket; each request that moves to another cell takes one token."""

    def __init__(self) -> None:
        self.tokens = SPILL_BURST

    def record_arrival(self) -> None:
        """Adds the tokens for a request from a client."""
        self.tokens = min(SPILL_BURST, self.tokens + SPILL_SHARE)

    def try_spend(self) -> bool:
        """Takes a token if there is one; returns whether it did, so that the request may move."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
