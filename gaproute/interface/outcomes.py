"""What came of a relay."""

from enum import Enum
from typing import NamedTuple


class Result(Enum):
    OK = "ok"
    ERROR = "error"  # may have run
    FULL = "full"  # never ran
    TIMEOUT = "timeout"  # may have run
    CONNECT_FAILED = "connect failed"  # never ran
    RESET = "reset"  # may have run
    CANCELLED = "cancelled"  # may have run
    MOOT = "moot"  # never sent
    MISS = "miss"  # never ran: no copy there and none on its way
    BEGUN = "begun"  # a streamed answer has begun; the relay's real outcome follows
    DEPARTED = "departed"  # the client left; nothing more is owed


# Results that prove that the worker never ran the task.
NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT, Result.MISS)


class Found(Enum):
    """What a delivered relay found at the worker, where that is told."""

    UNTOLD = 0
    WARM = 1
    BEGAN_LOAD = 2
    AWAITED_LOAD = 3
    LOAD_FAILED = 4


class Report(NamedTuple):
    """A worker's own figures; what it did not tell is None."""

    in_hand: float | None = None  # tasks at work or waiting
    waiting: float | None = None  # tasks waiting
    cpu_busy: float | None = None  # share of its cores at work
    memory_busy: float | None = None  # share of its memory that cannot be freed


class Outcome(NamedTuple):
    task: str
    relay: int
    worker: str
    result: Result
    took: int
    ended: bool  # the task is over, by this outcome or an earlier one
    found: Found
    alike: int | None  # tasks of the same function that the worker held
    report: Report | None
