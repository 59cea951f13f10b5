"""All listed hosts and the connections to them.

`decisions.connections.pooling` decides which connection carries a request, and how long one may be idle.
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
from gaproute.units import MILLI, SECOND

DEFAULT_CONNECT_TIMEOUT = 250 * MILLI  # where the settings have none
SWEEP_INTERVAL = SECOND


class ConnectionPool:
    """The hosts by name; finds or opens the connection for each request."""

    def __init__(
        self, loop: Loop, pooling: Pooling, deployment: DeploymentSettings, max_connections: int
    ) -> None:
        """`max_connections`: to all hosts together."""
        self.loop, self.pooling, self.max_connections = loop, pooling, max_connections
        self.on_removed: Callable[[str], object] = lambda name: None  # called when a host is forgotten
        self.connect_timeout = deployment.connect_time or DEFAULT_CONNECT_TIMEOUT
        # The settings say when hosts close an idle connection. One that ends sooner was reset by accident,
        # which predicts nothing: to learn from such ends would open a connection for nearly every attempt.
        self.idle_timeout = deployment.idle_time or None
        self.max_requests = deployment.requests_per_connection  # on one connection
        self.cancel_allowed = deployment.cancel_allowed
        self.hosts: dict[str, Host] = {}
        # Requests on a new connection, on an idle one, and on one that they share with others.
        self.opened = self.reused = self.multiplexed = 0
        self.malformed = 0  # connections that were closed because a line could not be decoded
        self.unmatched = 0  # replies that belong to no request
        self.sweep()

    def update(self, endpoints: Iterable[Endpoint], *, complete: bool) -> None:
        """Take over the host list (`complete`), or changes of it.

        No further request goes to hosts that drain or are gone; the requests that they have continue.
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
            host.drain()  # its connections lead to the former address or process
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
        """Submit a request on an idle connection that pooling picks, else on a new one, else on a shared one.

        `encode(now)` gives the request's bytes, `until` and `wanted()` say whether it may still begin (see
        `PendingRequest`). Returns None where there is no connection and no further one can be opened.
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
        """The connection that pooling picks, or None.

        For a request that must not be sent again, an idle connection is checked first: one on which an end or
        unexpected bytes have come is closed, and the next is picked.
        """
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
        """Whether a further connection may be opened; at the limit the one idle longest is closed for it."""
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
        """How many connections there are to all hosts together."""
        return sum(len(host.connections) for host in self.hosts.values())

    def sweep(self) -> None:
        """Close connections that have been idle too long and forget hosts that are gone, every second."""
        now = self.loop.now()
        for host in list(self.hosts.values()):
            for connection in list(host.connections):
                if not connection.pending and now - connection.last_used > self.pooling.max_idle(
                    now, host.name, Idempotency.IDEMPOTENT, self.idle_timeout
                ):
                    connection.drop()
            self._forget_if_gone(host)
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self.sweep)

    def _forget_if_gone(self, host: Host) -> None:
        """Forget a host that was gone at the last sweep already.

        The ends of its last attempts are counted after their connections have ended. If the host were
        forgotten at once, those counts would make a new entry that is never freed.
        """
        gone_before, host.gone_at_last_sweep = host.gone_at_last_sweep, host.is_gone()
        if gone_before and host.gone_at_last_sweep:
            del self.hosts[host.name]
            self.pooling.forget_host(host.name)
            self.on_removed(host.name)

    def close(self) -> None:
        """Close every connection and end the sweeps; no callback is called any more."""
        self.sweep_timer.cancel()
        for host in list(self.hosts.values()):
            for connection in list(host.connections):
                connection.pending = {}
                connection.drop()
