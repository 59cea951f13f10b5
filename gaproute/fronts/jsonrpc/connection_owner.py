"""What a client's connection needs of the front that it belongs to."""

from __future__ import annotations

from collections.abc import Callable, Container
from typing import NamedTuple, Protocol, TypeVar

from gaproute.connections.accepted import AcceptedConnections
from gaproute.fronts.jsonrpc.errors import ErrorCode
from gaproute.loop import Loop

Connection = TypeVar("Connection", contravariant=True)


class OpenRequest(NamedTuple):
    """A request without its final answer."""

    key: str  # the gateway's id of it
    request_id: str  # the client's


class RpcConnectionOwner(Protocol[Connection]):
    """The part of `JsonRpcFront` that its connections use."""

    loop: Loop
    connections: AcceptedConnections
    stopping: bool
    unresponsive: int
    protocol_errors: int
    on_protocol_error: Callable[[ErrorCode, str], None]

    @property
    def active_connections(self) -> Container[object]:
        """The connections at work."""

    @property
    def open_request_ids(self) -> Container[str]:
        """The clients' ids of open requests."""

    def handle_message(self, connection: Connection, body: bytes) -> None:
        """Handles a message of a client. Errors: ProtocolError, which the client is to be told."""

    def client_left(self, request: OpenRequest) -> None:
        """The client of a request waits no longer."""

    def park(self, connection: Connection, due: int) -> None:
        """Parks a quiet connection until it sends something, or is closed at `due`."""

    def unregister(self, connection: Connection) -> None:
        """The connection has ended."""
