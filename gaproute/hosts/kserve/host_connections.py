"""The connections to one host: which of them are idle, and which idle one may be used."""

from gaproute.decisions.connections.pooling import Pooling
from gaproute.http1 import ClientConnection, Exchange
from gaproute.interface import Idempotency
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address


class HostConnections:
    """One host, its connections, and the exchanges that wait for a new one.

    `decisions.connections.pooling` says how long a connection may have been idle to be used.
    """

    __slots__ = (
        "loop",
        "pooling",
        "name",
        "address",
        "address_text",
        "idle",
        "open",
        "connecting",
        "active",
    )

    def __init__(self, loop: Loop, pooling: Pooling, name: str, address_text: str) -> None:
        self.loop, self.pooling, self.name = loop, pooling, name
        self.active = True  # by the endpoint list
        self.idle: list[ClientConnection] = []  # the one that has been idle longest first
        self.open: set[ClientConnection] = set()  # idle or in use
        self.connecting: dict[Exchange, None] = {}  # in order; no byte of these is sent
        self.set_address(address_text)

    def set_address(self, address_text: str) -> None:
        """The host answers at that address from now on. Errors: ValueError."""
        self.address_text, self.address = address_text.encode(), parse_address(address_text)

    def take_idle(self, idempotency: Idempotency) -> ClientConnection | None:
        """The connection that has been idle least, if it may be used and shows no sign of an end."""
        now = self.loop.now()
        while self.idle:
            link = self.idle[-1]
            idle_time = now - link.last_used
            if idle_time > self.pooling.max_idle(now, self.name, idempotency, link.keep_alive_timeout):
                return None
            self.idle.pop()
            link.on_idle_end = None
            # An idempotent request may be sent again: for it the system call is spared.
            if idempotency is Idempotency.IDEMPOTENT or link.stream.is_quiet():
                return link
            link.abort()
            self.open.discard(link)
            self.pooling.record_close(now, self.name, idle_time)
        return None

    def release(self, link: ClientConnection) -> None:
        """An exchange on the connection has ended: it is idle, or at its end."""
        if link.open:
            link.on_idle_end = self._idle_ended
            self.idle.append(link)
        else:
            self.open.discard(link)

    def connected(self, exchange: Exchange, link: ClientConnection) -> None:
        """The connection that an exchange waits for is there."""
        self.connecting.pop(exchange, None)
        self.open.add(link)

    def cancel(self, exchange: Exchange) -> None:
        """End an exchange and the connection that it is on; its callback is not called."""
        exchange.cancel()
        self.connecting.pop(exchange, None)
        if exchange.connection is not None:
            self.open.discard(exchange.connection)

    def abandon_connecting(self, reason: str) -> None:
        """End what waits for a new connection as never run."""
        for exchange in list(self.connecting):
            exchange.fail_if_unsent(reason)
        self.connecting.clear()

    def close_idle(self) -> None:
        """Close every idle connection."""
        for link in self.idle:
            self._close(link)
        self.idle = []

    def close_expired(self) -> None:
        """Close connections that have been idle too long for any request, before the host does."""
        now, remaining = self.loop.now(), []
        for link in self.idle:
            longest = self.pooling.max_idle(now, self.name, Idempotency.IDEMPOTENT, link.keep_alive_timeout)
            if now - link.last_used <= longest:
                remaining.append(link)
            else:
                self._close(link)
        self.idle = remaining

    def close(self) -> None:
        """Close every connection."""
        for link in list(self.open):
            link.abort()
        self.open.clear()
        self.idle = []

    def _close(self, link: ClientConnection) -> None:
        link.abort()
        self.open.discard(link)

    def _idle_ended(self, link: ClientConnection) -> None:
        """The host has closed an idle connection."""
        if link in self.idle:
            self.idle.remove(link)
        self.open.discard(link)
        now = self.loop.now()
        self.pooling.record_close(now, self.name, now - link.last_used)
