"""Decides which connections of clients are accepted, served next, and closed to free capacity.

The module performs no I/O: callers pass in the time (int nanoseconds) and the source of random numbers.

Connections of clients wait in three queues: connections with unread data that have brought a request before
(returning), connections with unread data that have not brought a request yet (new), and connections that are
not accepted yet (arriving). The event loop serves requests in flight first; this module divides the rest of
each turn of the loop among the three queues.
"""

from collections.abc import Sequence
from enum import Enum

from gaproute.decisions.chance import RandomGenerator
from gaproute.units import MILLI, SECOND

# Longest time that a turn of the event loop spends on the queues, and so the longest delay that the queues
# cause for requests in flight.
MAX_ADMISSION_TIME = 3 * MILLI
# Weight of the queue of returning connections; all other connections together have the weight 1. While others
# wait, 3 of each 4 choices thus go to returning connections. After a failure of many clients, all connections
# of the clients that reconnect are new, and the clients that stayed connected must not wait for them.
RETURNING_WEIGHT = 3
# Number of new connections with unread data at which no further connection is accepted. The others wait in
# the kernel's backlog, so that an accepted connection is read within a second.
MAX_NEW_WAITING = 512
# Shortest idle time after which a connection may be closed to make room for another connection. The limit
# keeps new connections from evicting each other.
MIN_EVICTION_IDLE_TIME = 2 * SECOND
EVICTION_SAMPLE_SIZE = 64  # longest-idle connections that are compared to find the least valuable one
NEARLY_FULL_SHARE = 0.95  # share of the allowed connections at which answers start to announce a close
# Share of the idle time up to which a random time is added, so that connections that were opened together do
# not close together.
IDLE_JITTER_SHARE = 0.1
# Descriptors that client connections can never use: those of host lists, logs, operators, peers and handover.
RESERVED_DESCRIPTORS = 64
HOST_DESCRIPTOR_SHARE = 0.03  # share of all descriptors for connections to hosts: 600 of the usual 20,000

# Idle connections that are closed each time the process runs out of descriptors. The failed call is retried
# about 100 ms later, and as many new connections may arrive in that time.
EVICTIONS_PER_SHORTAGE = 8
# Value of `MIN_EVICTION_IDLE_TIME` for clients that retry a request whose connection is closed while they
# send it. For such clients an idle connection can be closed earlier to make room for a connection with a
# request.
MIN_EVICTION_IDLE_TIME_WITH_RETRIES = 100 * MILLI
# Time after which a full gateway searches for an idle connection again: a tenth of
# `MIN_EVICTION_IDLE_TIME_WITH_RETRIES`.
EVICTION_RETRY_DELAY = 10 * MILLI
# Part of a client's deadline that is reserved for sending the final answer: it covers a turn of a busy event
# loop and the time on the network.
RESPONSE_MARGIN = 12 * MILLI

_JITTER_STEPS = 1 << 20


class AdmissionDecision(Enum):
    """A decision on a new connection."""

    ACCEPT = "accept"
    EVICT = "evict"  # close an idle connection and accept this one
    REJECT = "reject"


class AdmissionQueue(Enum):
    """A queue of connections that wait to be read (returning, new) or accepted (arriving)."""

    RETURNING = "returning"
    NEW = "new"
    ARRIVING = "arriving"


# Module-level copies of enum members: each connection is compared with them, and access to an enum member is
# slow.
_RETURNING, _NEW, _ARRIVING = AdmissionQueue.RETURNING, AdmissionQueue.NEW, AdmissionQueue.ARRIVING
_ACCEPT = AdmissionDecision.ACCEPT


# A parked connection: (number of its requests, start of its idle time in ns, descriptor). In sorted order the
# least valuable connection comes first. The type is a plain tuple because a full gateway creates one per idle
# connection for every new connection, and creating a NamedTuple costs an additional function call.
IdleConnection = tuple[int, int, int]


def response_margin() -> int:
    """Returns the part of a client's deadline that is reserved for sending the final answer, ns."""
    return RESPONSE_MARGIN


class Admission:
    """Controls the admission and eviction of connections of one event loop."""

    def __init__(
        self,
        max_connections: int,
        max_per_address: int,
        descriptors: int,
        chance: RandomGenerator,
        *,
        min_eviction_idle_time: int = MIN_EVICTION_IDLE_TIME,
        queue_when_full: bool = False,
        reserved_descriptors: int | None = None,
    ) -> None:
        """`max_connections`: the operator's limit of client connections.

        `max_per_address`: the limit of client connections from one address. `descriptors`: the limit of open
        descriptors of the process. `min_eviction_idle_time`: the idle time (ns) after which a parked
        connection may be closed to make room. `queue_when_full`: whether new connections wait in the kernel's
        backlog while no idle one can be closed. `reserved_descriptors`: the descriptors that client
        connections can never use; None: a fixed number and a share of `descriptors`.
        """
        if reserved_descriptors is None:
            reserved_descriptors = RESERVED_DESCRIPTORS + int(HOST_DESCRIPTOR_SHARE * descriptors)
        self.reserved_descriptors = reserved_descriptors
        self.max_connections = max(1, min(max_connections, descriptors - reserved_descriptors))
        self.max_per_address = max_per_address
        self.min_eviction_idle_time = min_eviction_idle_time
        self.queue_when_full = queue_when_full
        self._chance = chance
        self._turn = 0

    def next_queue(
        self, returning_count: int, new_count: int, *, has_arriving: bool
    ) -> AdmissionQueue | None:
        """Returns the queue to serve next, or None if no queue can be served.

        `returning_count` and `new_count` are the numbers of connections in these queues; `has_arriving` says
        whether a connection waits to be accepted.
        """
        accepting = has_arriving and new_count < MAX_NEW_WAITING
        self._turn = (self._turn + 1) % (RETURNING_WEIGHT + 1)
        if returning_count and (self._turn or not (new_count or accepting)):
            return _RETURNING
        # New and arriving connections are chosen with equal probability, as an accept costs less than an
        # answer.
        if new_count and (not accepting or self._chance.below(2)):
            return _NEW
        if accepting:
            return _ARRIVING
        return _RETURNING if returning_count else None

    def decide_admission(
        self, client_connection_count: int, address_connection_count: int, *, can_evict: bool
    ) -> AdmissionDecision:
        """Decides on a new connection.

        `client_connection_count`: the connections of all clients; `address_connection_count`: the connections
        from the address of the new one; `can_evict`: whether an idle connection may be closed to make room.
        """
        if address_connection_count >= self.max_per_address:
            return AdmissionDecision.REJECT
        if client_connection_count < self.max_connections:
            return _ACCEPT
        return AdmissionDecision.EVICT if can_evict else AdmissionDecision.REJECT

    def is_evictable(self, now: int, idle_since: int) -> bool:
        """Whether a connection has been idle for long enough to be closed to make room for another one."""
        return now - idle_since >= self.min_eviction_idle_time

    def eviction_candidate(self, now: int, idle: Sequence[IdleConnection]) -> int | None:
        """Returns the descriptor of the connection to close to make room; None if none may be closed.

        The least valuable connection has the fewest requests; among equals, it has been idle longest.
        """
        evictable = [
            (request_count, idle_since, descriptor)
            for request_count, idle_since, descriptor in idle
            if now - idle_since >= self.min_eviction_idle_time
        ]
        if not evictable:
            return None
        _, _, descriptor = min(evictable)
        return descriptor

    def longest_idle_descriptors(self, now: int, idle: Sequence[IdleConnection]) -> list[int]:
        """Returns the descriptors of idle connections to close when the process has run out of descriptors.

        The connection that has been idle longest comes first.
        """
        evictable = sorted(
            (idle_since, descriptor)
            for _, idle_since, descriptor in idle
            if now - idle_since >= self.min_eviction_idle_time
        )
        return [descriptor for _, descriptor in evictable[:EVICTIONS_PER_SHORTAGE]]

    def announces_close(self, client_connection_count: int) -> bool:
        """Whether answers announce the close of their connection, as the gateway is nearly full."""
        return client_connection_count >= NEARLY_FULL_SHARE * self.max_connections

    def idle_deadline(self, now: int, idle_time: int, jitter_share: float = IDLE_JITTER_SHARE) -> int:
        """Returns the time (ns) at which a connection that becomes idle now is closed.

        The idle time is `idle_time` ns plus a random part of up to `jitter_share` of it.
        """
        return (
            now
            + idle_time
            + int(idle_time * jitter_share * self._chance.below(_JITTER_STEPS) / _JITTER_STEPS)
        )
