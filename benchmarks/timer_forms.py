"""The forms of timers that `timers.py` compares. Timers are numbered; times are in ns."""

from __future__ import annotations

import heapq
from typing import Protocol

from gaproute.connections import Calendar

STEP = 10_000_000  # ns between two steps
MAX_FIRED = 256  # in one step
CLEAR_DEAD = 1024  # entries of the heap from which on dead ones are cleared away
SLOT_BITS = 8
SLOTS, LEVELS = 1 << SLOT_BITS, 3  # of the wheels


class Timers(Protocol):
    """Timers that fire once."""

    def __init__(self, count: int) -> None:
        """For so many timers, of which none is set."""

    def add(self, number: int, due: int) -> None:
        """Set a timer."""

    def move(self, number: int, due: int) -> None:
        """Set a timer that is set to another, later time."""

    def step(self, now: int) -> int:
        """Fire what is due, not much more than `MAX_FIRED`; how many there were."""


# An entry of the heap: when it is due, the timer's number, whether it is set still. A list, as lists are
# compared in C.
HeapEntry = list[int]
NUMBER, IS_LIVE = 1, 2


class HeapTimers:
    """A heap; an entry that is moved is dead until it is popped or cleared away."""

    def __init__(self, count: int) -> None:
        self._heap: list[HeapEntry] = []
        self._live: list[HeapEntry] = [[0, 0, False]] * count
        self._dead = 0

    def add(self, number: int, due: int) -> None:
        """See `Timers`."""
        entry = self._live[number] = [due, number, True]
        heapq.heappush(self._heap, entry)

    def move(self, number: int, due: int) -> None:
        """See `Timers`."""
        self._live[number][IS_LIVE] = False
        self._dead += 1
        if self._dead > CLEAR_DEAD and self._dead * 2 > len(self._heap):
            self._heap = [entry for entry in self._heap if entry[IS_LIVE]]
            heapq.heapify(self._heap)
            self._dead = 0
        self.add(number, due)

    def step(self, now: int) -> int:
        """See `Timers`."""
        fired = 0
        while self._heap and self._heap[0][0] <= now and fired < MAX_FIRED:
            entry = heapq.heappop(self._heap)
            fired += entry[IS_LIVE]
        return fired


class WheelTimers:
    """Three wheels of 256 slots of 10 ms, 2.56 s and 655 s.

    A slot is a dict of timers, so that one can leave it; the values are not used.
    """

    def __init__(self, count: int) -> None:
        self._wheels: list[list[dict[int, int]]] = [[{} for _ in range(SLOTS)] for _ in range(LEVELS)]
        self._slot_of: list[dict[int, int]] = [{}] * count
        self._due = [0] * count
        self._tick = 0

    def add(self, number: int, due: int) -> None:
        """See `Timers`."""
        self._due[number] = due
        tick = max(self._tick + 1, -(-due // STEP))
        for level in range(LEVELS):
            if tick - self._tick < SLOTS ** (level + 1):
                slot = self._wheels[level][(tick >> SLOT_BITS * level) & (SLOTS - 1)]
                break
        slot[number] = tick
        self._slot_of[number] = slot

    def move(self, number: int, due: int) -> None:
        """See `Timers`."""
        del self._slot_of[number][number]
        self.add(number, due)

    def step(self, now: int) -> int:
        """See `Timers`."""
        fired = 0
        while self._tick < now // STEP and fired < MAX_FIRED:
            self._tick += 1
            self._move_down()
            slot = self._wheels[0][self._tick & (SLOTS - 1)]
            fired += len(slot)
            slot.clear()
        return fired

    def _move_down(self) -> None:
        """Sort the timers of a slot of an upper wheel, whose time has come, into the lower ones."""
        for level in reversed(range(1, LEVELS)):
            if self._tick & ((1 << SLOT_BITS * level) - 1) == 0:
                slot = self._wheels[level][(self._tick >> SLOT_BITS * level) & (SLOTS - 1)]
                for number in list(slot):
                    del slot[number]
                    self.add(number, max(self._due[number], self._tick * STEP + 1))


class CalendarTimers:
    """The calendar as parked connections use it."""

    def __init__(self, count: int) -> None:
        self._calendar: Calendar[int] = Calendar()
        self._due = [0] * count

    def add(self, number: int, due: int) -> None:
        """See `Timers`."""
        self._due[number] = due
        self._calendar.add(number, due)

    def move(self, number: int, due: int) -> None:
        """See `Timers`."""
        self._due[number] = due

    def step(self, now: int) -> int:
        """See `Timers`."""
        fired = 0
        for number, _ in self._calendar.take_due(now, MAX_FIRED):
            if self._due[number] > now:
                self._calendar.add(number, self._due[number])
            else:
                fired += 1
        return fired


FORMS: dict[str, type[Timers]] = {"heap": HeapTimers, "wheel": WheelTimers, "calendar": CalendarTimers}
