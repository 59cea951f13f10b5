"""Timers in a heap, on a clock that returns int nanoseconds."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Protocol

Callback = Callable[..., object]
Clock = Callable[[], int]

MIN_CANCELLED_TO_COMPACT = 1024  # the heap is not rebuilt for fewer cancelled timers


class TimerOwner(Protocol):
    """Counts the cancelled timers that are still in its heap."""

    cancelled_count: int


class Timer:
    """One call at a future time; `call` is None once the timer has fired or was cancelled."""

    __slots__ = ("when", "call", "args", "loop")

    def __init__(self, loop: TimerOwner, when: int, call: Callback, args: tuple[object, ...]) -> None:
        self.loop = loop
        self.when = when
        self.call: Callback | None = call
        self.args = args

    def cancel(self) -> None:
        """Cancels the timer; does nothing if the timer has fired already."""
        if self.call is not None:
            self.call = None
            self.args = ()
            self.loop.cancelled_count += 1


class TimerQueue:
    """Timers in the order in which they are due, and in the order of creation if due at the same time."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        # (due time, number, timer): plain tuples, which the heap compares fast.
        self.timers: list[tuple[int, int, Timer]] = []
        self.timer_count = 0  # timers created so far; the number of the latest timer
        self.cancelled_count = 0  # cancelled timers that are still in the heap

    def now(self) -> int:
        """The present time, ns."""
        return self.clock()

    def call_at(self, when: int, call: Callback, *args: object) -> Timer:
        """Calls `call(*args)` at the time `when` (ns), never early; returns the timer."""
        timer = Timer(self, when, call, args)
        self.timer_count += 1
        heapq.heappush(self.timers, (when, self.timer_count, timer))
        if self.cancelled_count > MIN_CANCELLED_TO_COMPACT and self.cancelled_count * 2 > len(self.timers):
            self._compact()
        return timer

    def call_later(self, span: int, call: Callback, *args: object) -> Timer:
        """Calls `call(*args)` after `span` ns; returns the timer."""
        return self.call_at(self.clock() + span, call, *args)

    def _compact(self) -> None:
        self.timers = [entry for entry in self.timers if entry[2].call is not None]
        heapq.heapify(self.timers)
        self.cancelled_count = 0
