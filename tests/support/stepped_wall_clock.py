"""A wall clock that a test steps."""

from scripted import SECOND

HOUR = 3600 * SECOND
BEGUN = 1_800_000_000 * SECOND  # ns since 1970 when the tests' monotonic clock reads nought


class Wall:
    """A wall clock that runs with a handed one, `ahead` of the true time."""

    def __init__(self, clock, ahead=0):
        self.clock, self.ahead = clock, ahead

    def true(self):
        return BEGUN + self.clock.now

    def __call__(self):
        return self.true() + self.ahead
