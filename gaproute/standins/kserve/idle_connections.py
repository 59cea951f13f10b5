"""The idle connections of stand-in clients to one gateway."""

from __future__ import annotations

from gaproute.http1 import ClientConnection
from gaproute.standins.tap import EventRecorder

MAX_IDLE = 64


class IdleConnections:
    """Connections that wait for their next request; the one used last is taken first."""

    def __init__(self, gateway: int, tap: EventRecorder) -> None:
        """`gateway`: its number."""
        self.gateway, self.tap = gateway, tap
        self._connections: list[ClientConnection] = []

    def take(self) -> ClientConnection | None:
        """A connection that can be used now; None where there is none."""
        while self._connections:
            connection = self._connections.pop()
            connection.on_idle_end = None
            if connection.stream.is_quiet():
                return connection
            connection.abort()
        return None

    def put(self, connection: ClientConnection) -> None:
        """Takes a connection whose request was answered."""
        if not connection.open:
            return
        if len(self._connections) < MAX_IDLE:
            connection.on_idle_end = self._ended
            self._connections.append(connection)
        else:
            connection.abort()

    def _ended(self, connection: ClientConnection) -> None:
        if connection.unrequested_response:
            self.tap.note("stray", gateway=self.gateway)
        if connection in self._connections:
            self._connections.remove(connection)
