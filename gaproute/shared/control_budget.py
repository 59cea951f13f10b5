"""What all control parts of a gateway may send together: so many bytes in any one second.

Membership is never held back, but it tells less while others need the room. What a part has reserved and not
sent is kept free from all others, so that a change of the table goes out at once, and tables are served while
changes come. The gossip of demand reserves nothing and takes what is left.

Invariants: what is allowed by `room` never brings a second above `LIMIT`, but for refusals beyond those
reserved; memory is bounded by the messages of one second.
"""

from collections import deque
from enum import IntEnum

SECOND = 1_000_000_000
LIMIT = 4_096  # bytes in any second, headers included
LEAST_WAIT = SECOND // 10  # until room is asked for again


class ControlPart(IntEnum):
    """Who sends."""

    MEMBERSHIP = 0
    REFUSALS = 1  # of whoever asks for a table while another is served
    TABLE = 2
    SERVING = 3
    DEMAND = 4


RESERVED = {
    ControlPart.MEMBERSHIP: 600,  # a probe and a few answers, one of them with news unasked
    ControlPart.TABLE: 1_440,  # a change pushed to four peers, and an announcement
}
MOST = {ControlPart.SERVING: 1_500}  # that a part may send in any second


class SecondWindow:
    """The bytes sent within the last second."""

    __slots__ = ("sent", "total")

    def __init__(self):
        self.sent, self.total = deque(), 0  # sent: (when, bytes), the oldest first

    def add(self, now: int, amount: int):
        """So many bytes are sent now."""
        self.sent.append((now, amount))
        self.total += amount

    def spent(self, now: int) -> int:
        """Bytes of the second that ends now."""
        while self.sent and self.sent[0][0] <= now - SECOND:
            self.total -= self.sent.popleft()[1]
        return self.total

    def wait(self, now: int, most: int) -> int:
        """Nanoseconds until so many bytes at most are left in the window."""
        left, leaves = self.spent(now), 0
        for when, amount in self.sent:
            if left <= most:
                break
            left -= amount
            leaves = when + SECOND - now
        return leaves


class ControlBudget:
    """`spend` whatever is sent; ask `room` or `wait` before it."""

    def __init__(self):
        self.windows = {part: SecondWindow() for part in ControlPart}
        self.reserved = {part: (RESERVED.get(part, 0), None) for part in ControlPart}

    def spend(self, now: int, part: ControlPart, amount: int):
        """The part sends so many bytes, headers included."""
        self.windows[part].add(now, amount)

    def reserve(self, part: ControlPart, amount: int, until: int):
        """Keep so much of each second free for the part until then."""
        self.reserved[part] = amount, until

    def room(self, now: int, part: ControlPart) -> int:
        """Bytes that the part may send now."""
        room = LIMIT
        for other, window in self.windows.items():
            spent = window.spent(now)
            if other == ControlPart.REFUSALS:
                room -= self._reserved(now, other)  # those beyond it must not keep all from being served
            else:
                room -= spent if other == part else max(spent, self._reserved(now, other))
        most = MOST.get(part)
        return room if most is None else min(room, most - self.windows[part].spent(now))

    def within_reserved(self, now: int, part: ControlPart, amount: int) -> bool:
        """Whether the part may send so many bytes of what is reserved for it."""
        return self.windows[part].spent(now) + amount <= self._reserved(now, part)

    def wait(self, now: int, part: ControlPart, amount: int) -> int:
        """Nanoseconds until it is worth asking again; 0 where there is room for so many bytes."""
        if self.room(now, part) >= amount:
            return 0
        most = MOST.get(part, LIMIT)
        return max(LEAST_WAIT, self.windows[part].wait(now, max(0, most - amount)))

    def _reserved(self, now, part):
        """What all others must leave to the part."""
        amount, until = self.reserved[part]
        return amount if until is None or now < until else 0
