"""The wait for events by epoll, and a clock for tests that replaces this wait and never waits."""

import select

from gaproute.units import SECOND

Events = list[tuple[int, int]]  # (descriptor, mask of events), as epoll reports them


def wait_for_events(epoll: select.epoll, span: int) -> Events:
    """Waits at most `span` ns for events; a signal ends the wait early, without events."""
    while True:
        try:
            return epoll.poll(max(0, span) / SECOND)
        except InterruptedError:
            if span > 0:
                return []


class SteppedClock:
    """A clock for tests, which stands still while there are events and skips each wait without events."""

    def __init__(self, now: int = 0) -> None:
        self.now = now

    def __call__(self) -> int:
        """The time, ns."""
        return self.now

    def poll(self, epoll: select.epoll, span: int) -> Events:
        """Replaces `wait_for_events`: without events it advances the clock by `span` instead of waiting."""
        ready = epoll.poll(0)
        if not ready:
            self.now += max(0, span)
        return ready
