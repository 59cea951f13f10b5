"""Actions that the generators of a gateway yield. `host` is the id of a host."""

from enum import Enum
from typing import NamedTuple


class Attempt(NamedTuple):
    """Send the request to this host; the generator is resumed with the number of the attempt."""

    host: str
    start_by: int = 1 << 62  # latest start after waiting for a connection, ns


class Wait(NamedTuple):
    """Resume the generator with the next outcome, or at this time."""

    until: int  # ns; a float if it is computed from a median


class Cancel(NamedTuple):
    """Cancel this attempt of the request, because its answer is no longer needed."""

    attempt: int


class LoadOrder(NamedTuple):
    """Order a host to load instances of a function."""

    host: str
    function: str
    instances: int  # number of instances to load


class Probe(NamedTuple):
    """Request the load report of a host."""

    host: str


class PollHostList(NamedTuple):
    """Request the host list and its changes."""


class RejectReason(Enum):
    """Why a request is rejected. The values appear in log lines."""

    OVERLOADED = "overloaded"  # too many attempts in flight for an acceptable wait
    QUEUE_TOO_LONG = "queue_too_long"  # the queue at the best host is too long
    HOST_FULL = "host_full"  # a full host rejected the request while the fleet is overloaded
    LATENCY_OBJECTIVE_MISSED = "latency_objective_missed"  # no answer in time while the fleet is overloaded
    NO_HOST_AVAILABLE = "no_host_available"  # no host may get the request, or its time is up

    # In a fleet of several cells:
    NO_CELL_AVAILABLE = "no_cell_available"  # no cell may get the request
    NO_ACTIVE_HOST = "no_active_host"  # the cell of the request has no active host
    CELL_UNKNOWN = "cell_unknown"  # forwarded to a gateway that does not know the cell
    CELL_FULL = "cell_full"  # the entry gateway of the cell rejected the request
    CELL_UNREACHABLE = "cell_unreachable"  # no entry gateway of the cell answers
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"  # the attempt limit is reached
    NO_TIME_LEFT = "no_time_left"  # the time is up while another gateway serves the request


class Reject(NamedTuple):
    """The final answer to a request that provably did not run or may run again."""

    retry_after: int  # how long the client should wait before a retry, ns; 0 if not specified
    reason: RejectReason | None = None  # for log lines


class Fail(NamedTuple):
    """The final answer to a request that may have run and must not run again."""


Action = Attempt | Wait | Cancel | LoadOrder | Probe | PollHostList | Reject | Fail
