"""One clock for the gateway and its far ends, and a small event loop for the latter on plain sockets.

Time stands still while either side has work and leaps to the next timer when neither has: a play takes as
long as its system calls, and waits are exact.
"""

from __future__ import annotations

import heapq
import select
from collections.abc import Callable
from typing import Any

MICRO, MILLI, SECOND = 1_000, 1_000_000, 1_000_000_000
START = 1000 * SECOND  # on the monotonic clock of a play
LOOPBACK_DELAY = 0.0001  # seconds of real time within which loopback hands over what was sent


class PlayClock:
    """The monotonic clock of both sides. Each reading takes a microsecond: no work takes no time.

    The gateway waits for events by `wait`, which never does: `idle` says whether all of its looks since it
    was last set have found nothing.
    """

    def __init__(self) -> None:
        self.now = START
        self.idle = False

    def __call__(self) -> int:
        """The time, ns."""
        self.now += MICRO
        return self.now

    def wait(self, epoll: select.epoll, timeout: float | None, most: int) -> list[tuple[int, int]]:
        """The events that are there now, in place of `epoll.poll`."""
        ready = epoll.poll(0, most)
        self.idle = self.idle and not ready
        return ready


class FarLoop:
    """Readiness and timers for the far ends, on the real epoll."""

    def __init__(self, clock: PlayClock) -> None:
        self.clock = clock
        self.epoll = select.epoll()
        self._watched: dict[int, Callable[[int], None]] = {}
        self._timers: list[tuple[int, int, Callable[..., None], tuple[Any, ...]]] = []
        self._count = 0

    def watch(self, descriptor: int, events: int, call: Callable[[int], None]) -> None:
        """`call(events)` when the descriptor is ready."""
        self._watched[descriptor] = call
        self.epoll.register(descriptor, events)

    def rewatch(self, descriptor: int, events: int) -> None:
        """From now on for these events."""
        self.epoll.modify(descriptor, events)

    def unwatch(self, descriptor: int) -> None:
        """No longer watched."""
        if self._watched.pop(descriptor, None) is not None:
            self.epoll.unregister(descriptor)

    def after(self, span: int, call: Callable[..., None], *args: Any) -> None:
        """`call(*args)` in so many nanoseconds."""
        self._count += 1
        heapq.heappush(self._timers, (self.clock.now + span, self._count, call, args))

    def descriptors(self) -> set[int]:
        """Those that the far ends have open."""
        return {self.epoll.fileno(), *self._watched}

    def next_due(self) -> int | None:
        """When the first timer is due."""
        return self._timers[0][0] if self._timers else None

    def turn(self) -> bool:
        """Handles what is ready and due; whether anything was."""
        worked = False
        for descriptor, events in self.epoll.poll(0):
            call = self._watched.get(descriptor)
            if call is not None:
                call(events)
                worked = True
        while self._timers and self._timers[0][0] <= self.clock.now:
            _, _, call, args = heapq.heappop(self._timers)
            call(*args)
            worked = True
        return worked

    def close(self) -> None:
        """Gives the epoll descriptor back."""
        self.epoll.close()


def arrives_soon(*descriptors: int) -> bool:
    """Whether one of these epolls becomes ready within the time that loopback takes."""
    return bool(select.select(descriptors, (), (), LOOPBACK_DELAY)[0])
