"""The interface of an owner of accepted connections: a server of one protocol at one address."""

import socket
from typing import Protocol

from gaproute.loop.addresses import SocketAddress


class ConnectionOwner(Protocol):
    """Takes over connections that its listener accepts, and parked connections that have sent bytes."""

    @property
    def counted(self) -> bool:
        """Whether the owner's connections count as those of clients; those of operators and peers do not."""

    def accept_connection(self, sock: socket.socket, address: SocketAddress) -> None:
        """Parks or rejects an accepted connection."""

    def resume_connection(self, fd: int, data: bytes, address_id: int, request_count: int) -> None:
        """Takes over a parked connection that has sent `data`."""

    def connection_closed(self) -> None:
        """Counts a parked connection that was closed."""
