"""Which connections of clients are accepted, served next, and closed to free capacity.

Decisions only: no sockets; clock and randomness are handed in, times are int nanoseconds.

Connections of clients wait in three queues: those that send and have sent a request before (returning), those
that send for the first time (new), and those that wait to be accepted (arriving). Requests in flight come
before all three; what is left of each turn of the event loop is divided here.
"""

from collections.abc import Sequence
from enum import Enum

from gaproute.decisions.chance import Chance

MILLI, SECOND = 1_000_000, 1_000_000_000

# At most, of each turn of the loop, for what waits here: requests in flight wait no longer than that.
ADMISSION_TIME = 3 * MILLI
# Of each 4 turns, for returning connections while others wait: after a power cut all that come back are new,
# and those that stayed must not wait behind them.
RETURNING_SHARE = 3
# New connections that wait before no more are accepted: the kernel's backlog holds the rest, and what is
# accepted is served within a second.
MAX_NEW_WAITING = 512
# Idle for less, none is closed for another's sake: arrivals must not close each other.
MIN_IDLE = 2 * SECOND
EVICTION_SAMPLE = 64  # of the longest idle, among which the least valuable is picked
NEARLY_FULL = 0.95  # of the connections allowed, from which on answers announce the connection's close
# Of the idle time, added at random: what came at one moment must not close at one.
IDLE_JITTER = 0.1
# Descriptors that clients can never take: host lists, logs, operators, peers, handover.
RESERVED_DESCRIPTORS = 64
HOST_DESCRIPTOR_SHARE = 0.03  # of all descriptors, for connections to hosts: 600 of the usual 20,000

# Idle connections closed each time that descriptors run out: what failed is retried some 100 ms later, and as
# many may come meanwhile.
EVICTIONS_PER_SHORTAGE = 8
# As `MIN_IDLE`, where clients send again what crosses a close: capacity must serve those that send, and an
# idle connection gives way to a request that is there.
MIN_IDLE_WITH_RETRIES = 100 * MILLI
# Until a full gateway looks again for an idle connection: a tenth of that minimum.
FULL_RETRY_PAUSE = 10 * MILLI
# Of a client's deadline, kept for the final answer: a turn of a busy loop and the network.
RESPONSE_MARGIN = 12 * MILLI

_JITTER_STEPS = 1 << 20


class Verdict(Enum):
    """What is done with a connection that arrives."""

    ACCEPT = "accept"
    EVICT = "evict"  # accept it in place of an idle one
    REJECT = "reject"


class AdmissionQueue(Enum):
    """What connections wait for: to be read, or to be accepted."""

    RETURNING = "returning"
    NEW = "new"
    ARRIVING = "arriving"


# Looked up once: these are compared for each connection, and a member of an enum is slow to reach.
_RETURNING, _NEW, _ARRIVING = AdmissionQueue.RETURNING, AdmissionQueue.NEW, AdmissionQueue.ARRIVING
_ACCEPT = Verdict.ACCEPT


# A parked connection: how many requests it has brought, since when it is idle (ns), its descriptor. The order
# of the parts is that of eviction, the least valuable first. It is a plain tuple: a full gateway makes one of
# each idle connection for every arrival, and a NamedTuple would cost a function call each.
IdleConnection = tuple[int, int, int]


def response_margin() -> int:
    """How much of a client's deadline is kept for its final answer to leave and arrive, ns."""
    return RESPONSE_MARGIN


class Admission:
    """Admission control for the connections of one event loop."""

    def __init__(
        self,
        max_connections: int,
        max_per_address: int,
        descriptors: int,
        chance: Chance,
        *,
        min_idle: int = MIN_IDLE,
        queue_when_full: bool = False,
        reserved_descriptors: int | None = None,
    ) -> None:
        """`max_connections`: those of clients that the operator allows; `descriptors`: the process's limit.

        `min_idle`: ns from which on a parked connection may be closed for another; less where clients retry.
        `queue_when_full`: arrivals wait in the kernel's backlog while no idle connection can be closed.
        `reserved_descriptors`: those that clients can never take, where others have shares of their own.
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

    def next_queue(self, returning: int, new: int, arriving: bool) -> AdmissionQueue | None:
        """Which queue is served now, by how many wait in each; None where nobody waits."""
        accepting = arriving and new < MAX_NEW_WAITING
        self._turn = (self._turn + 1) % (RETURNING_SHARE + 1)
        if returning and (self._turn or not (new or accepting)):
            return _RETURNING
        # Those already accepted before new ones, in turn with them: an accept costs less than an answer.
        if new and (not accepting or self._chance.below(2)):
            return _NEW
        if accepting:
            return _ARRIVING
        return _RETURNING if returning else None

    def admit(self, client_count: int, address_count: int, *, can_evict: bool) -> Verdict:
        """Decides on an arrival, with so many connections of clients in all and of its address.

        `can_evict`: whether an idle one may be closed for it.
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
        """The descriptor of the connection to be closed for another; None where none may be.

        It is the least valuable: the one with the fewest requests, then the longest idle.
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
        """The descriptors to be closed where the process has run out of them, the longest idle first."""
        evictable = sorted(
            (idle_since, descriptor)
            for _, idle_since, descriptor in idle
            if now - idle_since >= self.min_idle
        )
        return [descriptor for _, descriptor in evictable[:EVICTIONS_PER_SHORTAGE]]

    def announces_close(self, client_count: int) -> bool:
        """Whether answers announce that the connection closes: a full gateway empties where that is safe."""
        return client_count >= NEARLY_FULL * self.max_connections

    def idle_deadline(self, now: int, idle: int, jitter: float = IDLE_JITTER) -> int:
        """When a connection that is idle from now on is closed: never before the idle time `idle`, ns."""
        return now + idle + int(idle * jitter * self._chance.below(_JITTER_STEPS) / _JITTER_STEPS)
