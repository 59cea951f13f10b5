"""What became of an attempt."""

from enum import Enum
from typing import NamedTuple


class Result(Enum):
    """How an attempt ended; the values are those of counters and log lines."""

    OK = "ok"
    ERROR = "error"  # may have run
    FULL = "full"  # never ran
    TIMEOUT = "timeout"  # may have run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # may have run
    CANCELLED = "cancelled"  # may have run
    NOT_SENT = "not_sent"  # never ran
    NOT_LOADED = "not_loaded"  # never ran: no instance there and none on its way
    STREAM_STARTED = "stream_started"  # a streamed answer has begun; the attempt's real outcome follows
    CLIENT_LEFT = "client_left"  # nothing more is owed


# Results that prove that the host never ran the request.
NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT, Result.NOT_LOADED)


class InstanceStatus(Enum):
    """What a delivered attempt found at the host, where hosts report it."""

    UNKNOWN = 0
    WARM = 1
    BEGAN_LOAD = 2
    AWAITED_LOAD = 3
    LOAD_FAILED = 4


class HostLoadReport(NamedTuple):
    """A host's own figures; what it did not report is None."""

    in_hand: float | None = None  # requests at work or waiting
    waiting: float | None = None  # requests waiting
    cpu_busy: float | None = None  # share of its cores at work
    memory_busy: float | None = None  # share of its memory that cannot be freed


class Outcome(NamedTuple):
    """What became of one attempt."""

    request_id: str
    attempt: int
    host_id: str
    result: Result
    duration: int  # from sending to outcome, ns
    request_ended: bool  # the request is over, by this outcome or an earlier one
    found: InstanceStatus
    same_function_requests: int | None  # requests of the same function that the host had in flight
    report: HostLoadReport | None
