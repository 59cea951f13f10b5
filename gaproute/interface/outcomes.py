"""Outcomes of attempts."""

from enum import Enum
from typing import NamedTuple


class Result(Enum):
    """How an attempt ended. The values appear in counters and log lines."""

    OK = "ok"
    ERROR = "error"  # may have run
    FULL = "full"  # never ran
    TIMEOUT = "timeout"  # may have run
    CONNECT_FAILED = "connect_failed"  # never ran
    RESET = "reset"  # may have run
    CANCELLED = "cancelled"  # may have run
    NOT_SENT = "not_sent"  # never ran
    NOT_LOADED = "not_loaded"  # never ran: no instance is loaded or being loaded
    STREAM_STARTED = "stream_started"  # a streamed answer has started; the final outcome follows
    CLIENT_LEFT = "client_left"  # no answer is needed any more


# Results that prove that the host did not run the request.
NEVER_RAN = (Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT, Result.NOT_LOADED)


class InstanceStatus(Enum):
    """The state in which a delivered attempt found the instance at the host, if hosts report it."""

    UNKNOWN = 0
    WARM = 1
    BEGAN_LOAD = 2
    AWAITED_LOAD = 3
    LOAD_FAILED = 4


class HostLoadReport(NamedTuple):
    """Figures that a host reports about itself; None for a figure that it does not report."""

    in_hand: float | None = None  # requests running or waiting
    waiting: float | None = None  # requests waiting
    cpu_busy: float | None = None  # share of its cores in use
    memory_busy: float | None = None  # share of its memory that cannot be freed


class Outcome(NamedTuple):
    """The outcome of one attempt."""

    request_id: str
    attempt: int
    host_id: str
    result: Result
    duration: int  # from sending the attempt to its outcome, ns
    request_ended: bool  # whether this outcome or an earlier one ended the request
    found: InstanceStatus
    same_function_requests: int | None  # requests of the same function in flight at the host
    report: HostLoadReport | None
