"""What a day is judged by, and how a violation of a rule is reported.

The time spans are the ones that the operators publish: nothing here is wider than their terms. The allowances
that only measuring on a real machine needs are separate: `TRANSIT_ALLOWANCE`, `CPU_WAIT_WINDOW` and
`DayTerms.harness_lateness`.
"""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from gaproute.units import MILLI, SECOND

TRANSIT_ALLOWANCE = (
    60 * MILLI
)  # between a gateway's send and the host's read of it, on a machine that is busy
CPU_WAIT_WINDOW = 100 * MILLI  # before a deadline, in which a wait for a core may make its answer late
CLIENT_LEFT_GRACE = 100 * MILLI  # after its client closed or cancelled, until when an attempt may still begin
DEADLINE_SLACK = 150 * MILLI  # by which a deadline passed to a host may exceed what the client has left
LATE_ANSWER_GRACE = 500 * MILLI  # after its deadline a final answer earns nothing; one after this is lost
LONGEST_COUNTED_DEADLINE = 3 * SECOND  # as which longer ones count for the time of a SIGKILL
KILL_GRACE = 700 * MILLI  # after the longest deadline: SIGKILL comes no sooner after a SIGTERM


def kill_after(longest_deadline: int) -> int:
    """How long after a SIGTERM no SIGKILL comes, ns, by the longest deadline of a deployment, ns."""
    return min(longest_deadline, LONGEST_COUNTED_DEADLINE) + KILL_GRACE


class Idempotency(StrEnum):
    """Whether a request may run twice. The values are those of a script's `track` lines."""

    IDEMPOTENT = "pure"
    IDEMPOTENT_WITH_KEY = "receipted"
    NON_IDEMPOTENT = "effectful"


class Deduplication(StrEnum):
    """Which hosts recognise the idempotency key of a request that one of them has had."""

    EVERYWHERE = "all"
    SAME_ZONE = "zone"
    SAME_RACK = "rack"


class RequestClassTerms(NamedTuple):
    """What rule 2 depends on. `window`: for how long the hosts recognise an idempotency key, ns."""

    idempotency: Idempotency
    deduplication: Deduplication
    window: int

    @classmethod
    def from_track(cls, effect: str, group: str, window: int) -> "RequestClassTerms":
        """By what a script's `track` line says in `effect`, `group` and `remembers`."""
        return cls(Idempotency(effect), Deduplication(group), window)


class HostPlace(NamedTuple):
    """The zone and the rack of a host."""

    zone: str
    rack: str

    def shares_deduplication(self, other: "HostPlace", deduplication: Deduplication) -> bool:
        """Whether a host at `other` recognises the idempotency keys that one here has had."""
        match deduplication:
            case Deduplication.EVERYWHERE:
                return True
            case Deduplication.SAME_ZONE:
                return self.zone == other.zone
            case Deduplication.SAME_RACK:
                return self.rack == other.rack


class DayTerms(NamedTuple):
    """The terms of one day. Times are ns."""

    request_classes: Mapping[str, RequestClassTerms]
    places: Mapping[str, HostPlace]  # by host
    drain_grace: int = 500 * MILLI
    load_orders_free: float = 6
    load_order_share: float = 0.3
    load_order_window: int = 10 * SECOND  # 0: load orders are not limited
    harness_lateness: int = 0  # by which the measuring processes ran late at most, as they measured
    longest_deadline: int = LONGEST_COUNTED_DEADLINE

    @property
    def transit_allowance(self) -> int:
        """How long after it was sent something may be read, ns."""
        return TRANSIT_ALLOWANCE + self.harness_lateness

    @property
    def kill_after(self) -> int:
        """How long after a SIGTERM no SIGKILL comes, ns."""
        return kill_after(self.longest_deadline)


class ViolationKind(StrEnum):
    """How a rule was violated. The values stand in the result of `gaproute trial`."""

    LOST = "lost"  # rule 1: no final answer, or none in time
    UNMATCHED_ANSWER = "stray answer"
    SECOND_ANSWER = "second answer"
    NO_OUTCOME = "no outcome named"
    ATTEMPT_AFTER_ANSWER = "attempt after the final answer"
    ATTEMPT_AFTER_CLIENT_LEFT = "attempt after the client had gone"
    DEADLINE_TOO_LONG = "deadline too long"
    DUPLICATE = "duplicate"  # rule 2
    OUTSIDE_WINDOW = "outside its window"
    OUTSIDE_GROUP = "outside its group"
    KEY_CHANGED = "key changed"
    REJECTED = "refused though it may have run"
    DRAIN = "drain"  # rule 3
    SLOW_START = "slow start"  # rule 4
    LOAD_ORDER_RATE = "load orders"  # rule 5


# What is a violation whatever the time at which it was seen: a harness that ran late excuses none of these.
TIME_INDEPENDENT = frozenset(
    {
        ViolationKind.UNMATCHED_ANSWER,
        ViolationKind.SECOND_ANSWER,
        ViolationKind.NO_OUTCOME,
        ViolationKind.DUPLICATE,
        ViolationKind.OUTSIDE_GROUP,
        ViolationKind.KEY_CHANGED,
        ViolationKind.REJECTED,
    }
)


class Violation(NamedTuple):
    """One violation of a rule. `at`: when it was seen, ns. The fields are keys in a trial's result."""

    rule: int
    at: int
    text: str
    kind: ViolationKind
