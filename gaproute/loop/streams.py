"""Byte streams over TCP (IPv4, IPv6) and Unix sockets; `connecting` opens and accepts them."""

import errno
import fcntl
import socket
import struct
import termios

from gaproute.loop import unread
from gaproute.loop.faults import is_transient
from gaproute.loop.loop import HANGUP, MILLI, READ, WRITE
from gaproute.loop.unread import END, Pending

READ_SIZE = 65536  # bytes read in one call: a large socket buffer in few calls, small next to a body
READS = 128  # of what lies unread before an end: more than any receive buffer holds
# For so long after a look nobody looks again whether a client has closed: well within what may pass between
# its leaving and the last attempt that begins for it.
HANGUP_CHECK_INTERVAL = 20 * MILLI
WRITE_HIGH_WATER = 1 << 20  # bytes waiting to be written above which the writer is told to hold back
CLOSE_TIMEOUT = 30_000 * MILLI  # for the last bytes to be taken after a close; then the connection is reset
CLOSE_WAIT = 300 * MILLI  # for the other side to close too, once all is written: some round trips; what one
#                          that does not sends later meets a closed socket, as ever
PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT
PEEKS = 4  # looks at what lies unread that failed, until nothing is known of it
UNKNOWN = b"?"  # something may lie there


def address(text):
    """`127.0.0.1:80`, `[::1]:80`, `unix:/path` as (family, sockaddr). Errors: ValueError."""
    if text.startswith("unix:"):
        if len(text) < 6 or len(text) > 5 + 107:
            raise ValueError("a Unix socket path has 1 to 107 characters")
        return socket.AF_UNIX, text[5:]
    host, _, port = text.rpartition(":")
    if not port.isdigit() or not 0 <= int(port) <= 65535 or not host:
        raise ValueError("an address is HOST:PORT, [IPV6]:PORT or unix:PATH")
    if host.startswith("[") and host.endswith("]"):
        socket.inet_pton(socket.AF_INET6, host[1:-1])
        return socket.AF_INET6, (host[1:-1], int(port))
    try:
        socket.inet_pton(socket.AF_INET, host)
    except OSError as fault:
        raise ValueError(f"{host!r} is no IPv4 address") from fault
    return socket.AF_INET, (host, int(port))


class Stream:
    """A connected socket. `on_bytes(data)`, `on_end(error or None)` once; writes are buffered.

    With `on_half_close` set, the other side's end of sending calls it instead of ending the stream: writing
    goes on. With `hangup_first` the other side's end is heard in the turn in which it comes, however many
    bytes lie unread before it: for the side that works for a client, who may have left behind what it sent.

    `bytes_sent` counts the bytes that the kernel accepted: what a failure proves rests on it.
    """

    __slots__ = (
        "loop",
        "sock",
        "fd",
        "on_bytes",
        "on_end",
        "on_writable",
        "on_half_close",
        "hangup_first",
        "outgoing",
        "bytes_unsent",
        "bytes_sent",
        "closing",
        "reading",
        "wanted",
        "halved",
        "paused_at",
        "unread_since",
        "mask",
        "timer",
        "open",
    )

    def __init__(self, loop, sock, on_bytes, on_end, *, hangup_first=False):
        self.loop, self.sock, self.fd = loop, sock, sock.fileno()
        self.on_bytes, self.on_end, self.on_writable = on_bytes, on_end, None
        self.on_half_close, self.hangup_first = None, hangup_first
        self.outgoing, self.bytes_unsent, self.bytes_sent = [], 0, 0
        self.closing, self.reading, self.open = False, True, True
        self.wanted = False  # `try_begin` found no room: told by `on_writable`
        self.paused_at = None  # where it was: what came since then has not been read to its end yet
        self.unread_since = None  # what was read last came after that, where it was paused
        self.halved = False  # its end of sending was told: not to be told again and again
        self.mask, self.timer = READ | END if hangup_first else READ, None
        loop.watch(self.fd, self.mask, self._ready)

    def _ready(self, events):
        if events & WRITE:
            self._flush()
        if self.open and events & (READ | HANGUP | END):
            if self.reading:
                self._read()
                if self.hangup_first and events & END:
                    self._read_to_end()
            elif events & HANGUP:
                self._finish(ConnectionResetError(errno.ECONNRESET, "closed by the other side"))
            else:
                self._half()

    def _read_to_end(self):
        """All that lies before the other side's end is there already: it is read in this turn."""
        for _ in range(READS):
            if not self.open or not self.reading:
                return
            self._read()

    def _read(self):
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
            self._half()

    def unread_age(self):
        """How long what was read last may have lain unread, ns: one system call.

        The kernel tells when the last bytes came. What came before them in a pause may be as old as that.
        The kernel's clock need not be the loop's: no age counts that the loop's own polls rule out.
        """
        now = self.loop.now()
        paused = 0 if self.unread_since is None else now - self.unread_since
        bound = now - self.loop.unread_since(self.fd)
        return max(paused, min(unread.age_of_last_bytes(self.sock), bound))

    def read_now(self):
        """Read what waits before the loop comes to it."""
        if self.open and self.reading:
            self._read()

    def _half(self):
        """The other side sends no more; what lies unread of a paused stream is not read any more."""
        if self.on_half_close is None:
            self._finish(None)
        elif not self.halved:
            self.halved = True
            self.pause()
            self.on_half_close()

    def write(self, data):
        """Queue bytes; what the kernel takes at once goes at once. Returns whether there is room for more."""
        if not self.open or self.closing:
            return False
        if self.outgoing:
            self.outgoing.append(data)
            self.bytes_unsent += len(data)
        else:
            sent = self._send(data)
            if sent is not None and sent < len(data):
                self.outgoing.append(memoryview(data)[sent:])
                self.bytes_unsent += len(data) - sent
                self._watch()
        return self.bytes_unsent < WRITE_HIGH_WATER

    def try_begin(self, data):
        """As `write`, but what has not begun never waits here: False where the kernel took no byte of it.
        `on_writable` then says when to try again."""
        if not self.open or self.closing:
            return False
        sent = 0 if self.outgoing else self._send(data)
        if sent and sent < len(data):
            self.outgoing.append(memoryview(data)[sent:])
            self.bytes_unsent += len(data) - sent
        self.wanted = sent == 0
        self._watch()
        return bool(sent)

    def _send(self, data):
        try:
            sent = self.sock.send(data)
        except OSError as fault:
            if is_transient(fault):
                return 0
            self.loop.soon(self._broken, fault)
            return None
        self.bytes_sent += sent
        return sent

    def _broken(self, fault):
        """Writing failed: what the other side had said before its end counts, and is read first."""
        for _ in range(READS if self.reading else 0):
            try:
                data = self.sock.recv(READ_SIZE) if self.open else b""
            except BlockingIOError:
                break
            except OSError as wrong:
                if is_transient(wrong):
                    continue
                break
            if not data:
                break
            self.on_bytes(data)
        self._finish(fault)

    def _flush(self):
        while self.outgoing:
            sent = self._send(self.outgoing[0])
            if sent is None:
                return
            self.bytes_unsent -= sent
            if sent < len(self.outgoing[0]):
                self.outgoing[0] = memoryview(self.outgoing[0])[sent:]
                return
            self.outgoing.pop(0)
        if self.closing:
            self._farewell()
            return
        self.wanted = False
        self._watch()
        if self.on_writable is not None:
            self.on_writable()

    def _watch(self):
        if self.reading:
            mask = READ | END if self.hangup_first and not self.halved else READ
        else:
            mask = 0 if self.halved else END
        mask |= WRITE if self.outgoing or self.wanted else 0
        if self.open and mask != self.mask:
            self.mask = mask
            self.loop.rewatch(self.fd, mask)

    def pause(self):
        if self.reading and self.paused_at is None:
            self.paused_at = self.loop.now()
        self.reading = False
        self._watch()

    def resume(self):
        self.reading = True
        self._watch()

    def is_quiet(self):
        """Whether nothing lies unread and the other side has not closed: one system call."""
        try:
            self.sock.recv(1, PEEK)
        except BlockingIOError:
            return True
        except OSError as fault:
            return self._peek_again(fault) is None
        return False

    def pending(self):
        """What the kernel has of the other side that has not been read yet: one system call."""
        return unread.pending(self.fd) if self.open else Pending(hung_up=True, unread=False)

    def hung_up(self):
        """Whether the other side has closed or reset, also where bytes lie unread before that."""
        return self.pending().hung_up

    def peek(self):
        """What lies unread, a bounded part of it; it stays there."""
        return unread.peek(self.sock)

    def read_to_end(self):
        """The other side has closed: what lies before that is read now, also where nothing was to be read."""
        if self.open and self.reading:
            self._read_to_end()
        elif self.open:
            self._half()

    def _peek_again(self, fault):
        """What lies unread where a look at it failed: None for nothing, b"" for the end."""
        for _ in range(PEEKS):
            if not is_transient(fault):
                return b""
            try:
                return self.sock.recv(1, PEEK)
            except BlockingIOError:
                return None
            except OSError as again:
                fault = again
        return UNKNOWN

    def release(self):
        """Gives the descriptor up, open and no longer watched; no further callbacks."""
        self.on_bytes, self.on_end, self.open = _nothing, _nothing, False
        self.loop.unwatch(self.fd)
        return self.sock.detach()

    def close(self, closed=None):
        """Hands over what was written, says that no more comes and reads until the other side closes too, for
        a while. `closed(error)` once the descriptor is given back; no other callbacks.

        Guards the last answer: a socket closed with bytes unread, or written to after its close, is reset,
        and a reset can destroy what is in flight. It costs the
        descriptors of `loop.closing_streams` for as long.
        """
        if self.closing or not self.open:
            return
        self.on_bytes, self.on_end, self.on_half_close = _nothing, closed or _nothing, None
        if not self.outgoing and not self.bytes_sent:
            self._finish(None)  # nothing of ours is in flight
            return
        self.closing = True
        self.loop.closing_streams[self] = self.loop.now()
        if self.outgoing:  # nothing is read meanwhile: an end read now would end it
            self.halved = True
            self.pause()
            self.timer = self.loop.after(CLOSE_TIMEOUT, self.reset)
        else:
            self._farewell()

    def _farewell(self):
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # reset already: reading tells
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.after(CLOSE_WAIT, self.finish_close, self.loop.now() + CLOSE_TIMEOUT)
        self.resume()
        self._read()

    def finish_close(self, until=0):
        """The other side has not closed: left to the kernel, by then at the latest, once that has nothing of
        ours unacknowledged."""
        if not self.is_acknowledged() and self.loop.now() < until:
            self.timer = self.loop.after(CLOSE_WAIT, self.finish_close, until)
        else:
            self._finish(None)

    def is_acknowledged(self):
        """Whether the other side has acknowledged all that was written."""
        try:
            held = int.from_bytes(fcntl.ioctl(self.fd, termios.TIOCOUTQ, bytes(4)), "little")
        except OSError:  # no such figure here: taken
            held = 0
        return not self.outgoing and not held

    def abort(self):
        """Closes at once with a reset; no further callbacks."""
        self.on_end = _nothing
        self.reset()

    def reset(self):
        """Closes at once with a reset."""
        if self.open:
            try:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            except OSError:
                pass
            self._finish(None)

    def _finish(self, error):
        if self.open:
            self._shut()
            self.on_end(error)

    def _shut(self):
        if self.open:
            self.open = False
            self.outgoing, self.bytes_unsent = [], 0
            self.loop.closing_streams.pop(self, None)
            if self.timer is not None:
                self.timer.cancel()
            self.loop.unwatch(self.fd)
            try:
                self.sock.close()
            except OSError:
                pass  # Linux gives the descriptor back whatever error close(2) tells


def _nothing(*_):
    pass
