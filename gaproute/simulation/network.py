"""The fate of each message between actors: lost, doubled, late, kept back. Holds no message and does no
I/O."""

MILLI = 1_000_000  # ns
LEAST = 200_000  # ns that a message takes at least
USUAL = 2 * MILLI  # ns more, evenly spread
TAIL = 15_000  # of a million: a message that comes late without any fault
LATE = 60 * MILLI  # ns that such a one takes at most


class SimulatedNetwork:
    """Actors go by their number. Faults are counted, so that two that overlap both have to end."""

    __slots__ = ("size", "chance", "cuts", "held", "lose", "double", "slow", "counts")

    def __init__(self, size, chance):
        self.size, self.chance = size, chance
        self.cuts = [0] * (size * size)  # by sender * size + to: how many cuts stand
        self.held = {}  # (sender, to): when what is kept back is released
        self.lose, self.double = [], []  # shares in millionths, of each fault that stands
        self.slow = []  # ns more at most, of each fault that stands
        self.counts = {"sent": 0, "lost": 0, "cut": 0, "doubled": 0, "held": 0}

    def arrivals(self, now, sender, to):
        """True times at which a message sent now comes; none: it is lost."""
        counts, chance = self.counts, self.chance
        counts["sent"] += 1
        if self.cuts[sender * self.size + to]:
            counts["cut"] += 1
            return ()
        if self.lose and chance.often(max(self.lose)):
            counts["lost"] += 1
            return ()
        first = now + self._takes()
        until = self.held.get((sender, to), 0) if self.held else 0
        if until > first:
            counts["held"] += 1
            first = until + chance.below(MILLI)
        if self.double and chance.often(max(self.double)):
            counts["doubled"] += 1
            return first, first + self._takes()
        return (first,)

    def _takes(self):
        random = self.chance.random
        takes = LEAST + int(random() * USUAL)
        if random() * 1_000_000 < TAIL:
            takes += int(random() * LATE)
        if self.slow:
            takes += int(random() * max(self.slow))
        return takes

    def cut(self, sender, to, by):
        """`by` is 1 at the cut's beginning, -1 at its end."""
        self.cuts[sender * self.size + to] += by

    def hold(self, sender, to, until):
        self.held[sender, to] = max(until, self.held.get((sender, to), 0))

    def release(self, now):
        self.held = {pair: until for pair, until in self.held.items() if until > now}
