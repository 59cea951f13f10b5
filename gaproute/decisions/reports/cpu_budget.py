"""How much CPU telling may take: decisions only, the clock handed in."""

MILLI, SECOND = 1_000_000, 1_000_000_000

SHARE = 0.01  # of a giver's core that telling may take
BURST = 10 * MILLI  # of CPU that telling may take at once: a dozen chunks, less than one slow turn
SLICE = MILLI  # of CPU that one answer may take: a task in the same turn waits no longer for it
REST = 5 * MILLI  # between two slices: several turns of a busy loop


class CpuBudget:
    """How much CPU telling may take: a share of the time that passes, a small burst at most, and never two
    slices on end, so that a task waits for one of them at most."""

    def __init__(self, now):
        self.left, self.at, self.again, self.turn = BURST, now, now, now

    def may(self, now):
        self.left, self.at = min(BURST, self.left + SHARE * (now - self.at)), now
        return self.left > 0 and now >= self.again

    def spend(self, now, span):
        self.left -= span
        self.again = now + REST

    def wait(self, now):
        """Until one that is put off should ask again, ns: each after the one before, so that many that wait
        do not all come at once and cost more by asking than by being told."""
        ready = max(self.again, now + round(max(0, -self.left) / SHARE))
        self.turn = max(ready, self.turn + (REST if self.left > 0 else round(SLICE / SHARE)))
        return max(MILLI, self.turn - now)
