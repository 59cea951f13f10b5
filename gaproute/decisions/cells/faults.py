"""What is recorded of cells, zones and regions that are or may be ill."""

from collections import deque
from dataclasses import dataclass, field
from enum import Enum

OUTCOMES = 8  # the last ones of a cell, by which refusals and slowness are judged


class CircuitState(Enum):
    """Whether a function's call may go to a cell now."""

    CLOSED = "closed"
    HALF_OPEN = "half-open"  # as the one trial of an ill place
    OPEN = "open"


class FaultKind(Enum):
    """The proof by which a place is ill."""

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    REFUSING = "refusing"
    SLOW = "slow"


class FaultScope(Enum):
    """The kinds of places: by the field of `Cell` that names them, and all that lies outside the own one."""

    REGION = "region"
    ZONE = "zone"
    CELL = "name"
    OTHER_ZONES = "other zones"  # named by the gateway's own zone
    OTHER_REGIONS = "other regions"  # named by its own region


@dataclass(slots=True)
class Fault:
    """A place that is ill, or whose functions are coming back."""

    kind: FaultKind
    since: int
    backoff: int
    next_trial_at: int  # when the next trial may go
    trial_sent_at: int | None = None  # when the one that is out was sent
    recovered_at: int | None = None  # when a trial succeeded
    ramp: int = 0  # over which the functions come back


@dataclass(slots=True)
class CellRecord:
    """What was heard of a cell of late."""

    last_heard: int = -1
    overdue: dict[str, int] = field(default_factory=dict)  # host or entry: when the call overdue was sent
    outcomes: deque = field(default_factory=lambda: deque(maxlen=OUTCOMES))  # (time, whether a refusal)
    paces: deque = field(default_factory=lambda: deque(maxlen=OUTCOMES))  # (time, took over usual)

    def awaited_since(self, heard: int) -> bool:
        """Whether a call is overdue that was sent after that sign of life."""
        return any(sent > heard for sent in self.overdue.values())
