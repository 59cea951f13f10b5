"""Frames messages: a header with `Content-Length`, an empty line and a body."""

import re

from gaproute.fronts.jsonrpc.errors import FramingError

MAX_HEAD_BYTES = 512  # the one field that a header needs takes 30 bytes
MAX_BODY_BYTES = 48 * 1024  # in base64, an argument of 16 KiB takes 22 KiB; the other fields are small

HEAD_END = b"\r\n\r\n"
LENGTH_FIELD = b"content-length:"

_match_length = re.compile(rb"content-length:[ \t]*([0-9]{1,9})[ \t]*", re.IGNORECASE).fullmatch
_match_field = re.compile(rb"[!-9;-~]+:[ -~\t]*").fullmatch


def frame(body: bytes) -> bytes:
    """Makes the message with this body."""
    return b"Content-Length: %d\r\n\r\n%b" % (len(body), body)


class MessageReader:
    """Decodes the messages of one connection; buffers at most one incomplete message."""

    __slots__ = ("buffer", "body_length")

    def __init__(self) -> None:
        self.buffer = bytearray()
        self.body_length: int | None = None  # of the message whose header has been decoded

    @property
    def mid_message(self) -> bool:
        """Whether only a part of a message has arrived."""
        return bool(self.buffer) or self.body_length is not None

    def copy(self) -> "MessageReader":
        """A reader in the same state, to decode bytes that the connection has not consumed yet."""
        reader = MessageReader()
        reader.buffer, reader.body_length = bytearray(self.buffer), self.body_length
        return reader

    def feed(self, data: bytes) -> list[bytes]:
        """Decodes received bytes; returns the bodies that they complete.

        Errors: FramingError, with the bodies that were complete before it.
        """
        self.buffer += data
        bodies: list[bytes] = []
        try:
            while self._read_next(bodies):
                pass
        except FramingError as error:
            error.bodies = bodies
            raise
        finally:
            if not self.buffer:
                self.buffer = bytearray()  # an emptied one keeps its memory
        return bodies

    def buffered_bytes(self) -> int:
        """Bytes of memory that the incomplete message uses."""
        return self.buffer.__alloc__() if self.buffer else 0

    def _read_next(self, bodies: list[bytes]) -> bool:
        """Decodes the next message if it is complete; returns whether another one may be complete."""
        if self.body_length is None:
            self.body_length = self._read_head()
        if self.body_length is None or len(self.buffer) < self.body_length:
            return False
        bodies.append(bytes(self.buffer[: self.body_length]))
        del self.buffer[: self.body_length]
        self.body_length = None
        return bool(self.buffer)

    def _read_head(self) -> int | None:
        """Removes the header from the buffer; returns the body's length, or None if it is incomplete."""
        end = self.buffer.find(HEAD_END, 0, MAX_HEAD_BYTES + len(HEAD_END))
        if end < 0:
            if len(self.buffer) > MAX_HEAD_BYTES:
                raise FramingError("the head is too long")
            return None
        length = _decode_length(bytes(self.buffer[:end]))
        del self.buffer[: end + len(HEAD_END)]
        return length


def _decode_length(head: bytes) -> int:
    """Decodes the length of the body from the header. Errors: FramingError."""
    lengths = []
    for line in head.split(b"\r\n"):
        if not _match_field(line):
            raise FramingError("a head is lines of NAME: VALUE")
        if line[: len(LENGTH_FIELD)].lower() == LENGTH_FIELD:
            match = _match_length(line)
            if match is None:
                raise FramingError("Content-Length is a whole number")
            lengths.append(int(match[1]))
    if len(lengths) != 1:
        raise FramingError("a head has one Content-Length")
    if not 0 < lengths[0] <= MAX_BODY_BYTES:
        raise FramingError(f"a message has 1 to {MAX_BODY_BYTES} bytes")
    return lengths[0]
