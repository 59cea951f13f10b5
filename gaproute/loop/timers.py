"""Timers in a heap, by a clock of int nanoseconds."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any, Protocol

Callback = Callable[..., object]
Clock = Callable[[], int]

MIN_COMPACTED = 1024  # cancelled timers in the heap, from which on it is worth rebuilding


class TimerOwner(Protocol):
    """Has timers, and counts those that were cancelled and are still in its heap."""

    cancelled_count: int


class Timer:
    """One call at a time to come. `call` is None once it was called or cancelled."""

    __slots__ = ("when", "call", "args", "loop")

    def __init__(self, loop: TimerOwner, when: int, call: Callback, args: tuple[Any, ...]) -> None:
        self.loop = loop
        self.when = when
        self.call: Callback | None = call
        self.args: tuple[Any, ...] = args

    def cancel(self) -> None:
        """It is not called any more; harmless where it was called already."""
        if self.call is not None:
            self.call = None
            self.args = ()
            self.loop.cancelled_count += 1


class TimerQueue:
    """Timers by when they are due, those of one time in the order in which they were set."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        # Plain tuples, which the heap compares fast: when it is due, its number, the timer.
        self.timers: list[tuple[int, int, Timer]] = []
        self.timer_count = 0  # set so far; the number of the latest
        self.cancelled_count = 0  # of those in the heap

    def now(self) -> int:
        """The time, ns."""
        return self.clock()

    def at(self, when: int, call: Callback, *args: Any) -> Timer:
        """`call(*args)` at that time, never early; returns the timer, which can be cancelled."""
        timer = Timer(self, when, call, args)
        self.timer_count += 1
        heapq.heappush(self.timers, (when, self.timer_count, timer))
        if self.cancelled_count > MIN_COMPACTED and self.cancelled_count * 2 > len(self.timers):
            self._compact()
        return timer

    def after(self, span: int, call: Callback, *args: Any) -> Timer:
        """As `at`, that many ns from now."""
        return self.at(self.clock() + span, call, *args)

    def _compact(self) -> None:
        self.timers = [entry for entry in self.timers if entry[2].call is not None]
        heapq.heapify(self.timers)
        self.cancelled_count = 0
