"""What a connection needs of the host that it leads to, and of the pool of all connections."""

from __future__ import annotations

from typing import Protocol, TypeVar

from gaproute.decisions.connections.pooling import ConnectionReusePolicy
from gaproute.loop import Loop
from gaproute.loop.addresses import Address

Connection = TypeVar("Connection", contravariant=True)


class HostConnectionOwner(Protocol):
    """The part of `ConnectionPool` that its connections use.

    `connect_timeout`: ns; `cancel_allowed`: whether hosts take cancellations. `malformed`: connections that
    were closed because a line could not be decoded; `unmatched`: replies that belong to no request.
    """

    loop: Loop
    pooling: ConnectionReusePolicy
    connect_timeout: int
    cancel_allowed: bool
    malformed: int
    unmatched: int


class ConnectionRegistry(Protocol[Connection]):
    """The connections of one host: see `ConnectionSet`."""

    def discard(self, connection: Connection) -> None:
        """Removes a connection; no error where it is not in the set."""


class ConnectionHost(Protocol[Connection]):
    """The part of `Host` that its connections use."""

    name: str
    address: Address

    @property
    def pool(self) -> HostConnectionOwner:
        """The pool of all connections."""

    @property
    def connections(self) -> ConnectionRegistry[Connection]:
        """The host's connections."""
