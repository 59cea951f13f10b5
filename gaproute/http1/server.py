"""An HTTP/1.1 server: accepts, parks and resumes connections, and passes requests to a handler."""

from __future__ import annotations

import contextlib
import socket
from collections import deque
from collections.abc import Callable, Iterable
from typing import NamedTuple

from gaproute.connections.acceptor import Acceptor
from gaproute.http1.connection import ServerConnection
from gaproute.http1.deadlines import SWEEP_INTERVAL, DeadlineConnection
from gaproute.http1.errors import HttpError
from gaproute.http1.limits import LIMITS, Limits
from gaproute.http1.message import Request
from gaproute.http1.rendering import ErrorAnswer, Header, render
from gaproute.loop import Loop
from gaproute.loop.addresses import Address
from gaproute.loop.streams import READ_SIZE
from gaproute.loop.timers import Timer


class QuietConnection(NamedTuple):
    """A connection to park at `due` (ns) if that is its deadline then."""

    due: int
    connection: DeadlineConnection


def render_plain_error(error: HttpError) -> ErrorAnswer:
    """The answer to an error: its text as one line."""
    return ErrorAnswer((), error.text.encode() + b"\n")


class Server(Acceptor[ServerConnection]):
    """An HTTP/1.1 server on one address.

    `handle(request)` is called with each complete request, which it answers once by `answer`.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        handle: Callable[[Request], object],
        limits: Limits = LIMITS,
        *,
        render_error: Callable[[HttpError], ErrorAnswer] = render_plain_error,
        counted: bool = False,
        inherited: socket.socket | None = None,
    ) -> None:
        """Listens at the address. Errors: OSError.

        `render_error(error)`: makes the answer to a client that breaks the protocol or a limit; `counted`,
        `inherited`: as of `Acceptor`.
        """
        super().__init__(loop, address, counted=counted, inherited=inherited)
        self.handle, self.limits, self.render_error = handle, limits, render_error
        self.buffered_bytes = 0  # of the incomplete requests of all connections
        self.quiet_connections: deque[QuietConnection] = deque()
        self.sweep_timer: Timer | None = None
        # After a stop with grace: the time by which a request must have arrived completely, ns
        self.request_arrival_deadline: int | None = None

    # Accepting

    def _may_accept(self) -> bool:
        return self.connection_count < self.limits.max_connections

    def _first_request_due(self) -> int:
        return self.idle_deadline(self.loop.now())

    def _make_connection(self, sock: socket.socket, address_id: int, request_count: int) -> ServerConnection:
        return ServerConnection(self, sock, address_id, request_count)

    def _reject(self, sock: socket.socket) -> None:
        """Rejects a connection for lack of capacity by an answer, and closes it.

        Received bytes are read before: closing a socket with unread bytes resets the connection, and the
        client may lose the answer.
        """
        answer = self.render_error(HttpError(503, "there is no room for one more connection"))
        with contextlib.suppress(OSError):  # nothing has been received, or the client has left
            sock.send(render(503, answer.headers, answer.body, close=True))
            sock.shutdown(socket.SHUT_WR)
            sock.recv(READ_SIZE)
        sock.close()

    def idle_deadline(self, now: int) -> int:
        """When a connection that is idle from `now` on is closed, ns."""
        return self.connections.admission.idle_deadline(
            now, self.limits.idle_timeout, self.limits.idle_jitter
        )

    def announces_close(self) -> bool:
        """Whether answers say that the connection closes, as there are nearly too many connections."""
        return self.counted and self.connections.admission.announces_close(self.connections.client_count)

    # Limits

    def enqueue_quiet(self, connection: DeadlineConnection, due: int) -> None:
        """Queues a quiet connection, to be parked at `due` (ns)."""
        self.quiet_connections.append(QuietConnection(due, connection))
        if self.sweep_timer is None:
            self.sweep_timer = self.loop.call_later(SWEEP_INTERVAL, self._sweep)

    def _sweep(self) -> None:
        """Parks the queued connections that are due and have been quiet since they were queued."""
        now = self.loop.now()
        while self.quiet_connections and self.quiet_connections[0].due <= now:
            due, connection = self.quiet_connections.popleft()
            if connection.in_quiet_queue and connection.deadline == due:
                connection.park()
        self.sweep_timer = (
            self.loop.call_later(SWEEP_INTERVAL, self._sweep) if self.quiet_connections else None
        )

    def enforce_memory_limit(self) -> None:
        """Rejects the oldest incomplete request; called when all of them use too much memory.

        This guards against thousands of clients that send slowly. It may reject the request of a legitimate
        slow client.
        """
        slowest, arrived_at = None, 0
        for connection in self.active_connections:
            message = connection.reader.message
            if not connection.buffered_bytes or message is None:
                continue
            if slowest is None or message.arrived_at < arrived_at:
                slowest, arrived_at = connection, message.arrived_at
        if slowest is not None:
            slowest.reject_incomplete()

    # Answers

    def answer(self, request: Request, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Answers a request; the answer is dropped if the client has left. Each request has one answer."""
        request.connection.answer(request, status, headers, body)

    # Stopping

    def stop(self, grace: int | None = None) -> None:
        """Stops accepting connections; open ones close after the answers that are owed.

        Requests that were sent already are answered first. `grace` (ns): for how long the first request on a
        new connection and the rest of an incomplete request may still arrive, as no other process can take
        these connections over. A connection with a recent answer stays open until it is quiet.
        """
        if self.stopping:
            return
        self.stopping = True
        if grace is not None:
            self.request_arrival_deadline = self.loop.now() + grace
        self._drain_accept_queue()
        for connection in list(self.active_connections):
            connection.stop()

    def _drain_accept_queue(self) -> bool:
        drained = super()._drain_accept_queue()
        self.connections.close_owned(self.owner_id, first_request_by=self.request_arrival_deadline)
        self.check_emptied()
        return drained

    def close(self) -> None:
        """Stops, and ends every connection at once."""
        super().close()
        if self.sweep_timer is not None:
            self.sweep_timer.cancel()
