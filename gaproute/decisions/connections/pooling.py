"""Which open connection a request may go out on: decisions only, no sockets, the clock handed in.

A host may close an idle connection at the very moment at which a request goes out on it. The kernel has taken
the bytes then, so nothing proves that the request did not run: an idempotent one is retried, a non-idempotent
one fails. A connection that was idle for only a moment is safe, as hosts close what has long been idle. So a
request that must not run twice takes a connection that was idle for much less than any host was observed or
announced to close after, else a new one, which costs a handshake. `docs/connections.md` has the alternatives
and the measurement.
"""

from collections import deque
from collections.abc import Collection, Iterable
from typing import NamedTuple, Protocol, TypeVar

from gaproute.interface import Idempotency

MILLI, SECOND = 1_000_000, 1_000_000_000

# Idle time after which no connection is used: most servers close between 5 and 75 s.
MAX_IDLE = 20 * SECOND
# The same for a non-idempotent request: shorter than the idle time of any common server (1 s and more), long
# beside the gaps under load.
MAX_IDLE_NON_IDEMPOTENT = 500 * MILLI
OBSERVED_IDLE_SHARE = 0.5  # of the shortest idle time after which this host closed a connection, unasked
# Of the idle time that the host announces, for an idempotent request: one that crosses the close is retried,
# and a handshake saved is worth more.
ANNOUNCED_IDLE_SHARE = 0.9
# The same for a non-idempotent one: far from the close, whatever the clocks and loads.
ANNOUNCED_IDLE_SHARE_NON_IDEMPOTENT = 0.25
OBSERVATIONS = 8  # closes and stale ends remembered for each host
CLOSE_MEMORY = 300 * SECOND  # after which a close says nothing: the host may have been set up anew

# Nothing received on a connection for so long when a request on it is abandoned: answers take a few tenths,
# loads longer; a false alarm costs a handshake.
SILENCE_TIMEOUT = SECOND
# After a request was sent; a connection that ends unanswered within it was stale. A process that dies at work
# ends all of its connections at any time.
STALE_END_TIME = 50 * MILLI
STALE_MEMORY = 10 * SECOND  # after which such an end says nothing: open connections are tried again
# Of the last `OBSERVATIONS` at a host; above it, idempotent requests too take new connections.
MAX_STALE_ENDS = 1
# Requests of a connection that may yet be answered once more, until it takes no further one: a long-lived
# connection would hold all their ids. A handshake for 64 is little.
MAX_RETIRED_IDS = 64


class ObservedClose(NamedTuple):
    """A connection that the host closed, unasked."""

    at: int
    idle: int  # ns for which it had been idle


class PooledConnection(Protocol):
    """What is read of an open connection that carries several requests at once."""

    @property
    def reusable(self) -> bool:
        """Whether it may take further requests."""

    @property
    def pending(self) -> Collection[str]:
        """The ids of the requests on it."""

    @property
    def retired_ids(self) -> Collection[str]:
        """The ids that may yet be answered once more."""

    @property
    def last_used(self) -> int:
        """When it was last in use."""


Connection = TypeVar("Connection", bound=PooledConnection)


class Pooling:
    """What was observed of hosts that close connections, and which connection a request may use."""

    def __init__(self) -> None:
        self._closes: dict[str, deque[ObservedClose]] = {}  # by host
        self._stale_ends: dict[str, deque[int]] = {}  # by host: when open connections ended at their next use

    def record_close(self, now: int, host: str, idle: int) -> None:
        """The host closed a connection that had been idle for that long, ns."""
        closes = self._closes.setdefault(host, deque(maxlen=OBSERVATIONS))
        closes.append(ObservedClose(now, idle))

    def forget_host(self, host: str) -> None:
        """The host has left the endpoint list."""
        self._closes.pop(host, None)
        self._stale_ends.pop(host, None)

    def record_stale_end(self, now: int, host: str, idle: int, since_sent: int) -> None:
        """A connection ended under a request that nothing had answered, `since_sent` ns after it was sent.

        `idle`: for how long the connection had been idle before, negative for one in use.
        """
        if idle >= 0 and since_sent < STALE_END_TIME:
            self._stale_ends.setdefault(host, deque(maxlen=OBSERVATIONS)).append(now)

    def allows_reuse(self, now: int, host: str, idempotency: Idempotency) -> bool:
        """Whether open connections to that host may be used at all.

        Guards against hosts, and what stands before them, that end an open connection at its next use: an
        idempotent request loses a round trip there and a non-idempotent one all. It costs a handshake a
        request where a few connections died by chance.
        """
        if idempotency is not Idempotency.IDEMPOTENT:
            # One host's is enough: what ends them stands before all hosts.
            return not any(ends and now - ends[-1] < STALE_MEMORY for ends in self._stale_ends.values())
        return sum([now - at < STALE_MEMORY for at in self._stale_ends.get(host, ())]) <= MAX_STALE_ENDS

    def max_idle(self, now: int, host: str, idempotency: Idempotency, announced: int | None) -> int:
        """For how long a connection may have been idle to be used, ns.

        `announced`: the idle time after which the host says that it closes, None where it says nothing.
        """
        observed = [close.idle for close in self._closes.get(host, ()) if now - close.at < CLOSE_MEMORY]
        longest = MAX_IDLE if idempotency is Idempotency.IDEMPOTENT else MAX_IDLE_NON_IDEMPOTENT
        if announced is not None:
            share = (
                ANNOUNCED_IDLE_SHARE
                if idempotency is Idempotency.IDEMPOTENT
                else ANNOUNCED_IDLE_SHARE_NON_IDEMPOTENT
            )
            longest = min(MAX_IDLE, int(announced * share))
        return min(longest, int(min(observed) * OBSERVED_IDLE_SHARE)) if observed else longest

    # Connections that carry several requests at once

    def is_silent(self, now: int, last_received: int) -> bool:
        """Whether a request that is abandoned shows its connection to be dead."""
        return now - last_received > SILENCE_TIMEOUT

    def choose(
        self,
        now: int,
        host: str,
        idempotency: Idempotency,
        connections: Iterable[Connection],
        request_id: str,
        max_open: int,
        announced: int | None,
    ) -> Connection | None:
        """The connection for a request of that id, None for a new one; one with requests open is only a
        second choice, for where no new one can be had.

        One attempt a connection as long as they last: a broken answer or a reset ends all that is on it.
        Never one that has carried the id before: a late answer to that would be taken for this one's.
        """
        free: Connection | None = None
        shared: Connection | None = None
        if not self.allows_reuse(now, host, idempotency):
            announced = 0
        for link in connections:
            if not link.reusable or request_id in link.pending or request_id in link.retired_ids:
                continue
            if len(link.retired_ids) >= MAX_RETIRED_IDS:
                continue
            if not link.pending:
                is_latest = free is None or link.last_used > free.last_used
                if is_latest and now - link.last_used <= self.max_idle(now, host, idempotency, announced):
                    free = link
            elif len(link.pending) < max_open and (shared is None or len(link.pending) < len(shared.pending)):
                shared = link
        return free or shared
