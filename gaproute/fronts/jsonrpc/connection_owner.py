"""The interface by which a client's connection uses its front."""

from __future__ import annotations

from collections.abc import Callable, Container
from typing import NamedTuple, Protocol, TypeVar

from gaproute.connections.accepted import AcceptedConnections
from gaproute.fronts.jsonrpc.client_memory import ClientMemory
from gaproute.fronts.jsonrpc.errors import ErrorCode
from gaproute.fronts.jsonrpc.message_scheduler import MessageScheduler
from gaproute.fronts.jsonrpc.request_admission import RequestAdmission
from gaproute.loop import Loop

Connection = TypeVar("Connection", contravariant=True)


class OpenRequest(NamedTuple):
    """A request that has no final answer yet."""

    gateway_request_id: str  # the id that the gateway gave it
    request_id: str  # the id that the client gave it


class RpcConnectionOwner(Protocol[Connection]):
    """The part of `JsonRpcFront` that its connections use."""

    loop: Loop
    scheduler: MessageScheduler
    memory: ClientMemory
    admission: RequestAdmission
    connections: AcceptedConnections
    stopping: bool
    unresponsive_clients: int
    protocol_errors: int
    on_protocol_error: Callable[[ErrorCode, str], None]

    @property
    def active_connections(self) -> Container[object]:
        """The connections that are not parked."""

    def handle_message(self, connection: Connection, body: bytes) -> None:
        """Handles a message of a client. Errors: ProtocolError, to be sent to the client."""

    def abandon_request(self, request: OpenRequest) -> None:
        """Ends a request whose client does not wait any more."""

    def park(self, connection: Connection, due: int) -> None:
        """Parks a quiet connection, which is closed at `due` (ns) if the client sends nothing until then."""

    def unregister(self, connection: Connection) -> None:
        """Removes a closed connection from the connections in use."""
