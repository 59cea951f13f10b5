"""The memory that incomplete lines from hosts use, within a limit for all connections together."""

from __future__ import annotations

from typing import Generic, TypeVar

DEFAULT_MAX_LINE_MEMORY = 64 << 20
# Share of the limit down to which connections are to be ended once it is exceeded.
TARGET_SHARE = 0.875

Connection = TypeVar("Connection")


class LineMemory(Generic[Connection]):
    """Counts the incomplete line of each connection that has one."""

    def __init__(self, max_bytes: int = DEFAULT_MAX_LINE_MEMORY) -> None:
        self.max_bytes = max_bytes
        self.bytes = 0
        self.ended_count = 0  # connections that were to be ended
        self._counted: dict[Connection, int] = {}

    def count(self, connection: Connection, incomplete_bytes: int) -> list[Connection]:
        """Counts a connection anew; returns the connections to end, the longest lines first."""
        self.remove(connection)
        if not incomplete_bytes:
            return []
        self._counted[connection] = incomplete_bytes
        self.bytes += incomplete_bytes
        return self._connections_to_end() if self.bytes > self.max_bytes else []

    def remove(self, connection: Connection) -> None:
        """Stops counting a connection."""
        self.bytes -= self._counted.pop(connection, 0)

    def _connections_to_end(self) -> list[Connection]:
        found, left = [], self.bytes
        for connection in sorted(self._counted, key=self._counted.__getitem__, reverse=True):
            if left <= TARGET_SHARE * self.max_bytes:
                break
            found.append(connection)
            left -= self._counted[connection]
        self.ended_count += len(found)
        return found
