"""Decides on which open connection to a host a request may be sent. No I/O here; times are handed in, in ns.

A host may close an idle connection at the very moment at which a request is sent on it. The kernel has taken
the bytes then, so nothing proves that the request did not run: an idempotent request is retried, a
non-idempotent one fails. A connection that was idle for only a moment is safe, as hosts close connections
that were idle for long. So a request that must not run twice is sent on a connection that was idle for much
less time than that after which the host closes connections, as observed or announced; else on a new one,
which costs a handshake. `docs/connections.md` has the alternatives and the measurement.
"""

from collections import deque
from collections.abc import Collection, Iterable
from typing import NamedTuple, Protocol, TypeVar

from gaproute.interface import Idempotency
from gaproute.units import MILLI, SECOND

# Idle time after which no connection is used: most servers close between 5 and 75 s.
MAX_IDLE_TIME = 20 * SECOND
# The same for a non-idempotent request: shorter than the idle time of any common server (1 s and more), long
# beside the gaps under load.
MAX_IDLE_TIME_NON_IDEMPOTENT = 500 * MILLI
OBSERVED_IDLE_TIME_SHARE = (
    0.5  # of the shortest idle time after which this host closed a connection by itself
)
# Of the idle time that the host announces, for an idempotent request: a request that meets the close is
# retried, which costs less than the handshakes that are saved.
ANNOUNCED_IDLE_TIME_SHARE = 0.9
# The same for a non-idempotent request: long before the close, even if clocks differ or the host is slow.
ANNOUNCED_IDLE_TIME_SHARE_NON_IDEMPOTENT = 0.25
MAX_OBSERVATIONS_PER_HOST = 8  # closes and stale ends remembered for each host
OBSERVED_CLOSE_LIFETIME = (
    300 * SECOND
)  # after which a close does not count: the host may have been reconfigured

# A connection on which nothing was received for so long counts as dead when a request on it is abandoned.
# Answers take some tenths of a second, loads longer; to be wrong costs a handshake.
SILENCE_TIMEOUT = SECOND
# A connection that ends so soon after a request was sent, without a reply, was stale: the host had closed it
# before. (A process that crashes ends its connections at any time.)
MAX_STALE_END_DELAY = 50 * MILLI
STALE_END_LIFETIME = (
    10 * SECOND
)  # after which a stale end does not count, so that idle connections are tried again
# Stale ends among the last `MAX_OBSERVATIONS_PER_HOST` at a host above which idempotent requests too use new
# connections.
MAX_STALE_ENDS = 1
# Ended requests of a connection to which a reply may still come, until the connection takes no further
# requests: a long-lived one would store the ids of all of them. One handshake for 64 requests is cheap.
MAX_RETIRED_IDS = 64


class ObservedClose(NamedTuple):
    """A connection that the host closed by itself."""

    closed_at: int  # ns
    idle_time: int  # ns for which it had been idle


class PooledConnection(Protocol):
    """What the decisions need to know of a connection that carries several requests at once."""

    @property
    def reusable(self) -> bool:
        """Whether the connection takes further requests."""

    @property
    def pending(self) -> Collection[str]:
        """The ids of the requests that are on the connection."""

    @property
    def retired_ids(self) -> Collection[str]:
        """The ids of ended requests to which a reply may still come."""

    @property
    def last_used(self) -> int:
        """When the connection was last in use, ns."""


Connection = TypeVar("Connection", bound=PooledConnection)


class ConnectionReusePolicy:
    """What was observed of hosts that close connections, and which connection a request may use."""

    def __init__(self) -> None:
        self._closes: dict[str, deque[ObservedClose]] = {}  # by host
        self._stale_ends: dict[str, deque[int]] = {}  # by host: when connections turned out to be stale

    def record_close(self, now: int, host: str, idle_time: int) -> None:
        """Record that the host closed a connection that had been idle for `idle_time` ns."""
        closes = self._closes.setdefault(host, deque(maxlen=MAX_OBSERVATIONS_PER_HOST))
        closes.append(ObservedClose(now, idle_time))

    def forget_host(self, host: str) -> None:
        """Forget what was observed of a host, which has left the host list."""
        self._closes.pop(host, None)
        self._stale_ends.pop(host, None)

    def record_stale_end(self, now: int, host: str, idle_time: int, time_since_sending: int) -> None:
        """Record that a connection ended `time_since_sending` ns after a request was sent on it, without any
        reply.

        `idle_time`: for how long the connection had been idle before the request; negative if it was in use.
        """
        if idle_time >= 0 and time_since_sending < MAX_STALE_END_DELAY:
            self._stale_ends.setdefault(host, deque(maxlen=MAX_OBSERVATIONS_PER_HOST)).append(now)

    def allows_reuse(self, now: int, host: str, idempotency: Idempotency) -> bool:
        """Whether idle connections to that host may be used at all.

        Some hosts, and some proxies before hosts, end an idle connection at its next use: an idempotent
        request loses a round trip by that, and a non-idempotent one fails. Where only a few connections ended
        by accident, this rule costs a handshake for each request for a while.
        """
        if idempotency is not Idempotency.IDEMPOTENT:
            # A stale end at any host counts: a proxy before the hosts would end connections to all of them.
            return not any(ends and now - ends[-1] < STALE_END_LIFETIME for ends in self._stale_ends.values())
        return sum([now - at < STALE_END_LIFETIME for at in self._stale_ends.get(host, ())]) <= MAX_STALE_ENDS

    def max_idle_time(
        self, now: int, host: str, idempotency: Idempotency, announced_idle_time: int | None
    ) -> int:
        """For how long a connection may have been idle if it is to be used, ns.

        `announced_idle_time`: the idle time after which the host says that it closes connections, None if it
        does not.
        """
        observed = [
            close.idle_time
            for close in self._closes.get(host, ())
            if now - close.closed_at < OBSERVED_CLOSE_LIFETIME
        ]
        longest = MAX_IDLE_TIME if idempotency is Idempotency.IDEMPOTENT else MAX_IDLE_TIME_NON_IDEMPOTENT
        if announced_idle_time is not None:
            share = (
                ANNOUNCED_IDLE_TIME_SHARE
                if idempotency is Idempotency.IDEMPOTENT
                else ANNOUNCED_IDLE_TIME_SHARE_NON_IDEMPOTENT
            )
            longest = min(MAX_IDLE_TIME, int(announced_idle_time * share))
        return min(longest, int(min(observed) * OBSERVED_IDLE_TIME_SHARE)) if observed else longest

    # Connections that carry several requests at once

    def is_silent(self, now: int, last_received: int) -> bool:
        """Whether the connection of an abandoned request counts as dead."""
        return now - last_received > SILENCE_TIMEOUT

    def choose_connection(
        self,
        now: int,
        host: str,
        idempotency: Idempotency,
        connections: Iterable[Connection],
        request_id: str,
        max_pending: int,
        announced_idle_time: int | None,
    ) -> Connection | None:
        """The connection for a request of that id; None: open a new one.

        A connection without open requests is preferred, as a malformed answer or a reset ends every request
        on a connection. One with open requests is returned as a second choice, for callers that cannot open a
        new one. A connection that has carried the id before is never returned: a late reply to the earlier
        attempt would be taken for the reply to this one.
        """
        free: Connection | None = None
        busy: Connection | None = None
        if not self.allows_reuse(now, host, idempotency):
            announced_idle_time = 0
        for connection in connections:
            if (
                not connection.reusable
                or request_id in connection.pending
                or request_id in connection.retired_ids
            ):
                continue
            if len(connection.retired_ids) >= MAX_RETIRED_IDS:
                continue
            if not connection.pending:
                is_latest = free is None or connection.last_used > free.last_used
                if is_latest and now - connection.last_used <= self.max_idle_time(
                    now, host, idempotency, announced_idle_time
                ):
                    free = connection
            elif len(connection.pending) < max_pending and (
                busy is None or len(connection.pending) < len(busy.pending)
            ):
                busy = connection
        return free or busy
