"""The clock of a play: events in the order of time, those of the same time in the order of scheduling."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

MICRO, MILLI, SECOND = 1_000, 1_000_000, 1_000_000_000

Callback = Callable[..., object]


class EventClock:
    """Simulated time; `now` is in ns."""

    def __init__(self) -> None:
        self.now = 0
        self._events: list[tuple[int, int, Callback, tuple[Any, ...]]] = []  # a heap
        self._scheduled = 0

    def at(self, when: int, call: Callback, *args: Any) -> None:
        """Call `call(*args)` at that time."""
        self._scheduled += 1
        heapq.heappush(self._events, (when, self._scheduled, call, args))

    def after(self, span: int, call: Callback, *args: Any) -> None:
        """Call `call(*args)` after `span` ns."""
        self.at(self.now + span, call, *args)

    def run(self, until: int) -> None:
        """Play all events up to that time."""
        while self._events and self._events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self._events)
            call(*args)
