"""The base class of servers, which accepts, parks, resumes and drains the connections of one address."""

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
    """A connection that is in use, not parked."""

    stream: Stream
    address_id: int  # the id of the client's address, see `AddressCounts`
    request_count: int  # requests received on the connection so far

    def receive(self, data: bytes) -> None:
        """Handles received bytes."""

    def close_at_once(self) -> None:
        """Closes the connection without waiting for outstanding answers."""


Connection = TypeVar("Connection", bound=ActiveConnection)


class Acceptor(Generic[Connection]):
    """A listening address and the connections that are accepted on it, parked or in use.

    A subclass implements `_first_request_due`, `_make_connection` and `stop`. It overrides `_may_accept` if
    it has a limit of its own, and `_reject` if it answers a connection that it rejects. `counted`: whether
    the connections count as those of clients; those of operators and peers do not. `inherited`: a listening
    socket from which other processes accept as well. Errors: OSError.
    """

    def __init__(
        self, loop: Loop, address: Address, *, counted: bool, inherited: socket.socket | None = None
    ) -> None:
        self.loop, self.counted = loop, counted
        self.active_connections: dict[Connection, None] = {}  # connections in use, as an ordered set
        self.parked_count = 0
        self.rejected_connections = 0  # for lack of capacity
        self.protocol_errors = 0  # of all connections
        self.stopping = False
        self.on_emptied: Callable[[], None] | None = None  # set at a stop; called when no connection is left
        self.drain_timer: Timer | None = None  # set while a stop has not emptied the accept queue yet
        self.family = address[0]
        self.connections = AcceptedConnections.for_loop(loop)
        self.shares_accept_queue = inherited is not None
        self.listener = Listener(loop, address, None, on_ready=self._enqueue_listener, inherited=inherited)
        self.address = self.listener.address  # as text, with the port that the kernel picked
        self.owner_id = self.connections.add_owner(self)  # after the listener, whose creation may fail

    @property
    def connection_count(self) -> int:
        """Connections in use and parked, plus one while a stop has not emptied the kernel's accept queue."""
        return len(self.active_connections) + self.parked_count + (self.drain_timer is not None)

    # Methods that subclasses implement or override

    def _first_request_due(self) -> int:
        """The time (ns) at which a new connection that has sent no bytes is closed."""
        raise NotImplementedError

    def _make_connection(self, sock: socket.socket, address_id: int, request_count: int) -> Connection:
        """Creates the connection of a socket on which `request_count` requests were received so far."""
        raise NotImplementedError

    def _reject(self, sock: socket.socket) -> None:
        """Rejects a connection for lack of capacity."""
        sock.close()

    def _may_accept(self) -> bool:
        """Whether the limits of the subclass allow one more connection."""
        return True

    def stop(self) -> None:
        """Stops accepting, and closes each connection once it has no outstanding answer."""
        raise NotImplementedError

    # Accepting

    def _enqueue_listener(self) -> None:
        self.connections.enqueue_listener(self.listener, self)

    def accept_connection(self, sock: socket.socket, address: SocketAddress) -> None:
        """Parks an accepted connection, or rejects it for lack of capacity."""
        address_id = None
        if self._may_accept():
            source = address[0] if self.family != socket.AF_UNIX else ""
            address_id = self.connections.admit(source, counted=self.counted)
        if address_id is None:
            self.rejected_connections += 1
            self._reject(sock)
            return
        self.parked_count += 1
        self.connections.park(
            sock.detach(),
            self.owner_id,
            idle_until=self._first_request_due(),
            address_id=address_id,
            request_count=0,
            registered=False,
        )

    def resume_connection(self, fd: int, data: bytes, address_id: int, request_count: int) -> None:
        """Makes a parked connection that has sent `data` active again."""
        self.parked_count -= 1
        sock = socket.socket(self.family, socket.SOCK_STREAM, 0, fd)
        connection = self._make_connection(sock, address_id, request_count)
        self.active_connections[connection] = None
        connection.receive(data)

    # Parking and closing

    def park(self, connection: Connection, due: int) -> None:
        """Parks a quiet connection, and closes it at the time `due` (ns) if it has sent no bytes by then."""
        del self.active_connections[connection]
        self.parked_count += 1
        self.connections.park(
            connection.stream.detach(),
            self.owner_id,
            idle_until=due,
            address_id=connection.address_id,
            request_count=connection.request_count,
            registered=True,
        )

    def connection_closed(self) -> None:
        """Counts a parked connection that was closed."""
        self.parked_count -= 1
        self.check_emptied()

    def unregister(self, connection: Connection) -> None:
        """Removes an active connection that was closed."""
        del self.active_connections[connection]
        self.connections.release(connection.address_id, counted=self.counted)
        self.check_emptied()

    def check_emptied(self) -> None:
        """Calls `on_emptied` if no connection is left."""
        if self.on_emptied is not None and not self.connection_count:
            self.on_emptied()

    # Shutdown

    def _drain_accept_queue(self) -> bool:
        """Empties the kernel's accept queue, and closes the listener; returns whether it is closed.

        A close would reset the connections in the queue, unless other processes accept from it. If accepting
        fails, a timer retries.
        """
        self.drain_timer = None
        if self.shares_accept_queue or self.listener.accept_all(self.accept_connection):
            self.listener.close()
            return True
        self.drain_timer = self.loop.call_later(ACCEPT_RETRY_PAUSE, self._drain_accept_queue)
        return False

    def _cancel_drain(self) -> None:
        if self.drain_timer is not None:
            self.drain_timer.cancel()
            self.drain_timer = None

    def close(self) -> None:
        """Stops, and closes all connections without waiting for outstanding answers."""
        self.stop()
        self._cancel_drain()
        self.listener.close()
        self.connections.close_owned(self.owner_id, include_queued=True)
        for connection in list(self.active_connections):
            connection.close_at_once()
