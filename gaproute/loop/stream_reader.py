"""The reading half of a stream: bytes, pauses, the other side's end, and what lies unread."""

from __future__ import annotations

import errno
import socket
from abc import abstractmethod
from collections.abc import Callable

from gaproute.loop import unread
from gaproute.loop.descriptors import HANGUP, READ, WRITE
from gaproute.loop.faults import is_transient
from gaproute.loop.loop import Loop
from gaproute.loop.stream_writer import StreamWriter
from gaproute.loop.unread import END, Pending

READ_SIZE = 65536  # bytes read in one call: a large socket buffer in few calls, small next to a body
MAX_READS_TO_END = 128  # of what lies unread before an end: more than any receive buffer holds
PEEK_FLAGS = socket.MSG_PEEK | socket.MSG_DONTWAIT
MAX_PEEKS = 5  # looks at what lies unread that fail, until something is taken to lie there

BytesHandler = Callable[[bytes], object]
EndHandler = Callable[[OSError | None], object]


class StreamReader(StreamWriter):
    """Reads what comes and hands it over.

    `on_bytes(data)`; `on_end(error or None)` once. With `on_half_close` set, the other side's end of sending
    calls that in place of ending the stream, and writing goes on.
    """

    __slots__ = ("on_bytes", "on_end", "on_half_close", "paused_at", "unread_since")

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_bytes: BytesHandler,
        on_end: EndHandler,
        *,
        hangup_first: bool = False,
    ) -> None:
        super().__init__(loop, sock, hangup_first=hangup_first)
        self.on_bytes, self.on_end = on_bytes, on_end
        self.on_half_close: Callable[[], object] | None = None
        # When it was paused: what has come since then has not been read to its end yet.
        self.paused_at: int | None = None
        self.unread_since: int | None = None  # what was read last had come after that pause
        loop.watch(self.fd, self.events, self._ready)

    @abstractmethod
    def _finish(self, error: OSError | None) -> None:
        """The connection has ended."""

    def _ready(self, events: int) -> None:
        if events & WRITE:
            self._flush()
        if self.open and events & (READ | HANGUP | END):
            if self.reading:
                self._read()
                if self.hangup_first and events & END:
                    self._read_rest()
            elif events & HANGUP:
                self._finish(ConnectionResetError(errno.ECONNRESET, "closed by the other side"))
            else:
                self._other_side_ended()

    def _read(self) -> None:
        try:
            data = self.sock.recv(READ_SIZE)
        except OSError as fault:
            if not is_transient(fault):
                self._finish(fault)
            return
        if data:
            self.unread_since = self.paused_at
            if len(data) < READ_SIZE and self.reading:
                self.paused_at = None
            self.on_bytes(data)
        else:
            self._other_side_ended()

    def _read_rest(self) -> None:
        """All that lies before the other side's end is there already: it is read in this turn."""
        for _ in range(MAX_READS_TO_END):
            if not self.open or not self.reading:
                return
            self._read()

    def read_now(self) -> None:
        """Reads what waits before the loop comes to it."""
        if self.open and self.reading:
            self._read()

    def read_to_end(self) -> None:
        """The other side has closed: what lies before that is read now, also where nothing was to be read."""
        if self.open and self.reading:
            self._read_rest()
        elif self.open:
            self._other_side_ended()

    def _other_side_ended(self) -> None:
        """The other side sends no more; what lies unread of a paused stream is not read any more."""
        if self.on_half_close is None:
            self._finish(None)
        elif not self.half_closed:
            self.half_closed = True
            self.pause()
            self.on_half_close()

    def _write_failed(self, fault: OSError) -> None:
        """Writing failed: what the other side had sent before its end counts, and is read first."""
        for _ in range(MAX_READS_TO_END if self.reading else 0):
            try:
                data = self.sock.recv(READ_SIZE) if self.open else b""
            except BlockingIOError:
                break
            except OSError as read_fault:
                if is_transient(read_fault):
                    continue
                break
            if not data:
                break
            self.on_bytes(data)
        self._finish(fault)

    def pause(self) -> None:
        """Reads nothing until `resume`; what comes waits in the kernel, then at the other side."""
        if self.reading and self.paused_at is None:
            self.paused_at = self.loop.now()
        self.reading = False
        self._update_events()

    def resume(self) -> None:
        """Reads again after `pause`."""
        self.reading = True
        self._update_events()

    # What lies unread

    def unread_age(self) -> int:
        """How long what was read last may have lain unread, ns: one system call.

        The kernel knows when the last bytes came. What came before them in a pause may be as old as that.
        The kernel's clock need not be the loop's: no age counts that the loop's own polls rule out.
        """
        now = self.loop.now()
        paused = 0 if self.unread_since is None else now - self.unread_since
        bound = now - self.loop.unread_since(self.fd)
        return max(paused, min(unread.age_of_last_bytes(self.sock), bound))

    def is_quiet(self) -> bool:
        """Whether nothing lies unread and the other side has not closed: one system call."""
        for _ in range(MAX_PEEKS):
            try:
                self.sock.recv(1, PEEK_FLAGS)
            except BlockingIOError:
                return True
            except OSError as fault:
                if not is_transient(fault):
                    return False
            else:
                return False
        return False  # unknown: something may lie there

    def pending(self) -> Pending:
        """What the kernel has of the other side that has not been read yet: one system call."""
        return unread.pending(self.fd) if self.open else Pending(hung_up=True, unread=False)

    def hung_up(self) -> bool:
        """Whether the other side has closed or reset, also where bytes lie unread before that."""
        return self.pending().hung_up

    def peek(self) -> bytes:
        """What lies unread, a bounded part of it; it stays there."""
        return unread.peek(self.sock)
