"""What is recorded of cells, zones and regions that have or may have a fault."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

OUTCOMES = 8  # the last ones of a cell, by which rejections and slowness are judged


class CircuitState(Enum):
    """Whether a function's requests may go to a cell now."""

    CLOSED = "closed"
    HALF_OPEN = "half-open"  # as the one trial
    OPEN = "open"


class FaultKind(Enum):
    """What proved the fault."""

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    REJECTING = "rejecting"
    SLOW = "slow"


class FaultScope(Enum):
    """The kinds of fault domains: by the field of `Cell` that names them, and all outside the own one."""

    REGION = "region"
    ZONE = "zone"
    CELL = "name"
    OTHER_ZONES = "other zones"  # named by the gateway's own zone
    OTHER_REGIONS = "other regions"  # named by its own region


FaultDomain = tuple[FaultScope, str]  # what fails as one; a plain tuple, as many are made for each outcome


@dataclass(slots=True)
class Fault:
    """The fault of a domain, or its recovery ramp, on which its functions come back. All times are ns."""

    kind: FaultKind
    since: int
    backoff: int
    next_trial_at: int
    trial_sent_at: int | None = None  # of the one that is out
    recovered_at: int | None = None  # when a trial succeeded
    ramp: int = 0  # over which the functions come back


class CallOutcome(NamedTuple):
    """Whether a request was rejected."""

    at: int
    rejected: bool


class Pace(NamedTuple):
    """The time that a request took, over the mean of its function."""

    at: int
    ratio: float


def _recent_outcomes() -> deque[CallOutcome]:
    return deque(maxlen=OUTCOMES)


def _recent_paces() -> deque[Pace]:
    return deque(maxlen=OUTCOMES)


@dataclass(slots=True)
class CellRecord:
    """What was received from a cell of late."""

    last_heard: int = -1  # ns
    overdue: dict[str, int] = field(default_factory=dict)  # host or entry: when the overdue request was sent
    outcomes: deque[CallOutcome] = field(default_factory=_recent_outcomes)
    paces: deque[Pace] = field(default_factory=_recent_paces)

    def awaited_since(self, last_heard: int) -> bool:
        """Whether a request is overdue that was sent after that time."""
        return any(sent > last_heard for sent in self.overdue.values())
