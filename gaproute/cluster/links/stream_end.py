"""One of the two ends of a connection over a link: what is read here is given to the other when it is due.

An end is not read while too much waits for the other, so that a slow reader holds its writer back as it would
without the emulator.
"""

from __future__ import annotations

import errno
import select
import socket
import struct
from collections.abc import Callable
from typing import Protocol

from gaproute.cluster.addresses import Link
from gaproute.cluster.links.context import EmulatorContext
from gaproute.cluster.links.pieces import OutputBuffer, Piece, StreamSignal
from gaproute.cluster.links.transit_queue import TransitQueue
from gaproute.loop.descriptors import HANGUP, READ, WRITE

READ_SIZE = 65536  # bytes read in one call
HIGH_WATER, LOW_WATER = 1 << 18, 1 << 16  # bytes under way one way: reading stops above, goes on below
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # for SO_LINGER


class RelayedConnection(Protocol):
    """What an end needs of the connection that it belongs to."""

    carried_bytes: int
    pieces: int

    def reset(self) -> None:
        """Resets both ends at once."""

    def finish(self) -> None:
        """Is called once both ends are closed."""


def close_with_reset(sock: socket.socket) -> None:
    """Closes the socket so that its peer sees a reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    sock.close()


class StreamEnd:
    """One socket; what is read here travels over `link` to the end `other`, which is set once both exist."""

    __slots__ = (
        "connection",
        "loop",
        "sock",
        "other",
        "transit",
        "output",
        "open",
        "_mask",
        "paused",
        "input_ended",
        "end_pending",
        "end_sent",
        "write_failed",
    )

    def __init__(
        self, connection: RelayedConnection, context: EmulatorContext, sock: socket.socket, link: Link
    ) -> None:
        self.connection, self.loop, self.sock = connection, context.loop, sock
        self.other: StreamEnd
        self.transit = TransitQueue(context, link, self._deliver, self.resume_reading)
        self.output = OutputBuffer()
        self.open, self.paused, self.write_failed = True, False, False
        self.input_ended = False  # the end of what our process sends was read
        self.end_pending = self.end_sent = False  # the end of what we send: is to be sent, was sent
        self._mask: int | None = READ  # None while the descriptor is not watched
        self.loop.watch(sock.fileno(), READ, self._ready)

    # In

    def _ready(self, events: int) -> None:
        if events & WRITE and self.output:
            self._flush()
        if not self.open or not events & (READ | HANGUP):
            return
        if not self.paused and not self.input_ended:
            self._read()
        elif events & select.EPOLLERR or self.write_failed:
            self._break_off()
        elif events & HANGUP:  # both directions are shut, bytes are unread: each poll would report it again
            self.loop.unwatch(self.sock.fileno())
            self._mask = None

    def _read(self) -> None:
        try:
            data = self.sock.recv(READ_SIZE)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._break_off()
            return
        if data:
            self.connection.carried_bytes += len(data)
            self.connection.pieces += 1
            self.forward(data)
        elif self.write_failed:
            self._break_off()
        else:
            self.input_ended = True
            self._update_mask()
            self.forward(StreamSignal.END)
            if self.end_sent:
                self.close()

    def forward(self, piece: Piece) -> None:
        """Sends a piece that was read here towards the other end."""
        self.transit.add(piece)
        if self._bytes_under_way > HIGH_WATER and not self.paused:
            self.paused = True
            self._update_mask()

    def resume_reading(self) -> None:
        """Reads again if the other end has taken enough of what was read here."""
        if self.paused and self._bytes_under_way < LOW_WATER:
            self.paused = False
            self._update_mask()

    @property
    def _bytes_under_way(self) -> int:
        return self.transit.size + self.other.output.size

    def _deliver(self, piece: Piece) -> None:
        self.other.write(piece)

    def _break_off(self) -> None:
        """The connection was broken off here: the other end hears of it in its turn."""
        self.close()
        if self.other.open:
            self.forward(StreamSignal.RESET)

    def _break_off_if_open(self) -> None:
        if self.open:
            self._break_off()

    # Out

    def write(self, piece: Piece) -> None:
        """Writes here as much as is taken; the rest follows."""
        if piece is StreamSignal.RESET:
            self.connection.reset()
        elif not self.open or self.write_failed:
            return
        elif isinstance(piece, StreamSignal):
            self.end_pending = True
            if not self.output:
                self._send_end()
        elif self.output:
            self.output.append(piece)
        else:
            sent = self._send(piece)
            if sent < len(piece):
                self.output.append(memoryview(piece)[sent:])
                self._update_mask()

    def _send(self, data: bytes | memoryview) -> int:
        try:
            return self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            self._fail_writing()
            return len(data)

    def _fail_writing(self) -> None:
        """It takes no more. What it sent before is read first, then `_read` finds the reset or the end."""
        self.write_failed = True
        self.output.clear()
        if self.input_ended:
            self.loop.call_soon(self._break_off_if_open)
        else:
            self._update_mask()

    def _flush(self) -> None:
        while self.output:
            sent = self._send(self.output.first)
            if self.write_failed or not self.output.consume(sent):
                break
        else:
            self._update_mask()
            if self.end_pending:
                self._send_end()
        self.other.resume_reading()

    def _send_end(self) -> None:
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError as error:
            if error.errno != errno.ENOTCONN:
                raise
            self._fail_writing()
            return
        self.end_sent = True
        if self.input_ended:
            self.close()

    # The descriptor

    def _update_mask(self) -> None:
        mask = (0 if self.paused or self.input_ended else READ) | (WRITE if self.output else 0)
        if self.open and mask != self._mask:
            if self._mask is None:
                self.loop.watch(self.sock.fileno(), mask, self._ready)
            else:
                self.loop.change_events(self.sock.fileno(), mask)
            self._mask = mask

    def close(self) -> None:
        """Closes the socket; what is under way to the other end's process is still delivered."""
        self._close_by(socket.socket.close)

    def reset(self) -> None:
        """Closes the socket so that its process sees a reset."""
        self._close_by(close_with_reset)

    def _close_by(self, close_socket: Callable[[socket.socket], None]) -> None:
        if not self.open:
            return
        self.open = False
        self.output.clear()
        self.loop.unwatch(self.sock.fileno())
        close_socket(self.sock)
        if self.other.open:
            self.other.resume_reading()
        else:
            self.connection.finish()

    def untie(self) -> None:
        """Removes circular references, so that no garbage collection is needed."""
        del self.other, self.transit, self.connection
