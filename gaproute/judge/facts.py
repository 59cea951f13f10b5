"""What a day is judged by, and what a broken rule is told as. Imports nothing that it judges.

The spans are the operators' own: nothing here is wider than their terms. What only a machine's measurement
needs (`TRANSIT`, `Facts.late`) is kept apart from them.
"""

from enum import StrEnum
from typing import NamedTuple

MILLI, SECOND = 1_000_000, 1_000_000_000

TRANSIT = 60 * MILLI  # between a gateway's send and the host's read of it, on a machine that is busy
CLIENT_GONE = 100 * MILLI  # after its client closed or cancelled, until when an attempt may still begin
DEADLINE_SLACK = 150 * MILLI  # by which a deadline passed to a server may exceed what the client has left
LATE_ANSWER = 500 * MILLI  # after its time a final answer earns nothing; a later one is lost
LONGEST_DEADLINE = 3 * SECOND  # as which longer ones count for the time of a SIGKILL
KILL_GRACE = 700 * MILLI  # after the longest deadline: SIGKILL comes no sooner after a SIGTERM


def kill_after(longest):
    """How long no SIGKILL comes after a SIGTERM, by the longest deadline of a deployment, ns."""
    return min(longest, LONGEST_DEADLINE) + KILL_GRACE


class Kind(StrEnum):
    """How a rule was broken."""

    LOST = "lost"  # rule 1: no final answer, or none in time
    STRAY = "stray answer"
    SECOND_ANSWER = "second answer"
    NO_OUTCOME = "no outcome named"
    AFTER_END = "attempt after the final answer"
    AFTER_CLIENT = "attempt after the client had gone"
    DEADLINE = "deadline too long"
    DUPLICATE = "duplicate"  # rule 2
    WINDOW = "outside its window"
    GROUP = "outside its group"
    KEY = "key changed"
    REFUSED = "refused though it may have run"
    DRAIN = "drain"  # rule 3
    SLOW_START = "slow start"  # rule 4
    RATION = "load orders"  # rule 5


# What is broken whatever the time at which it was seen: a harness that ran late excuses none of these.
UNTIMED = frozenset(
    {Kind.STRAY, Kind.SECOND_ANSWER, Kind.NO_OUTCOME, Kind.DUPLICATE, Kind.GROUP, Kind.KEY, Kind.REFUSED}
)


class Broken(NamedTuple):
    """One breach of a rule. `at`: ns."""

    rule: int
    at: int
    text: str
    kind: Kind


class Facts(NamedTuple):
    """What the day was played by."""

    effects: dict  # track: "pure", "receipted" or "effectful"
    groups: dict  # track: "all", "zone" or "rack"
    windows: dict  # track: how long a group remembers, ns
    places: dict  # host: (zone, rack)
    drain_grace: int = 500 * MILLI
    order_free: float = 6
    order_share: float = 0.3
    order_window: int = 10 * SECOND
    late: int = 0  # ns by which the harness itself ran late at most, as it measured
    longest: int = LONGEST_DEADLINE  # of all deadlines, ns

    @property
    def transit(self):
        """How long after it was sent something may be read, ns."""
        return TRANSIT + self.late

    @property
    def kill_after(self):
        """After a SIGTERM: how long no SIGKILL comes, ns."""
        return kill_after(self.longest)
