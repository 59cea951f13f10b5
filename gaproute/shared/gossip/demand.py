"""Own arrivals by function and track: the rate over the last steps, and how far the steps differ."""

from collections import deque
from math import sqrt

from gaproute.shared.gossip.facts import DEMAND, MOST, SECOND

STEP = 2 * SECOND  # arrivals are counted by it: a spread over shorter ones is that of chance alone
STEPS = 10  # kept: 20 s, a burst shows within some seconds
FUNCTIONS = 4096  # counted by name in a step; the arrivals of others count as the rest


class Demand:
    def __init__(self, now):
        self.begun = self.until = now
        self.now = {}  # (function key, track): arrivals in this step
        self.other = 0  # of functions beyond the bound
        self.past = deque()  # ({as above}, other) of the last steps
        self.sums, self.squares, self.others = {}, {}, 0

    def arrived(self, now, function, track, count=1):
        if now - self.until >= STEP:
            self.roll(now)
        name = function, track
        if name in self.now or len(self.now) < FUNCTIONS:
            self.now[name] = self.now.get(name, 0) + count
        else:
            self.other += count

    def roll(self, now):
        """Ends the steps that are over."""
        for _ in range(min(STEPS + 1, (now - self.until) // STEP)):
            for name, count in self.now.items():
                self.sums[name] = self.sums.get(name, 0) + count
                self.squares[name] = self.squares.get(name, 0) + count * count
            self.others += self.other
            self.past.append((self.now, self.other))
            self.now, self.other = {}, 0
            if len(self.past) > STEPS:
                gone, other = self.past.popleft()
                self.others -= other
                for name, count in gone.items():
                    self.sums[name] -= count
                    self.squares[name] -= count * count
                    if not self.sums[name]:
                        del self.sums[name], self.squares[name]
        self.until += (now - self.until) // STEP * STEP

    def rate(self, name):
        """(arrivals a second, the standard deviation of a step's rate)."""
        steps, seconds = len(self.past), STEP / SECOND
        total = self.sums.get(name, 0)
        if not steps or not total:
            return 0.0, 0.0
        mean = total / steps
        spread = sqrt(max(0.0, self.squares[name] / steps - mean * mean) * steps / max(1, steps - 1))
        return mean / seconds, spread / seconds

    def total(self):
        """Arrivals a second of all functions."""
        return (sum(self.sums.values()) + self.others) * SECOND / STEP / max(1, len(self.past))

    def page(self, now):
        """(rest, entries): the functions most asked for, and the rate of all others together."""
        self.roll(now)
        if not self.past:
            return 0.0, ()
        names = sorted(self.sums, key=lambda name: (-self.sums[name], name))[: MOST[DEMAND]]
        rest = self.total() - sum(self.sums[name] for name in names) * SECOND / STEP / len(self.past)
        return max(0.0, rest), tuple((*name, *self.rate(name)) for name in names)
