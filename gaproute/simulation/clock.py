"""One actor's monotonic clock beside true time: an offset and a rate, in whole numbers both ways."""

MILLION = 1_000_000


class SimulatedClock:
    """`fast` is by how many millionths the clock is faster than true time (below nought: slower). A clock
    never goes back; where the machine is started again (`restarted`) it begins anywhere, as a monotonic clock
    does."""

    __slots__ = ("began", "shown", "rate")

    def __init__(self, now=0, shown=0, fast=0):
        self.began, self.shown, self.rate = now, shown, MILLION + fast

    def own(self, true):
        """What it shows at this true time, ns."""
        return self.shown + (true - self.began) * self.rate // MILLION

    def true(self, own):
        """The first true time, ns, at which it shows `own` or more; None for a clock that stands still."""
        if self.rate <= 0:
            return None if own > self.shown else self.began
        return self.began - (self.shown - own) * MILLION // self.rate

    def paced(self, true, fast):
        """From now on so much faster than true time; -MILLION: stands still."""
        self.shown, self.began, self.rate = self.own(true), true, MILLION + fast

    def restarted(self, true, shown):
        self.shown, self.began = shown, true
