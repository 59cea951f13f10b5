"""Byte streams on connected sockets; `dialing` opens the connections, `listening` accepts them."""

import socket
import struct
from contextlib import suppress

from gaproute.loop import unread
from gaproute.loop.sockets import close_quietly
from gaproute.loop.stream_reader import READ_SIZE, EndHandler, StreamReader
from gaproute.loop.stream_writer import WRITE_HIGH_WATER
from gaproute.units import MILLI

__all__ = ["CLOSE_WAIT", "HANGUP_CHECK_INTERVAL", "READ_SIZE", "WRITE_HIGH_WATER", "Stream"]

# Time between checks whether a client has closed; much shorter than the time for which an attempt may still
# begin after its client has left.
HANGUP_CHECK_INTERVAL = 20 * MILLI
CLOSE_TIMEOUT = 30_000 * MILLI  # to send the remaining bytes after a close; then the connection is reset
# Time for the other side to close too, once all bytes are written: some round trips. The kernel answers bytes
# that arrive later with a reset.
CLOSE_WAIT = 300 * MILLI
LINGER_RESET = struct.pack("ii", 1, 0)  # value of SO_LINGER with which a close resets the connection


class Stream(StreamReader):
    """A connected socket with reading, buffered writing, and a close that loses no written bytes.

    `on_bytes(data)` is called for received bytes, `on_end(error or None)` once at the end. With
    `detect_hangup_early`, the stream notices the close by the other side in the turn in which it arrives,
    even if many bytes before it are still unread. A server uses this to start no work for a client that has
    left.
    """

    __slots__ = ()

    def detach(self) -> int:
        """Stops watching the descriptor and returns it open; no callback is called any more."""
        self.on_bytes, self.on_end, self.open = _ignore, _ignore, False
        self.loop.unwatch(self.fd)
        return self.sock.detach()

    def close(self, closed: EndHandler | None = None) -> None:
        """Sends the queued bytes, shuts down writing, and reads for a while until the other side closes.

        `closed(error)` is called once the descriptor is closed; no other callback is called any more. Closing
        the socket immediately could lose the last answer: if bytes are unread or arrive after the close, the
        kernel resets the connection, and a reset discards bytes that are in transit. A stream that is closing
        still uses a descriptor, and is in `loop.closing_streams`.
        """
        if self.closing or not self.open:
            return
        self.on_bytes, self.on_end, self.on_half_close = _ignore, closed or _ignore, None
        if not self.outgoing and not self.bytes_sent:
            self._finish(None)  # nothing was sent that a reset could discard
            return
        self.closing = True
        self.loop.closing_streams[self] = self.loop.now()
        if self.outgoing:  # reading pauses, as a close by the other side would end the stream too early
            self.half_closed = True
            self.pause()
            self.close_timer = self.loop.call_later(CLOSE_TIMEOUT, self.reset)
        else:
            self._shut_down_writing()

    def _shut_down_writing(self) -> None:
        with suppress(OSError):  # the connection was reset, which the next read reports
            self.sock.shutdown(socket.SHUT_WR)
        if self.close_timer is not None:
            self.close_timer.cancel()
        self.close_timer = self.loop.call_later(
            CLOSE_WAIT, self.finish_close, self.loop.now() + CLOSE_TIMEOUT
        )
        self.resume()
        self._read()

    def finish_close(self, until: int = 0) -> None:
        """Closes the socket although the other side has not closed.

        Waits first until the other side has acknowledged all bytes, at most until the time `until` (ns).
        """
        if not self.is_acknowledged() and self.loop.now() < until:
            self.close_timer = self.loop.call_later(CLOSE_WAIT, self.finish_close, until)
        else:
            self._finish(None)

    def is_acknowledged(self) -> bool:
        """Whether the other side has acknowledged all written bytes."""
        return not self.outgoing and not unread.unacknowledged_bytes(self.fd)

    def abort(self) -> None:
        """Resets the connection; no callback is called any more."""
        self.on_end = _ignore
        self.reset()

    def reset(self) -> None:
        """Resets the connection; `on_end` is called."""
        if self.open:
            with suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self._finish(None)

    def _finish(self, error: OSError | None) -> None:
        if self.open:
            self._close_socket()
            on_end = self.on_end
            # Without its owner's callbacks, the stream does not keep its owner alive.
            self.on_bytes, self.on_end, self.on_half_close, self.on_writable = _ignore, _ignore, None, None
            on_end(error)

    def _close_socket(self) -> None:
        self.open = False
        self.outgoing, self.bytes_unsent = [], 0
        self.loop.closing_streams.pop(self, None)
        if self.close_timer is not None:
            self.close_timer.cancel()
        self.loop.unwatch(self.fd)
        close_quietly(self.sock)


def _ignore(*_: object) -> None:
    """Stands in for a callback that must not be called any more."""
