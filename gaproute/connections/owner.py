"""The interface of an owner of accepted connections, which is a server of one protocol at one address."""

import socket
from typing import Protocol

from gaproute.loop.addresses import SocketAddress


class ConnectionOwner(Protocol):
    """Takes the connections that its listener accepts, and again when a parked one has sent something."""

    @property
    def counted(self) -> bool:
        """Whether its connections count as those of clients; those of operators and peers do not."""

    def accept_connection(self, sock: socket.socket, address: SocketAddress) -> None:
        """Parks or rejects a connection that was accepted."""

    def resume_connection(self, fd: int, data: bytes, address_id: int, request_count: int) -> None:
        """Takes back a parked connection that has sent `data`."""

    def connection_closed(self) -> None:
        """Notes that a parked connection was closed."""
