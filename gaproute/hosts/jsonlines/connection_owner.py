"""The parts of a host and of the connection pool that a connection uses, as protocol classes."""

from __future__ import annotations

from typing import Any, Protocol, TypeVar

from gaproute.decisions.connections.pooling import ConnectionReusePolicy
from gaproute.hosts.jsonlines.line_memory import LineMemory
from gaproute.loop import Loop
from gaproute.loop.addresses import Address

Connection = TypeVar("Connection", contravariant=True)


class ConnectionPoolProtocol(Protocol):
    """The part of `ConnectionPool` that its connections use.

    `connect_timeout` is in ns. `cancel_allowed`: whether hosts take cancellations. `malformed_replies`: the
    number of lines that could not be decoded, each of which closed its connection. `unmatched_replies`: the
    number of replies that belong to no request. `retired_id_count`: ids of ended requests that all
    connections remember, of which `max_retired_ids` are allowed.
    """

    loop: Loop
    pooling: ConnectionReusePolicy
    connect_timeout: int
    cancel_allowed: bool
    malformed_replies: int
    unmatched_replies: int
    line_memory: LineMemory[Any]
    retired_id_count: int
    max_retired_ids: int


class ConnectionSetProtocol(Protocol[Connection]):
    """The part of `ConnectionSet` that its connections use."""

    def discard(self, connection: Connection) -> None:
        """Removes a connection; no error if it is not in the set."""


class HostProtocol(Protocol[Connection]):
    """The part of `Host` that its connections use."""

    name: str
    address: Address

    @property
    def pool(self) -> ConnectionPoolProtocol:
        """The pool of all connections."""

    @property
    def connections(self) -> ConnectionSetProtocol[Connection]:
        """The host's connections."""
