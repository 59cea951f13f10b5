"""When a process that died is started again: decisions only, no processes, the clock and the chance handed
in.

A process that dies at once must not be started in a loop that eats the machine, and one fault that ends all
of them must not start all of them at one moment; one that served well and died comes back at once.
"""

MILLI, SECOND = 1_000_000, 1_000_000_000

FIRST = 100 * MILLI  # before the first start again: a crash that clears at once costs little
GROW = 2  # each time it died soon
MOST = 10 * SECOND  # longest wait: a site with a broken file recovers soon after it is mended
WELL = 10 * SECOND  # lived so long, its next death is a first one again
SPREAD = 0.25  # of the wait, added by chance
APART = 300 * MILLI  # between any two starts: about the CPU that one takes


class Restarts:
    def __init__(self, chance):
        self.chance = chance
        self.soon = {}  # seat: times in a row that it died soon
        self.last = None  # when the last start was or is to be

    def died(self, now, seat, lived):
        """When to start it again, having lived so long."""
        times = self.soon[seat] = 0 if lived >= WELL else self.soon.get(seat, 0) + 1
        wait = min(MOST, FIRST * GROW ** min(times, 32))
        wait += int(wait * SPREAD * self.chance.below(1000) / 1000)
        return self.start(now + wait)

    def start(self, when):
        """The time at or after `when` that is apart from all other starts; takes it."""
        if self.last is not None:
            when = max(when, self.last + APART)
        self.last = when
        return when
