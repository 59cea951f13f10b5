"""Remembers the ids of requests that may have run, in a fixed amount of memory; performs no I/O.

Clients give each request a new id. An id that comes again although it may have run must not reach a host: its
request would run twice.
"""

from array import array

from gaproute.decisions.chance import RandomGenerator

ID_BASE = 16
ID_BITS, HALF_ID_BITS = 64, 32
ID_MASK = (1 << ID_BITS) - 1
SLOT_BYTES = 8
EMPTY = 0  # content of an empty slot
MAX_FILLED_SHARE = 0.5  # of the slots; with more, a look-up visits many
# With the largest table, 32,768 ids are remembered at least.
MIN_SLOT_BITS, MAX_SLOT_BITS = 6, 16


class IdTable:
    """A set of 64-bit ids in a table of fixed size; `add` must not be called while `is_full`.

    Clients choose the ids, so the place of an id depends on a random multiplier.
    """

    def __init__(self, slot_bits: int, multiplier: int) -> None:
        self.slot_bits, self.multiplier = slot_bits, multiplier
        self.slots = array("Q", bytes(SLOT_BYTES << slot_bits))
        self.count = 0
        self.has_zero = False  # whether the id 0 was added, which no slot can hold

    @property
    def room(self) -> int:
        """How many further ids can be added."""
        return max(0, int(MAX_FILLED_SHARE * len(self.slots)) - self.count)

    @property
    def is_full(self) -> bool:
        """Whether no further id can be added."""
        return not self.room

    def _slot_of(self, number: int) -> int:
        """The slot that holds the id, or the empty slot for it."""
        slots, mask = self.slots, len(self.slots) - 1
        slot = (number * self.multiplier & ID_MASK) >> (ID_BITS - self.slot_bits)
        while slots[slot] != EMPTY and slots[slot] != number:
            slot = (slot + 1) & mask
        return slot

    def add(self, number: int) -> None:
        """Adds an id."""
        if number == EMPTY:
            self.count += not self.has_zero
            self.has_zero = True
            return
        slot = self._slot_of(number)
        if self.slots[slot] == EMPTY:
            self.slots[slot] = number
            self.count += 1

    def __contains__(self, number: int) -> bool:
        if number == EMPTY:
            return self.has_zero
        return self.slots[self._slot_of(number)] == number


class RequestIds:
    """The latest ids of up to twice the capacity; each is remembered for `hold_time` ns at least.

    There are two tables. Once the newer one is full, the older one is dropped and a new one begins, unless
    its last id is too recent: then `has_room` is false.
    """

    def __init__(self, max_bytes: int, hold_time: int, chance: RandomGenerator) -> None:
        self.hold_time = hold_time
        slots = max(1, max_bytes // (2 * SLOT_BYTES))
        self.slot_bits = min(max(MIN_SLOT_BITS, slots.bit_length() - 1), MAX_SLOT_BITS)
        high, low = chance.below(1 << HALF_ID_BITS), chance.below(1 << HALF_ID_BITS)
        self.multiplier = high << HALF_ID_BITS | low | 1
        self.newer, self.older = self._new_table(), self._new_table()
        self.older_filled_at: int | None = None  # when its last id was added, ns; None while it is empty

    def _new_table(self) -> IdTable:
        return IdTable(self.slot_bits, self.multiplier)

    @property
    def bytes(self) -> int:
        """The memory of both tables."""
        return 2 * SLOT_BYTES << self.slot_bits

    def __contains__(self, request_id: str) -> bool:
        number = _number_of(request_id)
        return number in self.newer or number in self.older

    def has_room(self, now: int, reserved: int = 0) -> bool:
        """Whether an id can be added, besides `reserved` others, without forgetting one too early."""
        if self.newer.room > reserved or self.older_filled_at is None:
            return True
        return now - self.older_filled_at >= self.hold_time

    def add(self, now: int, request_id: str) -> None:
        """Remembers an id; without room, the oldest ids are forgotten early."""
        if self.newer.is_full:
            self.older, self.newer = self.newer, self._new_table()
            self.older_filled_at = now
        self.newer.add(_number_of(request_id))


def _number_of(request_id: str) -> int:
    return int(request_id, ID_BASE)
