"""The records from which faults of cells, zones and regions are found, and the records of these faults."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from gaproute.units import SECOND

TRIAL_TIMEOUT = 5 * SECOND  # after which a trial request without an answer counts as failed
STORED_OUTCOMES = 8  # of a cell; the latest ones, by which rejections and slowness are judged


class CircuitState(Enum):
    """Whether requests of a function may be sent to a cell now."""

    CLOSED = "closed"
    HALF_OPEN = "half-open"  # one request may be sent, as a trial
    OPEN = "open"


class FaultKind(Enum):
    """The kind of evidence by which a fault was found."""

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    REJECTING = "rejecting"
    SLOW = "slow"


class FaultScope(Enum):
    """The kinds of fault domains: a region, a zone, a cell, or all that lies outside the own zone or region.

    The value for a region, a zone or a cell is the name of the field of `Cell` that has the domain's name.
    """

    REGION = "region"
    ZONE = "zone"
    CELL = "name"
    OTHER_ZONES = "other zones"  # the domain has the name of the own zone, which is not in it
    OTHER_REGIONS = "other regions"  # the domain has the name of the own region, which is not in it


# A set of hosts that may fail together, as a plain tuple, because many are made for each outcome
FaultDomain = tuple[FaultScope, str]


@dataclass(slots=True)
class Fault:
    """The fault of a domain, and its recovery, during which functions return one by one. Times are in ns."""

    kind: FaultKind
    since: int  # time at which the fault was found
    backoff: int
    next_trial_at: int
    trial_sent_at: int | None = None  # of the trial that has no answer yet
    recovered_at: int | None = None  # time of the answer that ended the fault
    ramp_duration: int = 0  # time over which the functions return

    def is_trial_due(self, now: int) -> bool:
        """Whether a trial request may be sent now."""
        if now < self.next_trial_at:
            return False
        return self.trial_sent_at is None or now - self.trial_sent_at >= TRIAL_TIMEOUT


class RequestOutcome(NamedTuple):
    """Whether an answered request was rejected."""

    at: int
    rejected: bool


class RelativeDuration(NamedTuple):
    """The duration of a request divided by the mean duration of its function."""

    at: int
    ratio: float


def _recent_outcomes() -> deque[RequestOutcome]:
    return deque(maxlen=STORED_OUTCOMES)


def _recent_durations() -> deque[RelativeDuration]:
    return deque(maxlen=STORED_OUTCOMES)


@dataclass(slots=True)
class CellRecord:
    """The latest answers of a cell, and the overdue requests to it."""

    last_answered: int = -1  # time of the last answer, ns; -1: none
    # By host or entry: when the overdue request was sent, ns
    overdue: dict[str, int] = field(default_factory=dict)
    outcomes: deque[RequestOutcome] = field(default_factory=_recent_outcomes)
    relative_durations: deque[RelativeDuration] = field(default_factory=_recent_durations)

    def has_overdue_sent_after(self, last_answered: int) -> bool:
        """Whether a request that was sent after that time is overdue."""
        return any(sent > last_answered for sent in self.overdue.values())
