"""The ration of load orders for rollouts: a part of rule 5's, and never what production may need of it."""

from collections import deque

PART = 4  # rollouts order at most one in so many of the loads that rule 5 leaves for a window


class Loads:
    """`ration`: the gateway's `Ration` of rule 5 (`may(now)`, `ordered()`, `ended(now, good)`), or None
    without one. `free`: orders for rollouts in `window` ns."""

    def __init__(self, ration, free, window):
        self.ration, self.free, self.window = ration, free, window
        self.out, self.ends = 0, deque()

    def may(self, now):
        while self.ends and self.ends[0] <= now - self.window:
            self.ends.popleft()
        return self.out + len(self.ends) < self.free and (self.ration is None or self.ration.may(now))

    def ordered(self):
        self.out += 1
        if self.ration is not None:
            self.ration.ordered()

    def ended(self, now, good=False):
        self.out -= 1
        self.ends.append(now)
        if self.ration is not None:
            self.ration.ended(now, good)


def own(free):
    """Of a rule 5 ration of `free` orders in a window."""
    return max(1, free // PART) if free else 0
