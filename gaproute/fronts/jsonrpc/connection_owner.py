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

    gateway_request_id: str  # the gateway's id of the request
    request_id: str  # the client's id of it


class RpcConnectionOwner(Protocol[Connection]):
    """The part of `JsonRpcFront` that its connections use."""

    loop: Loop
    connections: AcceptedConnections
    stopping: bool
    unresponsive_clients: int
    protocol_errors: int
    on_protocol_error: Callable[[ErrorCode, str], None]

    @property
    def active_connections(self) -> Container[object]:
        """The connections that are not parked."""

    @property
    def open_request_ids(self) -> Container[str]:
        """The clients' ids of open requests."""

    def handle_message(self, connection: Connection, body: bytes) -> None:
        """Handles a message of a client. Errors: ProtocolError, for the client."""

    def abandon_request(self, request: OpenRequest) -> None:
        """Notes that the client of a request does not wait any more."""

    def park(self, connection: Connection, due: int) -> None:
        """Parks a quiet connection until its client sends something or `due` (ns) comes."""

    def unregister(self, connection: Connection) -> None:
        """Forgets a connection that has ended."""
