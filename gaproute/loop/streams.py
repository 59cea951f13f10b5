"""Byte streams on connected sockets; `dialing` and `listening` open and accept them."""

import socket
import struct
from contextlib import suppress

from gaproute.loop import unread
from gaproute.loop.loop import MILLI
from gaproute.loop.sockets import close_quietly
from gaproute.loop.stream_reader import READ_SIZE, EndHandler, StreamReader
from gaproute.loop.stream_writer import WRITE_HIGH_WATER

__all__ = ["CLOSE_WAIT", "HANGUP_CHECK_INTERVAL", "READ_SIZE", "WRITE_HIGH_WATER", "Stream"]

# For so long after a look nobody looks again whether a client has closed: well within what may pass between
# its leaving and the last attempt that begins for it.
HANGUP_CHECK_INTERVAL = 20 * MILLI
CLOSE_TIMEOUT = 30_000 * MILLI  # for the last bytes to be taken after a close; then the connection is reset
# For the other side to close too, once all is written: some round trips. What one that does not sends later
# meets a closed socket, as ever.
CLOSE_WAIT = 300 * MILLI
LINGER_RESET = struct.pack("ii", 1, 0)  # of SO_LINGER: a close resets the connection


class Stream(StreamReader):
    """A connected socket: reading, buffered writing, and a close that loses nothing.

    `on_bytes(data)`, `on_end(error or None)` once. With `hangup_first` the other side's end is noticed in the
    turn in which it comes, however many bytes lie unread before it: for the side that works for a client, who
    may have left behind what it sent.
    """

    __slots__ = ()

    def release(self) -> int:
        """Gives the descriptor up, open and no longer watched; no further callbacks."""
        self.on_bytes, self.on_end, self.open = _ignore, _ignore, False
        self.loop.unwatch(self.fd)
        return self.sock.detach()

    def close(self, closed: EndHandler | None = None) -> None:
        """Hands over what was written, says that no more comes and reads until the other side closes too, for
        a while. `closed(error)` once the descriptor is given back; no other callbacks.

        Guards the last answer: a socket closed with bytes unread, or written to after its close, is reset,
        and a reset can destroy what is in flight. It costs descriptors: `loop.closing_streams` has them.
        """
        if self.closing or not self.open:
            return
        self.on_bytes, self.on_end, self.on_half_close = _ignore, closed or _ignore, None
        if not self.outgoing and not self.bytes_sent:
            self._finish(None)  # nothing of ours is in flight
            return
        self.closing = True
        self.loop.closing_streams[self] = self.loop.now()
        if self.outgoing:  # nothing is read meanwhile: an end read now would end it
            self.half_closed = True
            self.pause()
            self.close_timer = self.loop.after(CLOSE_TIMEOUT, self.reset)
        else:
            self._shut_down_writing()

    def _shut_down_writing(self) -> None:
        with suppress(OSError):  # reset already: reading shows it
            self.sock.shutdown(socket.SHUT_WR)
        if self.close_timer is not None:
            self.close_timer.cancel()
        self.close_timer = self.loop.after(CLOSE_WAIT, self.finish_close, self.loop.now() + CLOSE_TIMEOUT)
        self.resume()
        self._read()

    def finish_close(self, until: int = 0) -> None:
        """The other side has not closed: left to the kernel, by then at the latest, once that has nothing of
        ours unacknowledged."""
        if not self.is_acknowledged() and self.loop.now() < until:
            self.close_timer = self.loop.after(CLOSE_WAIT, self.finish_close, until)
        else:
            self._finish(None)

    def is_acknowledged(self) -> bool:
        """Whether the other side has acknowledged all that was written."""
        return not self.outgoing and not unread.unacknowledged(self.fd)

    def abort(self) -> None:
        """Closes at once with a reset; no further callbacks."""
        self.on_end = _ignore
        self.reset()

    def reset(self) -> None:
        """Closes at once with a reset."""
        if self.open:
            with suppress(OSError):
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            self._finish(None)

    def _finish(self, error: OSError | None) -> None:
        if self.open:
            self._close_socket()
            self.on_end(error)

    def _close_socket(self) -> None:
        self.open = False
        self.outgoing, self.bytes_unsent = [], 0
        self.loop.closing_streams.pop(self, None)
        if self.close_timer is not None:
            self.close_timer.cancel()
        self.loop.unwatch(self.fd)
        close_quietly(self.sock)


def _ignore(*_: object) -> None:
    """In place of a callback that is not wanted any more."""
