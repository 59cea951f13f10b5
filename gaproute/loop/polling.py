"""How a loop waits for events, and a clock for tests that never waits."""

import select

SECOND = 1_000_000_000

Events = list[tuple[int, int]]  # (descriptor, mask of events), as epoll reports them


def wait(epoll: select.epoll, span: int) -> Events:
    """Events of the epoll after `span` ns at the latest; an interrupted wait ends early, a look does not."""
    while True:
        try:
            return epoll.poll(max(0, span) / SECOND)
        except InterruptedError:
            if span > 0:
                return []


class Stepped:
    """A clock for tests: it stands still while there is work and leaps over every wait without any."""

    def __init__(self, now: int = 0) -> None:
        self.now = now

    def __call__(self) -> int:
        """The time, ns."""
        return self.now

    def poll(self, epoll: select.epoll, span: int) -> Events:
        """In place of `wait`: moves the clock where nothing is there."""
        ready = epoll.poll(0)
        if not ready:
            self.now += max(0, span)
        return ready
