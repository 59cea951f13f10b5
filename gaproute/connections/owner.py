"""What an owner of accepted connections provides: a server of one protocol at one address."""

import socket
from typing import Protocol

from gaproute.loop.addresses import SocketAddress


class ConnectionOwner(Protocol):
    """Takes the connections that its listener accepts, and again when a parked one has sent something."""

    @property
    def counted(self) -> bool:
        """Whether its connections count as clients'; those of operators and peers do not."""

    def accept_connection(self, sock: socket.socket, address: SocketAddress) -> None:
        """A connection was accepted; it is parked, or rejected."""

    def resume_connection(self, fd: int, data: bytes, address_id: int, request_count: int) -> None:
        """A parked connection has sent `data`, and is the owner's again."""

    def connection_closed(self) -> None:
        """A parked connection was closed."""
