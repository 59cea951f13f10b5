"""The reading half of a stream: reading, pausing, the end of the connection, and unread bytes."""

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
from gaproute.loop.unread import REMOTE_SHUTDOWN, PendingInput

READ_SIZE = 65536  # bytes read in one call
MAX_READS_TO_END = 128  # reads until the end of a connection; more than a full receive buffer needs
PEEK_FLAGS = socket.MSG_PEEK | socket.MSG_DONTWAIT
MAX_PEEKS = 5  # attempts to find out whether bytes are unread; if all fail, bytes are assumed

BytesHandler = Callable[[bytes], object]
EndHandler = Callable[[OSError | None], object]


class StreamReader(StreamWriter):
    """Reads a socket: calls `on_bytes(data)` for received bytes and `on_end(error or None)` once at the end.

    If `on_half_close` is set, it is called when the other side has shut down its sending. The stream does not
    end then, and writing goes on.
    """

    __slots__ = ("on_bytes", "on_end", "on_half_close", "paused_at", "unread_since")

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        on_bytes: BytesHandler,
        on_end: EndHandler,
        *,
        detect_hangup_early: bool = False,
    ) -> None:
        super().__init__(loop, sock, detect_hangup_early=detect_hangup_early)
        self.on_bytes, self.on_end = on_bytes, on_end
        self.on_half_close: Callable[[], object] | None = None
        # When reading was paused; None once all bytes that arrived during the pause have been read.
        self.paused_at: int | None = None
        self.unread_since: int | None = None  # the value of `paused_at` at the last read
        loop.watch(self.fd, self.events, self._handle_events)

    @abstractmethod
    def _finish(self, error: OSError | None) -> None:
        """Ends the stream."""

    def _handle_events(self, events: int) -> None:
        if events & WRITE:
            self._flush()
        if self.open and events & (READ | HANGUP | REMOTE_SHUTDOWN):
            if self.reading:
                self._read()
                if self.detect_hangup_early and events & REMOTE_SHUTDOWN:
                    self._read_rest()
            elif events & HANGUP:
                self._finish(ConnectionResetError(errno.ECONNRESET, "closed by the other side"))
            else:
                self._handle_remote_end()

    def _read(self) -> None:
        try:
            data = self.sock.recv(READ_SIZE)
        except OSError as error:
            if not is_transient(error):
                self._finish(error)
            return
        if data:
            self.loop.bytes_read += len(data)
            self.unread_since = self.paused_at
            if len(data) < READ_SIZE and self.reading:
                self.paused_at = None
            self.on_bytes(data)
        else:
            self._handle_remote_end()

    def _read_rest(self) -> None:
        """Reads in this turn all bytes that arrived before the other side closed."""
        for _ in range(MAX_READS_TO_END):
            if not self.open or not self.reading:
                return
            self._read()

    def read_now(self) -> None:
        """Reads now, without waiting until the loop reports the descriptor as readable."""
        if self.open and self.reading:
            self._read()

    def read_to_end(self) -> None:
        """Handles a close by the other side now: reads the bytes before it, or ends a paused stream."""
        if self.open and self.reading:
            self._read_rest()
        elif self.open:
            self._handle_remote_end()

    def _handle_remote_end(self) -> None:
        """Handles the end of what the other side sends; drops the unread bytes of a paused stream."""
        if self.on_half_close is None:
            self._finish(None)
        elif not self.half_closed:
            self.half_closed = True
            self.pause()
            self.on_half_close()

    def _handle_write_error(self, error: OSError) -> None:
        """Reads the bytes that have arrived, and ends the stream, as writing has failed."""
        for _ in range(MAX_READS_TO_END if self.reading else 0):
            try:
                data = self.sock.recv(READ_SIZE) if self.open else b""
            except BlockingIOError:
                break
            except OSError as read_error:
                if is_transient(read_error):
                    continue
                break
            if not data:
                break
            self.on_bytes(data)
        self._finish(error)

    def pause(self) -> None:
        """Stops reading until `resume`; bytes wait in the kernel's buffer, and then at the sender."""
        if self.reading and self.paused_at is None:
            self.paused_at = self.loop.now()
        self.reading = False
        self._update_events()

    def resume(self) -> None:
        """Reads again after `pause`."""
        self.reading = True
        self._update_events()

    # Unread bytes

    def unread_age(self) -> int:
        """How long the bytes that were read last may have been unread, ns; makes one system call.

        The kernel returns the age of the last bytes. Bytes that arrived while reading was paused may be as
        old as the pause. As the clocks of kernel and loop may differ, `Loop.unread_since` limits the kernel's
        age.
        """
        now = self.loop.now()
        paused = 0 if self.unread_since is None else now - self.unread_since
        bound = now - self.loop.unread_since(self.fd)
        return max(paused, min(unread.age_of_last_bytes(self.sock), bound))

    def is_quiet(self) -> bool:
        """Whether no bytes are unread and the other side has not closed; usually makes one system call."""
        for _ in range(MAX_PEEKS):
            try:
                self.sock.recv(1, PEEK_FLAGS)
            except BlockingIOError:
                return True
            except OSError as error:
                if not is_transient(error):
                    return False
            else:
                return False
        return False  # the state is unknown: bytes may be unread

    def pending(self) -> PendingInput:
        """Whether bytes or the end of the connection can be read; makes one system call."""
        return unread.pending(self.fd) if self.open else PendingInput(hung_up=True, unread=False)

    def hung_up(self) -> bool:
        """Whether the other side has closed or reset the connection, even if earlier bytes are unread."""
        return self.pending().hung_up

    def peek(self) -> bytes:
        """The unread bytes, up to `MAX_PEEK_BYTES`; they stay unread."""
        return unread.peek(self.sock)
