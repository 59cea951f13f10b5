"""The limit on load orders for rollouts: a part of rule 5's, and never what production may need of it."""

from collections import deque

PART = 4  # rollouts order at most one in so many of the loads that rule 5 leaves for a window


class RolloutLoadLimiter:
    """`limiter`: the gateway's `LoadOrderLimiter` of rule 5, or None without one. `free`: orders for
    rollouts in `window` ns."""

    def __init__(self, limiter, free, window):
        self.limiter, self.free, self.window = limiter, free, window
        self.out, self.ends = 0, deque()

    def may(self, now):
        while self.ends and self.ends[0] <= now - self.window:
            self.ends.popleft()
        return self.out + len(self.ends) < self.free and (self.limiter is None or self.limiter.allows(now))

    def ordered(self):
        self.out += 1
        if self.limiter is not None:
            self.limiter.sent()

    def ended(self, now, good=False):
        self.out -= 1
        self.ends.append(now)
        if self.limiter is not None:
            self.limiter.ended(now, good=good)


def own(free):
    """Of a rule 5 limit of `free` orders in a window."""
    return max(1, free // PART) if free else 0
