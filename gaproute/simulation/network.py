"""Decides what becomes of each message between processes; holds no messages and does no I/O."""

from collections import Counter
from enum import StrEnum

from gaproute.simulation.seeded_random import SeededRandom
from gaproute.simulation.units import MILLION
from gaproute.units import MILLI

MIN_DELAY = MILLI // 5
USUAL_DELAY = 2 * MILLI  # more, evenly distributed
LATE_MILLIONTHS = 15_000  # of the messages are late without any fault
MAX_LATE_DELAY = 60 * MILLI  # more that such a message takes


class MessageFate(StrEnum):
    """What is counted; a message may count more than once."""

    SENT = "sent"
    LOST = "lost"
    CUT = "cut"
    DUPLICATED = "duplicated"
    HELD = "held"


class SimulatedNetwork:
    """Links between the processes 0 to `size` - 1; times are true times in ns.

    Faults add their value to the lists and take it out at their end: the greatest in force counts. Cuts are
    counted, so that of two that overlap both have to end.
    """

    __slots__ = (
        "size",
        "random",
        "cuts",
        "held_until",
        "loss_rates",
        "duplication_rates",
        "extra_delays",
        "counts",
    )

    def __init__(self, size: int, random: SeededRandom) -> None:
        self.size, self.random = size, random
        self.cuts = [0] * (size * size)  # by sender * size + receiver
        self.held_until: dict[tuple[int, int], int] = {}  # by (sender, receiver)
        self.loss_rates: list[int] = []  # millionths
        self.duplication_rates: list[int] = []  # millionths
        self.extra_delays: list[int] = []  # ns at most
        self.counts: Counter[MessageFate] = Counter()

    def arrivals(self, now: int, sender: int, receiver: int) -> tuple[int, ...]:
        """When a message that is sent now arrives; empty where it is lost."""
        counts, random = self.counts, self.random
        counts[MessageFate.SENT] += 1
        if self.cuts[sender * self.size + receiver]:
            counts[MessageFate.CUT] += 1
            return ()
        if self.loss_rates and random.happens(max(self.loss_rates)):
            counts[MessageFate.LOST] += 1
            return ()
        first = now + self._delay()
        held_until = self.held_until.get((sender, receiver), 0)
        if held_until > first:
            counts[MessageFate.HELD] += 1
            first = held_until + random.below(MILLI)
        if self.duplication_rates and random.happens(max(self.duplication_rates)):
            counts[MessageFate.DUPLICATED] += 1
            return first, first + self._delay()
        return (first,)

    def cut(self, sender: int, receiver: int) -> None:
        """One more fault cuts this link, in this direction."""
        self.cuts[sender * self.size + receiver] += 1

    def reconnect(self, sender: int, receiver: int) -> None:
        """One of the faults that cut this link has ended."""
        self.cuts[sender * self.size + receiver] -= 1

    def hold(self, sender: int, receiver: int, until: int) -> None:
        """The link's messages arrive together after `until`."""
        link = sender, receiver
        self.held_until[link] = max(until, self.held_until.get(link, 0))

    def release(self, now: int) -> None:
        """Forgets the links whose time is over."""
        self.held_until = {link: until for link, until in self.held_until.items() if until > now}

    def _delay(self) -> int:
        random = self.random.random
        delay = MIN_DELAY + int(random() * USUAL_DELAY)
        if random() * MILLION < LATE_MILLIONTHS:
            delay += int(random() * MAX_LATE_DELAY)
        if self.extra_delays:
            delay += int(random() * max(self.extra_delays))
        return delay
