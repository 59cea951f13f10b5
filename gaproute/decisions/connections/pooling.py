"""Decides which open connection to a host a request may use; performs no I/O. Callers pass in times in ns.

A host may close an idle connection at the very moment at which the gateway sends a request on it. The kernel
has already accepted the bytes of the request, so nothing proves that the request did not run: an idempotent
request is retried, and a non-idempotent one fails. A connection with a short idle time is safe, as hosts
close only connections that were idle for long. A request that must not run twice therefore uses a connection
whose idle time is much shorter than the idle time after which the host closes connections, as observed or
announced. If there is none, the request uses a new connection, which costs a handshake. `docs/connections.md`
has the alternatives and the measurement.
"""

from collections import deque
from collections.abc import Collection, Iterable
from typing import NamedTuple, Protocol, TypeVar

from gaproute.interface import Idempotency
from gaproute.units import MILLI, SECOND

# Longest idle time of a connection that is used: most servers close idle connections after 5 to 75 s.
MAX_IDLE_TIME = 20 * SECOND
# Longest idle time of a connection that a non-idempotent request uses: shorter than the idle time after which
# any common server closes connections (1 s and more), and much longer than the gaps between requests under
# load.
MAX_IDLE_TIME_NON_IDEMPOTENT = 500 * MILLI
# Usable share of the shortest idle time after which the host was observed to close a connection.
OBSERVED_IDLE_TIME_SHARE = 0.5
# Usable share of the idle time that the host announces, for an idempotent request. A request that is sent
# while the host closes the connection is retried, which costs less than the handshakes that the reuse saves.
ANNOUNCED_IDLE_TIME_SHARE = 0.9
# Usable share of the announced idle time for a non-idempotent request: the request is sent long before the
# host closes the connection, even if clocks differ or the host is slow.
ANNOUNCED_IDLE_TIME_SHARE_NON_IDEMPOTENT = 0.25
MAX_OBSERVATIONS_PER_HOST = 8  # limit of the stored closes, and of the stored stale ends, of each host
# Time after which an observed close is ignored: the host may have been reconfigured.
OBSERVED_CLOSE_LIFETIME = 300 * SECOND

# Time without received bytes after which a connection counts as dead when a request on it is abandoned.
# Answers take some tenths of a second, and loads take longer; a wrong decision costs a handshake.
SILENCE_TIMEOUT = SECOND
# Longest time between the sending of a request and the end of its connection, without a reply, after which
# the connection counts as stale: the host had closed it before the request. (A process that crashes ends its
# connections at any time.)
MAX_STALE_END_DELAY = 50 * MILLI
# Time after which a stale end is ignored, so that idle connections are tried again.
STALE_END_LIFETIME = 10 * SECOND
# Number of stale ends among the last `MAX_OBSERVATIONS_PER_HOST` of a host above which idempotent requests
# use new connections, too.
MAX_STALE_ENDS = 1
# Limit of the retired ids of a connection: the ids of ended requests whose reply may still arrive. At the
# limit the connection takes no further requests, as a long-lived one would store the ids of all its requests.
# One handshake for 64 requests is cheap.
MAX_RETIRED_IDS = 64


class ObservedClose(NamedTuple):
    """A close of an idle connection by the host."""

    closed_at: int  # ns
    idle_time: int  # ns for which the connection had been idle


class PooledConnection(Protocol):
    """The view that the decisions have of a connection that carries several requests at once."""

    @property
    def reusable(self) -> bool:
        """Whether the connection takes further requests."""

    @property
    def pending(self) -> Collection[str]:
        """The ids of the requests in flight on the connection."""

    @property
    def retired_ids(self) -> Collection[str]:
        """The ids of ended requests whose reply may still arrive."""

    @property
    def last_used(self) -> int:
        """The time (ns) at which the connection was last in use."""


Connection = TypeVar("Connection", bound=PooledConnection)


class ConnectionReusePolicy:
    """Observes how hosts close connections, and decides which connection a request may use."""

    def __init__(self) -> None:
        self._closes: dict[str, deque[ObservedClose]] = {}  # by host
        self._stale_ends: dict[str, deque[int]] = {}  # by host: times of stale ends

    def record_close(self, now: int, host: str, idle_time: int) -> None:
        """Records that the host closed a connection that had been idle for `idle_time` ns."""
        closes = self._closes.setdefault(host, deque(maxlen=MAX_OBSERVATIONS_PER_HOST))
        closes.append(ObservedClose(now, idle_time))

    def forget_host(self, host: str) -> None:
        """Drops the observations of a host that has left the host list."""
        self._closes.pop(host, None)
        self._stale_ends.pop(host, None)

    def record_stale_end(self, now: int, host: str, idle_time: int, time_since_sending: int) -> None:
        """Records that a connection ended without a reply to the request that was sent on it.

        `idle_time`: the time (ns) for which the connection had been idle before the request; negative if the
        connection was in use. `time_since_sending`: the time (ns) from the sending of the request to the end.
        """
        if idle_time >= 0 and time_since_sending < MAX_STALE_END_DELAY:
            self._stale_ends.setdefault(host, deque(maxlen=MAX_OBSERVATIONS_PER_HOST)).append(now)

    def allows_reuse(self, now: int, host: str, idempotency: Idempotency) -> bool:
        """Whether a request may use an idle connection to the host at all.

        Some hosts, and some proxies before hosts, end an idle connection at its next use: an idempotent
        request then loses a round trip, and a non-idempotent one fails. If only a few connections ended by
        accident, this rule costs a handshake for each request for a while.
        """
        if idempotency is not Idempotency.IDEMPOTENT:
            # A stale end at any host counts, as a proxy before the hosts ends connections to all of them.
            return not any(ends and now - ends[-1] < STALE_END_LIFETIME for ends in self._stale_ends.values())
        return sum([now - at < STALE_END_LIFETIME for at in self._stale_ends.get(host, ())]) <= MAX_STALE_ENDS

    def max_idle_time(
        self, now: int, host: str, idempotency: Idempotency, announced_idle_time: int | None
    ) -> int:
        """Returns the longest idle time (ns) of a connection that the request may use.

        `announced_idle_time`: the idle time after which the host announces to close connections; None if it
        announces none.
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

    # Connections that carry several requests at once (`PooledConnection`)

    def is_silent(self, now: int, last_received: int) -> bool:
        """Whether the connection of an abandoned request counts as dead; `last_received`: ns."""
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
        """Returns the connection for the request `request_id`; None means that a new one must be opened.

        A connection without requests in flight is preferred, as a malformed answer or a reset ends every
        request on a connection. A connection with fewer than `max_pending` requests in flight is the second
        choice, for callers that cannot open a new one. A connection that has carried the id before is never
        returned: a late reply to the earlier attempt would be mistaken for the reply to this attempt.
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
