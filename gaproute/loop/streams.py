"""Byte streams over TCP (IPv4, IPv6) and Unix sockets; `connecting` opens and accepts them."""

import errno
import fcntl
import select
import socket
import struct
import termios

from gaproute.loop.faults import is_momentary
from gaproute.loop.loop import GONE, MILLI, READ, WRITE

CHUNK = 65536  # bytes read in one call: a large socket buffer in few calls, small next to a body
READS = 128  # of what lies unread when writing fails: more than any receive buffer holds
HIGH = 1 << 20  # bytes waiting to be written above which the writer is told to hold back
LINGER = 30_000 * MILLI  # for the last bytes to be taken after a close; then the connection is reset
FAREWELL = 300 * MILLI  # for the other side to close too, once all is written: some round trips; what one
#                          that does not sends later meets a closed socket, as ever
PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT
PEEKS = 4  # looks at what lies unread that failed, until nothing is known of it
UNKNOWN = b"?"  # something may lie there
END = select.EPOLLRDHUP  # the other side sends no more: told also while nothing is read


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

    With `on_half` set, the other side's end of sending calls it instead of ending the stream: writing goes
    on.

    `handed` counts the bytes that the kernel accepted: what a failure proves rests on it.
    """

    __slots__ = (
        "loop",
        "sock",
        "fd",
        "on_bytes",
        "on_end",
        "on_room",
        "on_half",
        "out",
        "waiting",
        "handed",
        "closing",
        "reading",
        "wanted",
        "halved",
        "mask",
        "timer",
        "open",
    )

    def __init__(self, loop, sock, on_bytes, on_end):
        self.loop, self.sock, self.fd = loop, sock, sock.fileno()
        self.on_bytes, self.on_end, self.on_room = on_bytes, on_end, None
        self.on_half = None
        self.out, self.waiting, self.handed = [], 0, 0
        self.closing, self.reading, self.open = False, True, True
        self.wanted = False  # `begin` found no room: told by `on_room`
        self.halved = False  # its end of sending was told: not to be told again and again
        self.mask, self.timer = READ, None
        loop.watch(self.fd, READ, self._ready)

    def _ready(self, events):
        if events & WRITE:
            self._flush()
        if self.open and events & (READ | GONE | END):
            if self.reading:
                self._read()
            elif events & GONE:
                self._finish(ConnectionResetError(errno.ECONNRESET, "closed by the other side"))
            else:
                self._half()

    def _read(self):
        try:
            data = self.sock.recv(CHUNK)
        except OSError as fault:
            if not is_momentary(fault):
                self._finish(fault)
            return
        if data:
            self.on_bytes(data)
        else:
            self._half()

    def look(self):
        """Read what waits before the loop comes to it."""
        if self.open and self.reading:
            self._read()

    def _half(self):
        """The other side sends no more; what lies unread of a paused stream is not read any more."""
        if self.on_half is None:
            self._finish(None)
        elif not self.halved:
            self.halved = True
            self.pause()
            self.on_half()

    def write(self, data):
        """Queue bytes; what the kernel takes at once goes at once. Returns whether there is room for more."""
        if not self.open or self.closing:
            return False
        if self.out:
            self.out.append(data)
            self.waiting += len(data)
        else:
            sent = self._send(data)
            if sent is not None and sent < len(data):
                self.out.append(memoryview(data)[sent:])
                self.waiting += len(data) - sent
                self._watch()
        return self.waiting < HIGH

    def begin(self, data):
        """As `write`, but what has not begun never waits here: False where the kernel took no byte of it.
        `on_room` then says when to try again."""
        if not self.open or self.closing:
            return False
        sent = 0 if self.out else self._send(data)
        if sent and sent < len(data):
            self.out.append(memoryview(data)[sent:])
            self.waiting += len(data) - sent
        self.wanted = sent == 0
        self._watch()
        return bool(sent)

    def _send(self, data):
        try:
            sent = self.sock.send(data)
        except OSError as fault:
            if is_momentary(fault):
                return 0
            self.loop.soon(self._broken, fault)
            return None
        self.handed += sent
        return sent

    def _broken(self, fault):
        """Writing failed: what the other side had said before its end counts, and is read first."""
        for _ in range(READS if self.reading else 0):
            try:
                data = self.sock.recv(CHUNK) if self.open else b""
            except BlockingIOError:
                break
            except OSError as wrong:
                if is_momentary(wrong):
                    continue
                break
            if not data:
                break
            self.on_bytes(data)
        self._finish(fault)

    def _flush(self):
        while self.out:
            sent = self._send(self.out[0])
            if sent is None:
                return
            self.waiting -= sent
            if sent < len(self.out[0]):
                self.out[0] = memoryview(self.out[0])[sent:]
                return
            self.out.pop(0)
        if self.closing:
            self._farewell()
            return
        self.wanted = False
        self._watch()
        if self.on_room is not None:
            self.on_room()

    def _watch(self):
        mask = (READ if self.reading else 0 if self.halved else END) | (
            WRITE if self.out or self.wanted else 0
        )
        if self.open and mask != self.mask:
            self.mask = mask
            self.loop.rewatch(self.fd, mask)

    def pause(self):
        self.reading = False
        self._watch()

    def resume(self):
        self.reading = True
        self._watch()

    def quiet(self):
        """Whether nothing lies unread and the other side has not closed: one system call."""
        try:
            self.sock.recv(1, PEEK)
        except BlockingIOError:
            return True
        except OSError as fault:
            return self._peek_again(fault) is None
        return False

    def ended(self):
        """Whether the other side has closed behind the bytes read so far: one system call."""
        try:
            return not self.sock.recv(1, PEEK)
        except BlockingIOError:
            return False
        except OSError as fault:
            return self._peek_again(fault) == b""

    def _peek_again(self, fault):
        """What lies unread where a look at it failed: None for nothing, b"" for the end."""
        for _ in range(PEEKS):
            if not is_momentary(fault):
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
        and a reset can destroy what is in flight. Harms by the descriptors held: `loop.leaving` has them.
        """
        if self.closing or not self.open:
            return
        self.on_bytes, self.on_end, self.on_half = _nothing, closed or _nothing, None
        if not self.out and not self.handed:
            self._finish(None)  # nothing of ours is in flight
            return
        self.closing = True
        self.loop.leaving[self] = self.loop.now()
        if self.out:  # nothing is read meanwhile: an end read now would end it
            self.halved = True
            self.pause()
            self.timer = self.loop.after(LINGER, self.cut)
        else:
            self._farewell()

    def _farewell(self):
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass  # reset already: reading tells
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.loop.after(FAREWELL, self.part, self.loop.now() + LINGER)
        self.resume()
        self._read()

    def part(self, until=0):
        """The other side has not closed: left to the kernel, by then at the latest, once that has nothing of
        ours unacknowledged."""
        try:
            held = int.from_bytes(fcntl.ioctl(self.fd, termios.TIOCOUTQ, bytes(4)), "little")
        except OSError:  # no such figure here: taken
            held = 0
        if held and self.loop.now() < until:
            self.timer = self.loop.after(FAREWELL, self.part, until)
        else:
            self._finish(None)

    def abort(self):
        """Closes at once with a reset; no further callbacks."""
        self.on_end = _nothing
        self.cut()

    def cut(self):
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
            self.out, self.waiting = [], 0
            self.loop.leaving.pop(self, None)
            if self.timer is not None:
                self.timer.cancel()
            self.loop.unwatch(self.fd)
            try:
                self.sock.close()
            except OSError:
                pass  # Linux gives the descriptor back whatever error close(2) tells


def _nothing(*_):
    pass
