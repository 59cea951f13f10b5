"""What travels over a stream: bytes, the end of sending, or a reset, all in one order."""

from __future__ import annotations

from collections import deque
from enum import Enum, auto


class StreamSignal(Enum):
    """What a stream carries beside bytes."""

    END = auto()  # no more will be sent
    RESET = auto()  # the connection was broken off


Piece = bytes | StreamSignal


def size_of(piece: Piece) -> int:
    """The bytes of a piece; a signal has none."""
    return len(piece) if isinstance(piece, bytes) else 0


class OutputBuffer:
    """Bytes that a socket has yet to take, in their order; `size` is how many."""

    __slots__ = ("chunks", "size")

    def __init__(self) -> None:
        self.chunks: deque[bytes | memoryview] = deque()
        self.size = 0

    def __bool__(self) -> bool:
        return bool(self.chunks)

    def append(self, data: bytes | memoryview) -> None:
        """Adds bytes at the end."""
        self.chunks.append(data)
        self.size += len(data)

    @property
    def first(self) -> bytes | memoryview:
        """The chunk that is to be sent next. Errors: IndexError where there is none."""
        return self.chunks[0]

    def consume(self, count: int) -> bool:
        """Removes `count` bytes of the first chunk, which were sent; whether that was all of it."""
        self.size -= count
        if count < len(self.chunks[0]):
            self.chunks[0] = memoryview(self.chunks[0])[count:]
            return False
        self.chunks.popleft()
        return True

    def clear(self) -> None:
        """Drops what is left."""
        self.chunks.clear()
        self.size = 0
