"""How many calls that a cell refused for its load may go on to the next cell.

When a cell is full its next ones take what it refuses; were all of it moved, the next cells would be full as
well and copies would be loaded everywhere. So refused calls move within a share of all calls.

Invariant: over any time no more calls move than `SHARE` of those that arrived, and `BURST`.
"""

SHARE = 0.1  # of the calls that arrive
BURST = 20.0  # calls saved up


class SpillBudget:
    """A budget that arrivals fill."""

    def __init__(self):
        self.tokens = BURST

    def record_arrival(self):
        """One more call came from a client."""
        self.tokens = min(BURST, self.tokens + SHARE)

    def try_spend(self):
        """Whether a refused call may go on to another cell; takes it out of the budget."""
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True
