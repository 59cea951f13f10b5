"""The memory that the connections of clients use for messages and answers, within a limit."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Reversible
from typing import Protocol, TypeVar

from gaproute.fronts.jsonrpc.message_intake import MessageIntake
from gaproute.loop import Loop

# Share of the limit down to which connections are ended once it is exceeded, so that connections are compared
# once for much memory that is freed.
TARGET_SHARE = 0.875
# Share of the limit up to which a connection is read ahead before its messages are handled.
READ_AHEAD_SHARE = 0.5
# Share of the limit above which messages are handled at once, so that nothing of them is held, and large
# requests among them are refused.
REFUSAL_SHARE = 0.75
FAIR_SHARE_DIVISOR = 4  # of the limit for each connection: larger requests are then refused
MIN_FREED_BYTES = 4096  # a connection that uses less is the last to be freed of it
MAX_BYTES_READ_AHEAD = 2 << 20  # of all connections in one turn of the loop


class BufferingConnection(Protocol):
    """The part of a client's connection that uses memory."""

    intake: MessageIntake
    counted_bytes: int  # what `ClientMemory` has counted of it

    def buffered_bytes(self) -> int:
        """Bytes of memory that unhandled messages, an incomplete one and unsent answers use."""

    def owes_answer(self, now: int) -> bool:
        """Whether the client may still wait for an answer on this connection."""

    def free_memory(self) -> None:
        """Frees what the connection buffers; its open requests are still answered where its client reads."""


Connection = TypeVar("Connection", bound=BufferingConnection)


class ClientMemory:
    """Counts the memory of all connections, and frees some of it while all together use too much.

    Connections that are owed no answer come first, then those that use the most. This guards against hundreds
    of clients that send slowly or receive no answers, each within the limits of one connection.
    """

    def __init__(self, loop: Loop, max_bytes: int, connections: Collection[BufferingConnection]) -> None:
        """`connections`: the connections in use, the oldest first; the caller adds and removes them."""
        self.loop, self.max_bytes, self.connections = loop, max_bytes, connections
        self.bytes = 0
        self.freed_count = 0  # connections whose memory was freed
        self._freeing = False
        self._to_count: dict[BufferingConnection, None] = {}
        self._read_ahead_turn, self._bytes_read_ahead = -1, 0  # in that turn of the loop

    def count(self, connection: BufferingConnection) -> None:
        """Counts the connection anew, as its memory may have changed; this may free that of some."""
        self._count(connection)
        if self.bytes > self.max_bytes and not self._freeing:
            self._freeing = True
            try:
                self._free()
            finally:
                self._freeing = False

    def _free(self) -> None:
        for heaviest in self._connections_to_free(list(self.connections)):
            self.freed_count += 1
            heaviest.free_memory()
            self._count(heaviest)

    def _count(self, connection: BufferingConnection) -> None:
        if connection in self.connections:
            buffered = connection.buffered_bytes()
            self.bytes += buffered - connection.counted_bytes
            connection.counted_bytes = buffered

    @property
    def is_short(self) -> bool:
        """Whether messages should not be held any longer."""
        return self.bytes > REFUSAL_SHARE * self.max_bytes

    def has_room(self, message_bytes: int) -> bool:
        """Whether a request of that size may begin."""
        if not self.is_short:
            return True
        return message_bytes * FAIR_SHARE_DIVISOR * len(self.connections) <= self.max_bytes

    def count_soon(self, connection: BufferingConnection) -> None:
        """Counts the connection in a later callback of the loop."""
        if not self._to_count:
            self.loop.call_soon(self._count_all)
        self._to_count[connection] = None

    def _count_all(self) -> None:
        to_count, self._to_count = self._to_count, {}
        for connection in to_count:
            self.count(connection)

    def remove(self, connection: BufferingConnection) -> None:
        """Stops counting a connection."""
        self.bytes -= connection.counted_bytes
        connection.counted_bytes = 0

    def allows_read_ahead(self, connection: BufferingConnection) -> bool:
        """Whether more of the connection may be read before its messages are handled."""
        if self._read_ahead_turn != self.loop.turns:
            self._read_ahead_turn, self._bytes_read_ahead = self.loop.turns, 0
        self._bytes_read_ahead += connection.intake.last_read_size
        buffered = self.bytes - connection.counted_bytes + connection.buffered_bytes()
        return self._bytes_read_ahead < MAX_BYTES_READ_AHEAD and buffered < READ_AHEAD_SHARE * self.max_bytes

    def _connections_to_free(self, connections: Reversible[Connection]) -> Iterator[Connection]:
        """The connections whose memory is to be freed, in this order, until enough is."""
        now = self.loop.now()

        def weight(connection: Connection) -> tuple[bool, int]:
            size = connection.counted_bytes
            return size >= MIN_FREED_BYTES and not connection.owes_answer(now), size

        heaviest_first = sorted(reversed(connections), key=weight, reverse=True)
        for connection in heaviest_first:
            if self.bytes <= TARGET_SHARE * self.max_bytes:
                return
            yield connection
