"""A calendar queue for very many deadlines, most of which are moved before they come.

Items are in slots of 10 ms, and a heap of slot numbers finds the next slot. `benchmarks/timers.py` compares
it with a heap of timers and with a hierarchical wheel. An item whose deadline moves stays in its slot; the
caller that takes it from there adds it again if it is not due yet.
"""

import heapq
from typing import Generic, NamedTuple, TypeVar

SLOT_WIDTH_NS = 10_000_000  # ns; an item is returned at most this much late, and never early

Item = TypeVar("Item")


class DueItem(NamedTuple, Generic[Item]):
    """An item that was taken out of the calendar, and the number of its slot."""

    item: Item
    slot: int


class Calendar(Generic[Item]):
    """Items by the slot in which they are due."""

    def __init__(self) -> None:
        self.slots: dict[int, list[Item]] = {}  # by slot number
        self._heap: list[int] = []  # the numbers of `slots`

    def slot_of(self, due: int) -> int:
        """The first slot that begins at or after that time, ns."""
        return -(-due // SLOT_WIDTH_NS)

    def add(self, item: Item, due: int) -> int:
        """Adds an item that is due at that time, ns; returns the number of its slot."""
        number = self.slot_of(due)
        items = self.slots.get(number)
        if items is None:
            self.slots[number] = [item]
            heapq.heappush(self._heap, number)
        else:
            items.append(item)
        return number

    def next_due(self) -> int | None:
        """When the first slot is due, ns; None if the calendar is empty."""
        return self._heap[0] * SLOT_WIDTH_NS if self._heap else None

    def take_due(self, now: int, limit: int) -> list[DueItem[Item]]:
        """Removes and returns the items that are due, the earliest slots first, at most `limit`."""
        found: list[DueItem[Item]] = []
        while self._heap and self._heap[0] * SLOT_WIDTH_NS <= now and len(found) < limit:
            number = self._heap[0]
            items = self.slots[number]
            remaining = limit - len(found)
            found += [DueItem(item, number) for item in items[:remaining]]
            if remaining < len(items):
                del items[:remaining]
            else:
                del self.slots[heapq.heappop(self._heap)]
        return found

    def earliest(self, limit: int) -> list[Item]:
        """Up to `limit` items of the earliest slots; they are not removed."""
        found: list[Item] = []
        # Walks the heap in the order of its numbers: (slot number, position in the heap).
        frontier = [(self._heap[0], 0)] if self._heap else []
        while frontier and len(found) < limit:
            number, position = heapq.heappop(frontier)
            found += self.slots[number]
            for child in (2 * position + 1, 2 * position + 2):
                if child < len(self._heap):
                    heapq.heappush(frontier, (self._heap[child], child))
        return found[:limit]
