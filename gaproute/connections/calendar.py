"""A calendar queue for very many deadlines, most of which are moved before they come.

Items are in slots of 10 ms, and a heap of slot numbers finds the next slot. `benchmarks/timers.py` compares
the calendar with a heap of timers and with a hierarchical timer wheel. An item whose deadline moves stays in
its slot; the caller that takes the item from the slot adds it again if its deadline has not come.
"""

import heapq
from typing import Generic, NamedTuple, TypeVar

SLOT_WIDTH_NS = 10_000_000  # an item is returned at most this much late, and never early

Item = TypeVar("Item")


class DueItem(NamedTuple, Generic[Item]):
    """An item that was removed from the calendar, and the number of its slot."""

    item: Item
    slot: int


class Calendar(Generic[Item]):
    """Items in time slots, by their deadlines."""

    def __init__(self) -> None:
        self.slots: dict[int, list[Item]] = {}  # by slot number
        self._heap: list[int] = []  # the numbers of `slots`

    def slot_of(self, due: int) -> int:
        """The number of the first slot that begins at or after the time `due` (ns)."""
        return -(-due // SLOT_WIDTH_NS)

    def add(self, item: Item, due: int) -> int:
        """Adds an item that is due at the time `due` (ns); returns the number of its slot."""
        number = self.slot_of(due)
        items = self.slots.get(number)
        if items is None:
            self.slots[number] = [item]
            heapq.heappush(self._heap, number)
        else:
            items.append(item)
        return number

    def next_due(self) -> int | None:
        """The time (ns) at which the first slot is due; None if the calendar is empty."""
        return self._heap[0] * SLOT_WIDTH_NS if self._heap else None

    def take_due(self, now: int, limit: int) -> list[DueItem[Item]]:
        """Removes and returns at most `limit` due items, the earliest slots first."""
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
        """Returns up to `limit` items of the earliest slots without removing them."""
        found: list[Item] = []
        # Visits the heap in the order of slot numbers; an entry is (slot number, position in the heap).
        frontier = [(self._heap[0], 0)] if self._heap else []
        while frontier and len(found) < limit:
            number, position = heapq.heappop(frontier)
            found += self.slots[number]
            for child in (2 * position + 1, 2 * position + 2):
                if child < len(self._heap):
                    heapq.heappush(frontier, (self._heap[child], child))
        return found[:limit]
