"""The connections to one host, and which idle connection a request may use."""

from gaproute.decisions.connections.pooling import ConnectionReusePolicy
from gaproute.http1 import ClientConnection, Exchange
from gaproute.interface import Idempotency
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address


class HostConnections:
    """One host, its connections, and the exchanges that wait for a new connection.

    `decisions.connections.pooling` says how long a connection may have been idle if it is to be used.
    """

    __slots__ = (
        "loop",
        "pooling",
        "name",
        "address",
        "address_text",
        "idle_connections",
        "open_connections",
        "connecting_exchanges",
        "active",
    )

    def __init__(self, loop: Loop, pooling: ConnectionReusePolicy, name: str, address_text: str) -> None:
        self.loop, self.pooling, self.name = loop, pooling, name
        self.active = True  # whether the endpoint list has the host as active
        self.idle_connections: list[ClientConnection] = []  # the longest idle first
        self.open_connections: set[ClientConnection] = set()  # idle or in use
        self.connecting_exchanges: dict[Exchange, None] = {}  # in order of start; nothing of them is sent
        self.set_address(address_text)

    def set_address(self, address_text: str) -> None:
        """Sets the host's address. Errors: ValueError if it is malformed."""
        self.address_text, self.address = address_text.encode(), parse_address(address_text)

    def take_idle(self, idempotency: Idempotency) -> ClientConnection | None:
        """Removes and returns the connection that became idle last; None where no connection may be used.

        For a non-idempotent request, connections on which an end or unexpected bytes have arrived are closed.
        """
        now = self.loop.now()
        while self.idle_connections:
            connection = self.idle_connections[-1]
            idle_time = now - connection.last_used
            if idle_time > self.pooling.max_idle_time(
                now, self.name, idempotency, connection.keep_alive_timeout
            ):
                return None
            self.idle_connections.pop()
            connection.on_idle_end = None
            # An idempotent request may be sent again, so the system call of the check is saved.
            if idempotency is Idempotency.IDEMPOTENT or connection.stream.is_quiet():
                return connection
            connection.abort()
            self.open_connections.discard(connection)
            self.pooling.record_close(now, self.name, idle_time)
        return None

    def release(self, connection: ClientConnection) -> None:
        """Takes back a connection whose exchange has ended: it is idle now, unless it has ended too."""
        if connection.open:
            connection.on_idle_end = self._on_idle_end
            self.idle_connections.append(connection)
        else:
            self.open_connections.discard(connection)

    def on_connected(self, exchange: Exchange, connection: ClientConnection) -> None:
        """Adds the new connection for which an exchange has waited."""
        self.connecting_exchanges.pop(exchange, None)
        self.open_connections.add(connection)

    def cancel(self, exchange: Exchange) -> None:
        """Ends an exchange and closes its connection; its callback is not called."""
        exchange.cancel()
        self.connecting_exchanges.pop(exchange, None)
        if exchange.connection is not None:
            self.open_connections.discard(exchange.connection)

    def abandon_connecting(self, reason: str) -> None:
        """Fails the exchanges that wait for a new connection; their requests never ran."""
        for exchange in list(self.connecting_exchanges):
            exchange.fail_if_unsent(reason)
        self.connecting_exchanges.clear()

    def close_idle(self) -> None:
        """Closes every idle connection."""
        for connection in self.idle_connections:
            self._close_connection(connection)
        self.idle_connections = []

    def close_expired(self) -> None:
        """Closes connections that have been idle too long for any request, before the host closes them."""
        now, kept = self.loop.now(), []
        for connection in self.idle_connections:
            max_idle = self.pooling.max_idle_time(
                now, self.name, Idempotency.IDEMPOTENT, connection.keep_alive_timeout
            )
            if now - connection.last_used <= max_idle:
                kept.append(connection)
            else:
                self._close_connection(connection)
        self.idle_connections = kept

    def close(self) -> None:
        """Closes every connection."""
        for connection in list(self.open_connections):
            connection.abort()
        self.open_connections.clear()
        self.idle_connections = []

    def _close_connection(self, connection: ClientConnection) -> None:
        connection.abort()
        self.open_connections.discard(connection)

    def _on_idle_end(self, connection: ClientConnection) -> None:
        """Removes an idle connection that the host has closed, and records its idle time."""
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)
        self.open_connections.discard(connection)
        now = self.loop.now()
        self.pooling.record_close(now, self.name, now - connection.last_used)
