"""The messages of one connection from their bytes until they are handled."""

from collections import deque

from gaproute.fronts.jsonrpc.errors import FramingError
from gaproute.fronts.jsonrpc.framing import MessageReader
from gaproute.loop.streams import READ_SIZE

# Messages with which a connection is read no further: the requests that a client may have open, and as many
# cancellations.
MAX_UNHANDLED_MESSAGES = 64
# Reads in a row of one connection: as many bytes as the open requests of one client have at most.
MAX_READS_IN_A_ROW = 12
OBJECT_BYTES = 64  # of a message beside its bytes


class MessageIntake:
    """Decodes the bytes of a connection into messages, and holds those that are not handled yet.

    `error`: why nothing after the messages can be decoded; None if all could be so far.
    """

    __slots__ = ("reader", "unhandled", "unhandled_bytes", "error", "last_read_size")

    def __init__(self) -> None:
        self.reader = MessageReader()
        self.unhandled: deque[bytes] = deque()
        self.unhandled_bytes = 0
        self.error: FramingError | None = None
        self.last_read_size = 0  # bytes of the last read

    def take(self, data: bytes) -> list[bytes]:
        """Decodes received bytes; returns the messages that they complete."""
        self.last_read_size = len(data)
        if self.error is not None:
            return []
        try:
            return self.reader.feed(data)
        except FramingError as error:
            # Without the traceback, whose frames would refer back to this object.
            self.error = error.with_traceback(None)
            return error.bodies

    @property
    def last_read_full(self) -> bool:
        """Whether the last read took as many bytes as one read may."""
        return self.last_read_size >= READ_SIZE

    def hold(self, messages: list[bytes]) -> None:
        """Holds messages until they are handled."""
        self.unhandled.extend(messages)
        self.unhandled_bytes += sum([len(message) + OBJECT_BYTES for message in messages])

    def next_message(self) -> bytes | None:
        """Removes and returns the oldest unhandled message; None if there is none."""
        if not self.unhandled:
            return None
        message = self.unhandled.popleft()
        self.unhandled_bytes -= len(message) + OBJECT_BYTES
        return message

    def drop_messages(self) -> None:
        """Drops all unhandled messages."""
        self.unhandled.clear()
        self.unhandled_bytes = 0

    def drop_all(self) -> None:
        """Drops all unhandled messages and the incomplete one."""
        self.drop_messages()
        self.reader = MessageReader()

    def buffered_bytes(self) -> int:
        """Bytes of memory that unhandled messages and an incomplete one use."""
        return self.unhandled_bytes + self.reader.buffered_bytes()
