"""All hosts by the endpoint list and the connections to them.

`decisions.connections.pooling` says which connection a request goes out on and how long one may be idle.
"""

from collections.abc import Callable, Iterable

from gaproute.decisions.connections.pooling import Pooling
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.jsonlines.connection import Connection
from gaproute.hosts.jsonlines.host import Host
from gaproute.hosts.jsonlines.pending_request import OnRequestEnded, PendingRequest
from gaproute.interface import Idempotency, State
from gaproute.interface.call import always
from gaproute.loop import Loop
from gaproute.settings import DeploymentSettings

MILLI, SECOND = 1_000_000, 1_000_000_000
DEFAULT_CONNECT_TIMEOUT = 250 * MILLI  # where the settings have none
SWEEP_INTERVAL = SECOND


class ConnectionPool:
    """The hosts by name, and what finds a connection for a request."""

    def __init__(
        self, loop: Loop, pooling: Pooling, deployment: DeploymentSettings, max_connections: int
    ) -> None:
        """`max_connections`: to all hosts together."""
        self.loop, self.pooling, self.max_connections = loop, pooling, max_connections
        self.on_removed: Callable[[str], object] = lambda name: None  # a host is gone for good
        self.connect_timeout = deployment.connect_time or DEFAULT_CONNECT_TIMEOUT
        # The settings say when hosts close an idle connection. Those that end sooner are reset by chance,
        # which says nothing of the next: learning from them opened one for nearly every attempt.
        self.idle_timeout = deployment.idle_time or None
        self.max_requests = deployment.requests_per_connection  # on one connection
        self.cancel_allowed = deployment.cancel_allowed
        self.hosts: dict[str, Host] = {}
        self.opened = self.reused = self.multiplexed = 0  # requests by the kind of connection they went on
        self.malformed = 0  # connections that ended for what the host sent
        self.unmatched = 0  # replies to nothing that was sent
        self.sweep()

    def update(self, endpoints: Iterable[Endpoint], *, complete: bool) -> None:
        """Take over the endpoint list, or with `complete` False changes of it.

        From now on nothing more goes to hosts that drain or are gone; what they have in flight runs on.
        """
        named = set()
        for endpoint in endpoints:
            named.add(endpoint.listed.host)
            self._update_host(endpoint)
        for host in self.hosts.values():
            if complete and host.name not in named:
                host.active = host.listed = False
            if not host.active:
                host.drain()

    def _update_host(self, endpoint: Endpoint) -> None:
        name = endpoint.listed.host
        host = self.hosts.get(name)
        if host is None:
            host = self.hosts[name] = Host(self, endpoint)
        elif not host.is_at(endpoint):
            host.drain()  # its connections lead to what was there before
            host.set_endpoint(endpoint)
        host.active = endpoint.listed.state is State.ACTIVE
        host.listed = endpoint.listed.state is not State.GONE

    def submit(
        self,
        host: Host,
        request_id: str,
        encode: Callable[[int], bytes],
        until: int,
        idempotency: Idempotency,
        on_ended: OnRequestEnded,
        wanted: Callable[[], bool] = always,
    ) -> PendingRequest | None:
        """Submit a request on the connection that pooling picks, else on a new one, else on one it shares.

        None where no further connection can be had.
        """
        now = self.loop.now()
        connection = self._pick(now, host, request_id, idempotency)
        if (connection is None or connection.pending) and self._make_room():
            connection = Connection(host)
            self.opened += 1
            host.connections.add(connection)
        elif connection is None:
            return None
        elif connection.pending:
            self.multiplexed += 1
        else:
            self.reused += 1
        request = PendingRequest(connection, request_id, encode, until, on_ended, now, wanted)
        connection.submit(request)
        return request

    def _pick(self, now: int, host: Host, request_id: str, idempotency: Idempotency) -> Connection | None:
        """The connection that pooling picks. An idle one on which an end or unrequested bytes have come is
        closed first, unless the request may be sent again."""
        while True:
            connection: Connection | None = self.pooling.choose(
                now,
                host.name,
                idempotency,
                host.connections,
                request_id,
                self.max_requests,
                self.idle_timeout,
            )
            if (
                connection is None
                or connection.pending
                or idempotency is Idempotency.IDEMPOTENT
                or connection.is_quiet()
            ):
                return connection
            connection.drop()

    def _make_room(self) -> bool:
        """Whether a further connection fits; the one of all hosts that is idle longest is closed for it."""
        if self.connection_count() < self.max_connections:
            return True
        idle = [
            connection
            for host in self.hosts.values()
            for connection in host.connections
            if not connection.pending
        ]
        if idle:
            min(idle, key=lambda connection: connection.last_used).drop()
        return bool(idle)

    def connection_count(self) -> int:
        """Connections to all hosts."""
        return sum(len(host.connections) for host in self.hosts.values())

    def sweep(self) -> None:
        """Close connections that have been idle too long, forget hosts that are gone, and go on doing so."""
        now = self.loop.now()
        for host in list(self.hosts.values()):
            for connection in list(host.connections):
                if not connection.pending and now - connection.last_used > self.pooling.max_idle(
                    now, host.name, Idempotency.IDEMPOTENT, self.idle_timeout
                ):
                    connection.drop()
            self._forget_if_gone(host)
        self.sweep_timer = self.loop.after(SWEEP_INTERVAL, self.sweep)

    def _forget_if_gone(self, host: Host) -> None:
        """Forget a host that was gone at the last sweep too.

        The ends of its last attempts are counted after their connections have ended; counts that come after
        its removal would never be freed.
        """
        gone_before, host.gone_at_last_sweep = host.gone_at_last_sweep, host.is_gone()
        if gone_before and host.gone_at_last_sweep:
            del self.hosts[host.name]
            self.pooling.forget_host(host.name)
            self.on_removed(host.name)

    def close(self) -> None:
        """Close every connection, call nothing more, and sweep no more."""
        self.sweep_timer.cancel()
        for host in list(self.hosts.values()):
            for connection in list(host.connections):
                connection.pending = {}
                connection.drop()
