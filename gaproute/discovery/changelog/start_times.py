"""Start times of hosts: told by the wall clock, used by the loop's monotonic clock."""


class StartTimes:
    """Converts start times so that a wall clock that is set cannot make a young host old.

    Two bounds hold beside the wall clock. A start that was not in the list yet when that was last known is no
    earlier than then, which needs no wall clock at all. And the lowest offset between the two clocks that was
    seen since the gateway began counts: a step can only make a host younger. So a wrong clock costs a warm
    host at most its time of slow start; at the first list, of which nothing earlier is known, a clock that is
    ahead is believed.
    """

    def __init__(self, loop, wall):
        """`wall`: ns since 1970."""
        self.loop, self.wall = loop, wall
        self.offset = wall() - loop.now()  # the lowest seen, ns

    def convert(self, reported, absent_at):
        """When a host started, by the loop's clock; one in the future started just now.

        `reported`: ns since 1970. `absent_at`: when the list was last known to be without this start, by the
        loop's clock; None where it was never known before, or the host was in it with no start told.
        """
        now = self.loop.now()
        self.offset = min(self.offset, self.wall() - now)
        started = reported - self.offset
        if absent_at is not None:
            started = max(started, absent_at)
        return min(started, now)
