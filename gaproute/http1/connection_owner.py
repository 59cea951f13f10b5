"""What a connection of the server needs of the server that it belongs to."""

from __future__ import annotations

from collections.abc import Callable, Container
from typing import Protocol, TypeVar

from gaproute.http1.deadlines import DeadlineOwner
from gaproute.http1.errors import HttpError
from gaproute.http1.message import Request
from gaproute.http1.rendering import ErrorAnswer

Connection = TypeVar("Connection", contravariant=True)


class ServerConnectionOwner(DeadlineOwner, Protocol[Connection]):
    """The part of `Server` that its connections use.

    `handle`: called with each whole request; `render_error`: what a client is told of an error.
    `buffered_bytes`: of all requests that have not come in whole; `protocol_errors`: of all connections.
    """

    counted: bool
    stopping: bool
    protocol_errors: int
    buffered_bytes: int
    handle: Callable[[Request], object]
    render_error: Callable[[HttpError], ErrorAnswer]

    @property
    def active_connections(self) -> Container[object]:
        """The connections at work."""

    def says_close(self) -> bool:
        """Whether answers say that the connection closes."""

    def enforce_memory_limit(self) -> None:
        """Ends an unfinished request, as all together take up too much."""

    def park(self, connection: Connection, due: int) -> None:
        """Parks a quiet connection until it sends something, or is closed at `due`."""

    def unregister(self, connection: Connection) -> None:
        """A connection at work was closed."""
