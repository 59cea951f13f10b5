"""The records of cells, zones and regions that have a fault or may have one."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from gaproute.units import SECOND

TRIAL_TIMEOUT = 5 * SECOND  # after which a trial without an answer has failed
STORED_OUTCOMES = 8  # last outcomes of a cell that are stored, by which rejections and slowness are judged


class CircuitState(Enum):
    """Whether requests of a function may go to a cell now."""

    CLOSED = "closed"
    HALF_OPEN = "half-open"  # one request may go, as a trial
    OPEN = "open"


class FaultKind(Enum):
    """What proved the fault."""

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    REJECTING = "rejecting"
    SLOW = "slow"


class FaultScope(Enum):
    """The kinds of fault domains: named by a field of `Cell`, or all that lies outside the own zone or
    region.
    """

    REGION = "region"
    ZONE = "zone"
    CELL = "name"
    OTHER_ZONES = "other zones"  # named by the gateway's own zone
    OTHER_REGIONS = "other regions"  # named by its own region


# Hosts that fail together; a plain tuple, as many are made for each outcome
FaultDomain = tuple[FaultScope, str]


@dataclass(slots=True)
class Fault:
    """The fault of a domain, and its recovery, during which its functions return one by one. All times are
    ns.
    """

    kind: FaultKind
    since: int
    backoff: int
    next_trial_at: int
    trial_sent_at: int | None = None  # when the trial that has no answer yet was sent
    recovered_at: int | None = None  # when a trial succeeded
    ramp_duration: int = 0  # the time over which the functions return

    def is_trial_due(self, now: int) -> bool:
        """Whether a trial may be sent at the time `now`, ns."""
        if now < self.next_trial_at:
            return False
        return self.trial_sent_at is None or now - self.trial_sent_at >= TRIAL_TIMEOUT


class RequestOutcome(NamedTuple):
    """Whether a request was rejected."""

    at: int
    rejected: bool


class RelativeDuration(NamedTuple):
    """The time that a request took, divided by the mean of its function."""

    at: int
    ratio: float


def _recent_outcomes() -> deque[RequestOutcome]:
    return deque(maxlen=STORED_OUTCOMES)


def _recent_durations() -> deque[RelativeDuration]:
    return deque(maxlen=STORED_OUTCOMES)


@dataclass(slots=True)
class CellRecord:
    """What has been received from a cell lately."""

    last_answered: int = -1  # ns
    overdue: dict[str, int] = field(default_factory=dict)  # host or entry: when the overdue request was sent
    outcomes: deque[RequestOutcome] = field(default_factory=_recent_outcomes)
    relative_durations: deque[RelativeDuration] = field(default_factory=_recent_durations)

    def has_overdue_sent_after(self, last_answered: int) -> bool:
        """Whether a request is overdue that was sent after that time."""
        return any(sent > last_answered for sent in self.overdue.values())
