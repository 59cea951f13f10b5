"""The listed hosts and the connections to them.

`decisions.connections.pooling` decides which connection carries a request, and how long one may be idle.
"""

from collections.abc import Callable, Iterable

from gaproute.decisions.connections.pooling import ConnectionReusePolicy
from gaproute.hosts.endpoints import Endpoint
from gaproute.hosts.jsonlines.connection import Connection
from gaproute.hosts.jsonlines.host import Host
from gaproute.hosts.jsonlines.line_memory import LineMemory
from gaproute.hosts.jsonlines.pending_request import OnRequestEnded, PendingRequest
from gaproute.interface import Idempotency, ListedHostState
from gaproute.interface.call import assume_client_present
from gaproute.loop import Loop
from gaproute.settings import DeploymentSettings
from gaproute.units import MILLI, SECOND

DEFAULT_CONNECT_TIMEOUT = 250 * MILLI  # if the settings have no connect timeout
SWEEP_INTERVAL = SECOND
DEFAULT_MAX_RETIRED_IDS = 1 << 20  # of all connections


class ConnectionPool:
    """The hosts by name; finds or opens a connection for each request."""

    def __init__(
        self, loop: Loop, pooling: ConnectionReusePolicy, deployment: DeploymentSettings, max_connections: int
    ) -> None:
        """`max_connections`: the limit for all hosts together."""
        self.loop, self.pooling, self.max_connections = loop, pooling, max_connections
        self.on_host_removed: Callable[[str], object] = lambda name: None  # called when a host is forgotten
        self.connect_timeout = deployment.connect_time or DEFAULT_CONNECT_TIMEOUT
        # The settings say when hosts close an idle connection. A connection that ends sooner was reset by
        # accident, which predicts nothing: a timeout learnt from such ends would open a new connection for
        # nearly every attempt.
        self.idle_timeout = deployment.idle_time or None
        self.max_requests_per_connection = deployment.requests_per_connection
        self.cancel_allowed = deployment.cancel_allowed
        self.hosts: dict[str, Host] = {}
        # Requests sent on a new connection, on an idle one, and on one with other requests in flight.
        self.connections_opened = self.connections_reused = self.requests_multiplexed = 0
        self.malformed_replies = 0  # each of them has closed its connection
        self.unmatched_replies = 0  # replies that belong to no request
        self.line_memory: LineMemory[Connection] = LineMemory()
        self.retired_id_count = 0  # ids of ended requests that connections remember
        self.max_retired_ids = DEFAULT_MAX_RETIRED_IDS
        self.sweep()

    def update(self, endpoints: Iterable[Endpoint], *, complete: bool) -> None:
        """Takes over the complete endpoint list, or changes of it if `complete` is false.

        Hosts that drain or are gone get no further request; their requests in flight continue.
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
        for host in [host for host in self.hosts.values() if host.is_gone() and not host.used]:
            self._forget(host)

    def _update_host(self, endpoint: Endpoint) -> None:
        name = endpoint.listed.host
        host = self.hosts.get(name)
        if host is None:
            host = self.hosts[name] = Host(self, endpoint)
        elif not host.matches_endpoint(endpoint):
            host.drain()  # its connections lead to the old address or process
            host.set_endpoint(endpoint)
        host.active = endpoint.listed.state is ListedHostState.ACTIVE
        host.listed = endpoint.listed.state is not ListedHostState.GONE

    def submit(
        self,
        host: Host,
        request_id: str,
        encode: Callable[[int], bytes],
        start_before: int,
        idempotency: Idempotency,
        on_ended: OnRequestEnded,
        still_wanted: Callable[[], bool] = assume_client_present,
    ) -> PendingRequest | None:
        """Submits a request on an idle connection picked by pooling, else on a new one, else on a shared one.

        `encode(now)` returns the request's bytes; `start_before` and `still_wanted()` say whether it may
        still start (see `PendingRequest`). Returns None if no connection can be used or opened.
        """
        now = self.loop.now()
        host.used = True
        connection = self._pick_connection(now, host, request_id, idempotency)
        if (connection is None or connection.pending) and self._make_room_for_connection():
            connection = Connection(host)
            self.connections_opened += 1
            host.connections.add(connection)
        elif connection is None:
            return None
        elif connection.pending:
            self.requests_multiplexed += 1
        else:
            self.connections_reused += 1
        request = PendingRequest(connection, request_id, encode, start_before, on_ended, now, still_wanted)
        connection.submit(request)
        return request

    def _pick_connection(
        self, now: int, host: Host, request_id: str, idempotency: Idempotency
    ) -> Connection | None:
        """The connection that pooling picks, or None.

        For a request that must not be sent again, an idle connection is checked first. If its end or
        unexpected bytes have arrived, it is closed and the next connection is picked.
        """
        while True:
            connection: Connection | None = self.pooling.choose_connection(
                now,
                host.name,
                idempotency,
                host.connections,
                request_id,
                self.max_requests_per_connection,
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

    def _make_room_for_connection(self) -> bool:
        """Whether a new connection may be opened; at the limit, closes the one that is idle longest."""
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
        """The number of connections to all hosts together."""
        return sum(len(host.connections) for host in self.hosts.values())

    def sweep(self) -> None:
        """Closes connections idle for too long and forgets hosts that are gone; runs every second."""
        now = self.loop.now()
        for host in list(self.hosts.values()):
            for connection in list(host.connections):
                if not connection.pending and now - connection.last_used > self.pooling.max_idle_time(
                    now, host.name, Idempotency.IDEMPOTENT, self.idle_timeout
                ):
                    connection.drop()
            self._forget_if_gone(host)
        self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self.sweep)

    def _forget_if_gone(self, host: Host) -> None:
        """Forgets a host that was already gone at the last sweep.

        The ends of its last attempts are counted after its connections have ended. If the host were
        forgotten at once, those counts would create a new entry that is never freed.
        """
        gone_before, host.gone_at_last_sweep = host.gone_at_last_sweep, host.is_gone()
        if gone_before and host.gone_at_last_sweep:
            self._forget(host)

    def _forget(self, host: Host) -> None:
        del self.hosts[host.name]
        self.pooling.forget_host(host.name)
        self.on_host_removed(host.name)

    def close(self) -> None:
        """Closes every connection and ends the sweeps; no callback is called any more."""
        self.sweep_timer.cancel()
        for host in list(self.hosts.values()):
            for connection in list(host.connections):
                connection.pending = {}
                connection.drop()
