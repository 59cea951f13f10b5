"""A wall clock that a test steps."""

from scripted import SECOND

HOUR = 3600 * SECOND
WALL_CLOCK_START = 1_800_000_000 * SECOND  # ns since 1970 at which the tests' monotonic clock reads 0


class SteppedWallClock:
    """A wall clock that runs with a test's monotonic clock, `offset` ns ahead of the true time."""

    def __init__(self, clock, offset=0):
        self.clock, self.offset = clock, offset

    def true_time(self):
        return WALL_CLOCK_START + self.clock.now

    def __call__(self):
        return self.true_time() + self.offset
