"""One clock for the gateway and its far ends, and a small event loop for the far ends on plain sockets.

Time stands still while either side has work, and moves on to the next timer when neither has: a play takes no
longer than its system calls, and its timers fire at exact times.
"""

from __future__ import annotations

import heapq
import select
from collections.abc import Callable
from typing import NamedTuple

from gaproute.units import MICRO, SECOND

START = 1000 * SECOND  # on the monotonic clock of a play
LOOPBACK_DELAY = 0.0001  # seconds of real time within which bytes arrive over loopback


class PlayClock:
    """The monotonic clock of both sides. Each reading moves it by a microsecond, as no work takes no time.

    The gateway polls its epolls by `wait`, which does not block. `idle`: whether none of these polls has
    found an event since it was last set.
    """

    def __init__(self) -> None:
        self.now = START
        self.idle = False

    def __call__(self) -> int:
        """The time, ns."""
        self.now += MICRO
        return self.now

    def wait(self, epoll: select.epoll, timeout: float | None, max_events: int) -> list[tuple[int, int]]:
        """The events that are there now; replaces `epoll.poll` and ignores its timeout."""
        ready = epoll.poll(0, max_events)
        self.idle = self.idle and not ready
        return ready


class FarTimer(NamedTuple):
    """A call at a time of the play's clock, ns; `number` orders timers that are due at the same time."""

    due: int
    number: int
    call: Callable[..., None]
    arguments: tuple[object, ...]


class FarLoop:
    """Events and timers for the far ends, on a real epoll."""

    def __init__(self, clock: PlayClock) -> None:
        self.clock = clock
        self.epoll = select.epoll()
        self._watched: dict[int, Callable[[int], None]] = {}
        self._timers: list[FarTimer] = []  # a heap
        self._timer_count = 0

    def watch(self, descriptor: int, events: int, call: Callable[[int], None]) -> None:
        """Calls `call(events)` whenever the descriptor has one of these events."""
        self._watched[descriptor] = call
        self.epoll.register(descriptor, events)

    def rewatch(self, descriptor: int, events: int) -> None:
        """Watches the descriptor for other events from now on."""
        self.epoll.modify(descriptor, events)

    def unwatch(self, descriptor: int) -> None:
        """Stops watching the descriptor, if it is watched."""
        if self._watched.pop(descriptor, None) is not None:
            self.epoll.unregister(descriptor)

    def after(self, span: int, call: Callable[..., None], *arguments: object) -> None:
        """Calls `call(*arguments)` in `span` ns."""
        self._timer_count += 1
        heapq.heappush(self._timers, FarTimer(self.clock.now + span, self._timer_count, call, arguments))

    def descriptors(self) -> set[int]:
        """The descriptors that the far ends have open."""
        return {self.epoll.fileno(), *self._watched}

    def next_due(self) -> int | None:
        """When the next timer is due, ns; None if there is none."""
        return self._timers[0].due if self._timers else None

    def turn(self) -> bool:
        """Handles all events and due timers; returns whether there were any."""
        worked = False
        for descriptor, events in self.epoll.poll(0):
            call = self._watched.get(descriptor)
            if call is not None:
                call(events)
                worked = True
        while self._timers and self._timers[0].due <= self.clock.now:
            timer = heapq.heappop(self._timers)
            timer.call(*timer.arguments)
            worked = True
        return worked

    def close(self) -> None:
        """Closes the epoll."""
        self.epoll.close()


def arrives_soon(*descriptors: int) -> bool:
    """Whether one of these epolls becomes ready within the time that bytes take over loopback."""
    return bool(select.select(descriptors, (), (), LOOPBACK_DELAY)[0])
