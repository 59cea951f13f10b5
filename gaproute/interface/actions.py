"""The actions that the generators of a gateway yield."""

from enum import Enum
from typing import NamedTuple


class Attempt(NamedTuple):
    """Send the request to this host; resumed with the attempt's number."""

    host: str
    start_by: int = 1 << 62  # when it may begin at the latest, where it has to wait for its connection


class Wait(NamedTuple):
    """Resume the generator at the next outcome, or at this time."""

    until: int  # ns; not a whole number where it is computed from a median


class Cancel(NamedTuple):
    """Cancel this attempt of the request, as nobody waits for its answer any more."""

    attempt: int


class LoadOrder(NamedTuple):
    """Ask a host to load instances of a function."""

    host: str
    function: str
    instances: int  # how many instances are to be loaded there


class Probe(NamedTuple):
    """Ask a host for its load report."""

    host: str


class PollHostList(NamedTuple):
    """Ask for the host list and its changes."""


class RejectReason(Enum):
    """Why a request is rejected; the values are those of log lines."""

    OVERLOADED = "overloaded"  # the requests in flight promise too long a wait
    QUEUE_TOO_LONG = "queue_too_long"  # the queue at the best host promises too long a wait
    HOST_FULL = "host_full"  # a host rejected it while the fleet is overloaded
    LATENCY_OBJECTIVE_MISSED = "latency_objective_missed"  # without an answer, while the fleet is overloaded
    NO_HOST_AVAILABLE = "no_host_available"  # no host may get it, or its time is up

    # Of a fleet of several cells:
    NO_CELL_AVAILABLE = "no_cell_available"  # there is no cell that may get it
    NO_ACTIVE_HOST = "no_active_host"  # its cell has none
    CELL_UNKNOWN = "cell_unknown"  # it was forwarded to a gateway that does not know the cell
    CELL_FULL = "cell_full"  # the entry gateway of its cell rejected it
    CELL_UNREACHABLE = "cell_unreachable"  # no entry gateway of its cell answers
    ATTEMPTS_EXHAUSTED = "attempts_exhausted"  # it has had as many attempts as are allowed
    NO_TIME_LEFT = "no_time_left"  # its time is up while another gateway has it


class Reject(NamedTuple):
    """The final answer to a request that provably did not run, or that may run again."""

    retry_after: int  # how long the client should wait before it tries again, ns; 0: not said
    reason: RejectReason | None = None  # for the log


class Fail(NamedTuple):
    """The final answer to a request that may have run and must not run again."""


Action = Attempt | Wait | Cancel | LoadOrder | Probe | PollHostList | Reject | Fail
