"""Decides which connections of clients are accepted, served next, and closed to free capacity.

No I/O here: time (int nanoseconds) and random numbers are handed in.

Connections of clients wait in three queues: those that have sent something and brought a request before
(returning), those that have sent something for the first time (new), and those that wait to be accepted
(arriving). Requests in flight are served before all three; this module divides the rest of each turn of the
event loop.
"""

from collections.abc import Sequence
from enum import Enum

from gaproute.decisions.chance import RandomGenerator
from gaproute.units import MILLI, SECOND

# Time in each turn of the loop for the queues, at most: requests in flight are delayed by no more than that.
ADMISSION_TIME = 3 * MILLI
# Of each 4 choices, those for returning connections while others wait: after a failure of many clients, all
# that reconnect are new, and the connections that stayed must not wait for them.
RETURNING_SHARE = 3
# New connections that wait to be read above which none is accepted: the others wait in the kernel's backlog,
# and an accepted connection is read within a second.
MAX_NEW_WAITING = 512
# Shortest idle time of a connection that is closed for another one: new ones must not close each other.
MIN_IDLE = 2 * SECOND
EVICTION_SAMPLE = 64  # connections that have been idle longest, of which the least valuable is closed
NEARLY_FULL = 0.95  # share of the allowed connections above which answers announce a close
# Share of the idle time that is added at random, so that connections opened together do not close together.
IDLE_JITTER = 0.1
# Descriptors that clients can never use: those of host lists, logs, operators, peers and handover.
RESERVED_DESCRIPTORS = 64
HOST_DESCRIPTOR_SHARE = 0.03  # of all descriptors, for connections to hosts: 600 of the usual 20,000

# Idle connections that are closed each time that descriptors run out: the failed call is retried about 100 ms
# later, and so many new connections may come until then.
EVICTIONS_PER_SHORTAGE = 8
# As `MIN_IDLE`, for clients that send a request again if its connection was just being closed: then an idle
# connection can be closed sooner for one that has a request.
MIN_IDLE_WITH_RETRIES = 100 * MILLI
# Pause until a full gateway searches for an idle connection again: a tenth of `MIN_IDLE_WITH_RETRIES`.
FULL_RETRY_PAUSE = 10 * MILLI
# Part of a client's deadline that is reserved for the final answer: a turn of a busy loop and the network.
RESPONSE_MARGIN = 12 * MILLI

_JITTER_STEPS = 1 << 20


class Verdict(Enum):
    """The decision on a new connection."""

    ACCEPT = "accept"
    EVICT = "evict"  # close an idle connection and accept this one
    REJECT = "reject"


class AdmissionQueue(Enum):
    """The queues in which connections wait to be read (returning, new) or accepted (arriving)."""

    RETURNING = "returning"
    NEW = "new"
    ARRIVING = "arriving"


# Looked up once: these are compared for each connection, and a member of an enum is slow to reach.
_RETURNING, _NEW, _ARRIVING = AdmissionQueue.RETURNING, AdmissionQueue.NEW, AdmissionQueue.ARRIVING
_ACCEPT = Verdict.ACCEPT


# A parked connection: (number of requests, since when it is idle in ns, descriptor). Sorted, the least
# valuable comes first. It is a plain tuple: a full gateway makes one of each idle connection for every new
# connection, and a NamedTuple would cost a function call each.
IdleConnection = tuple[int, int, int]


def response_margin() -> int:
    """The part of a client's deadline that is reserved for sending the final answer, ns."""
    return RESPONSE_MARGIN


class Admission:
    """Admission control for the connections of one event loop."""

    def __init__(
        self,
        max_connections: int,
        max_per_address: int,
        descriptors: int,
        chance: RandomGenerator,
        *,
        min_idle: int = MIN_IDLE,
        queue_when_full: bool = False,
        reserved_descriptors: int | None = None,
    ) -> None:
        """`max_connections`: of clients, as the operator allows; `descriptors`: the limit of the process.

        `min_idle`: idle time (ns) after which a parked connection may be closed for another one.
        `queue_when_full`: new connections wait in the kernel's backlog while no idle one can be closed.
        `reserved_descriptors`: descriptors that clients can never use; None: a share computed here.
        """
        if reserved_descriptors is None:
            reserved_descriptors = RESERVED_DESCRIPTORS + int(HOST_DESCRIPTOR_SHARE * descriptors)
        self.reserved_descriptors = reserved_descriptors
        self.max_connections = max(1, min(max_connections, descriptors - reserved_descriptors))
        self.max_per_address = max_per_address
        self.min_idle = min_idle
        self.queue_when_full = queue_when_full
        self._chance = chance
        self._turn = 0

    def next_queue(self, returning: int, new: int, *, arriving: bool) -> AdmissionQueue | None:
        """The queue that is served now, by the number of connections in each; None if all are empty."""
        accepting = arriving and new < MAX_NEW_WAITING
        self._turn = (self._turn + 1) % (RETURNING_SHARE + 1)
        if returning and (self._turn or not (new or accepting)):
            return _RETURNING
        # Accepted connections and arriving ones are served in turn: an accept costs less than an answer.
        if new and (not accepting or self._chance.below(2)):
            return _NEW
        if accepting:
            return _ARRIVING
        return _RETURNING if returning else None

    def admit(self, client_count: int, address_count: int, *, can_evict: bool) -> Verdict:
        """Decides on a new connection, by the number of connections of all clients and of its address.

        `can_evict`: whether an idle connection may be closed for it.
        """
        if address_count >= self.max_per_address:
            return Verdict.REJECT
        if client_count < self.max_connections:
            return _ACCEPT
        return Verdict.EVICT if can_evict else Verdict.REJECT

    def is_evictable(self, now: int, idle_since: int) -> bool:
        """Whether a connection has been idle for long enough to be closed for another."""
        return now - idle_since >= self.min_idle

    def eviction_candidate(self, now: int, idle: Sequence[IdleConnection]) -> int | None:
        """The descriptor of the connection to close for another one; None where none may be closed.

        The least valuable connection is chosen: the one with the fewest requests, then the longest idle.
        """
        evictable = [
            (request_count, idle_since, descriptor)
            for request_count, idle_since, descriptor in idle
            if now - idle_since >= self.min_idle
        ]
        if not evictable:
            return None
        _, _, descriptor = min(evictable)
        return descriptor

    def oldest_idle(self, now: int, idle: Sequence[IdleConnection]) -> list[int]:
        """The descriptors to close where the process has run out of them, the longest idle first."""
        evictable = sorted(
            (idle_since, descriptor)
            for _, idle_since, descriptor in idle
            if now - idle_since >= self.min_idle
        )
        return [descriptor for _, descriptor in evictable[:EVICTIONS_PER_SHORTAGE]]

    def announces_close(self, client_count: int) -> bool:
        """Whether answers announce that the connection closes, so that a nearly full gateway empties."""
        return client_count >= NEARLY_FULL * self.max_connections

    def idle_deadline(self, now: int, idle: int, jitter: float = IDLE_JITTER) -> int:
        """When a connection that is idle from now on is closed: after at least `idle` ns."""
        return now + idle + int(idle * jitter * self._chance.below(_JITTER_STEPS) / _JITTER_STEPS)
