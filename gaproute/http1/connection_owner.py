"""The interface by which connections use their server."""

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

    `handle`: called with each complete request; `render_error`: makes the answer to an invalid message.
    `counted`: whether the connections count as connections of clients. `buffered_bytes`: bytes of the
    incomplete requests of all connections; `protocol_errors`: number of errors on all connections.
    """

    counted: bool
    stopping: bool
    protocol_errors: int
    buffered_bytes: int
    handle: Callable[[Request], object]
    render_error: Callable[[HttpError], ErrorAnswer]

    @property
    def active_connections(self) -> Container[object]:
        """The connections that are in use."""

    def announces_close(self) -> bool:
        """Whether answers announce that the connection closes."""

    def enforce_memory_limit(self) -> None:
        """Ends an incomplete request if all incomplete requests together use too much memory."""

    def park(self, connection: Connection, due: int) -> None:
        """Parks a quiet connection, which is closed at `due` (ns) if the client sends nothing until then."""

    def unregister(self, connection: Connection) -> None:
        """Removes a closed connection from the connections in use."""
