"""One listening address of any protocol: its connections are accepted, parked, resumed and drained."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

from gaproute.connections.accepted import AcceptedConnections
from gaproute.loop import Listener, Loop, Stream
from gaproute.loop.addresses import Address, SocketAddress
from gaproute.loop.listening import ACCEPT_RETRY_PAUSE
from gaproute.loop.timers import Timer


class ActiveConnection(Protocol):
    """A connection at work: one that has sent something and is not parked."""

    stream: Stream
    address_id: int  # of its client's address
    request_count: int  # requests that it has brought so far

    def receive(self, data: bytes) -> None:
        """Takes received bytes."""

    def close_at_once(self) -> None:
        """Ends the connection without waiting for answers still owed."""


Connection = TypeVar("Connection", bound=ActiveConnection)


class Acceptor(Generic[Connection]):
    """A listening address and the connections accepted on it; the owner of those that are parked.

    A subclass gives `_first_request_due`, `_make_connection` and `stop`, and overrides `_may_accept` and
    `_reject` where it has a limit or an answer of its own. `counted`: whether its connections take of the
    clients' share; operators and peers do not. `inherited`: a listening socket that other processes accept
    from as well. Errors: OSError.
    """

    def __init__(
        self, loop: Loop, address: Address, *, counted: bool, inherited: socket.socket | None = None
    ) -> None:
        self.loop, self.counted = loop, counted
        self.active_connections: dict[Connection, None] = {}  # those at work, as an ordered set
        self.parked = 0
        self.rejected_connections = 0  # that found no capacity
        self.protocol_errors = 0  # of all connections
        self.stopping = False
        self.on_emptied: Callable[[], None] | None = None  # once no connection is left; set after a stop
        self.drain_timer: Timer | None = None  # where the kernel's queue could not be emptied at a stop
        self.family = address[0]
        self.connections = AcceptedConnections.of(loop)
        self.shares_queue = inherited is not None
        self.listener = Listener(loop, address, None, on_ready=self._ready, inherited=inherited)
        self.address = self.listener.address  # as text, with the port that the kernel picked
        self.owner_id = self.connections.add_owner(self)  # after the listener, which may fail

    @property
    def connection_count(self) -> int:
        """Connections, at work and parked; one more while some may wait to be taken in at a stop."""
        return len(self.active_connections) + self.parked + (self.drain_timer is not None)

    # What a protocol gives

    def _first_request_due(self) -> int:
        """When a new connection that has sent nothing is closed, by the loop's clock."""
        raise NotImplementedError

    def _make_connection(self, sock: socket.socket, address_id: int, request_count: int) -> Connection:
        """The connection at work on a socket; `request_count`: requests that it has brought so far."""
        raise NotImplementedError

    def _reject(self, sock: socket.socket) -> None:
        """Closes a connection that finds no capacity."""
        sock.close()

    def _may_accept(self) -> bool:
        """Whether the acceptor's own limits permit one more connection."""
        return True

    def stop(self) -> None:
        """Accepts no more, and closes connections once nothing is owed on them."""
        raise NotImplementedError

    # Accepting

    def _ready(self) -> None:
        self.connections.enqueue_listener(self.listener, self)

    def accept_connection(self, sock: socket.socket, address: SocketAddress) -> None:
        """A connection was accepted: it is parked, or rejected where there is no capacity for it."""
        address_id = None
        if self._may_accept():
            source = address[0] if self.family != socket.AF_UNIX else ""
            address_id = self.connections.admit(source, self.counted)
        if address_id is None:
            self.rejected_connections += 1
            self._reject(sock)
            return
        self.parked += 1
        self.connections.park(
            sock.detach(),
            self.owner_id,
            idle_until=self._first_request_due(),
            address_id=address_id,
            request_count=0,
            registered=False,
        )

    def resume_connection(self, fd: int, data: bytes, address_id: int, request_count: int) -> None:
        """A parked connection has sent something."""
        self.parked -= 1
        sock = socket.socket(self.family, socket.SOCK_STREAM, 0, fd)
        connection = self._make_connection(sock, address_id, request_count)
        self.active_connections[connection] = None
        connection.receive(data)

    # Connections that leave

    def park(self, connection: Connection, due: int) -> None:
        """Parks a quiet connection until it sends something, or is closed at `due`."""
        del self.active_connections[connection]
        self.parked += 1
        self.connections.park(
            connection.stream.release(),
            self.owner_id,
            idle_until=due,
            address_id=connection.address_id,
            request_count=connection.request_count,
            registered=True,
        )

    def connection_closed(self) -> None:
        """A parked connection was closed."""
        self.parked -= 1
        self.check_emptied()

    def unregister(self, connection: Connection) -> None:
        """A connection at work was closed."""
        del self.active_connections[connection]
        self.connections.release(connection.address_id, self.counted)
        self.check_emptied()

    def check_emptied(self) -> None:
        """Calls `on_emptied` where no connection is left."""
        if self.on_emptied is not None and not self.connection_count:
            self.on_emptied()

    # The end

    def _drain_accept_queue(self) -> bool:
        """Takes in what waits in the kernel's queue, which would be reset, and gives the address up; tried
        again while accepting fails. Returns whether it is done."""
        self.drain_timer = None
        if self.shares_queue or self.listener.accept_all(self.accept_connection):
            self.listener.close()
            return True
        self.drain_timer = self.loop.after(ACCEPT_RETRY_PAUSE, self._drain_accept_queue)
        return False

    def _cancel_drain(self) -> None:
        if self.drain_timer is not None:
            self.drain_timer.cancel()
            self.drain_timer = None

    def close(self) -> None:
        """Stops, and ends every connection at once, without waiting for answers still owed."""
        self.stop()
        self._cancel_drain()
        self.listener.close()
        self.connections.close_owned(self.owner_id, include_queued=True)
        for connection in list(self.active_connections):
            connection.close_at_once()
