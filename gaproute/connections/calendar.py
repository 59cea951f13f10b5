"""Times of very many things that nearly always move before they come: slots of 10 ms, found by a heap of
slots.

Picked by `benchmarks/timers.py` against a heap of timers and a hierarchical wheel. An entry is moved lazily:
it stays in its slot, and whoever takes it there puts it in again where it is not yet due.
"""

import heapq

WIDTH = 10_000_000  # ns of a slot: what is due fires up to so much late, and never early


class Calendar:
    def __init__(self):
        self.slots, self.heap = {}, []  # number: things; the numbers in use

    def slot(self, due):
        """The first slot that begins at or after the time."""
        return -(-due // WIDTH)

    def add(self, thing, due):
        """Returns the number of the slot that holds it."""
        number = self.slot(due)
        held = self.slots.get(number)
        if held is None:
            self.slots[number] = [thing]
            heapq.heappush(self.heap, number)
        else:
            held.append(thing)
        return number

    def next(self):
        """When the first slot is due, or None."""
        return self.heap[0] * WIDTH if self.heap else None

    def take(self, now, most):
        """[(thing, its slot)] of what is due, the earliest slots first, about `most` at a time."""
        found = []
        while self.heap and self.heap[0] * WIDTH <= now and len(found) < most:
            number = self.heap[0]
            held = self.slots[number]
            room = most - len(found)
            found += [(thing, number) for thing in held[:room]]
            if room < len(held):
                del held[:room]
            else:
                del self.slots[heapq.heappop(self.heap)]
        return found

    def first(self, most):
        """Up to `most` things of the earliest slots, which stay where they are."""
        found, heads = [], [(self.heap[0], 0)] if self.heap else []
        while heads and len(found) < most:
            number, place = heapq.heappop(heads)
            found += self.slots[number]
            for child in (2 * place + 1, 2 * place + 2):
                if child < len(self.heap):
                    heapq.heappush(heads, (self.heap[child], child))
        return found[:most]
