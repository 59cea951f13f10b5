"""Turns at a pace, with a small burst: what a plan lets one gateway send of one campaign."""

SECOND = 1_000_000_000
BURST = 16  # turns saved at most: lanes that become free together are filled together


class RateLimit:
    """`rate`: turns a second; None: as lanes allow."""

    def __init__(self, now):
        self.rate, self.left, self.at = None, float(BURST), now

    def _now(self, now):
        return min(float(BURST), self.left + (now - self.at) * self.rate / SECOND)

    def may(self, now):
        return self.rate is None or self._now(now) >= 1

    def took(self, now):
        if self.rate is not None:
            self.left, self.at = self._now(now) - 1, now
