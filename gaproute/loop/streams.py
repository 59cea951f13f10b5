"""Byte streams over TCP (IPv4, IPv6) and Unix sockets, and what accepts and opens them."""
import errno
import fcntl
import os
import select
import socket
import stat
import struct
import termios

from gaproute.loop.loop import GONE, MILLI, READ, WRITE

CHUNK = 65536            # bytes read in one call: a large socket buffer in few calls, small next to a body
READS = 128              # of what lies unread when writing fails: more than any receive buffer holds
HIGH = 1 << 20           # bytes waiting to be written above which the writer is told to hold back
ACCEPTS = 32             # connections accepted in one turn, so that tasks in flight get their share of it
BIND_ADDRESS_NO_PORT = 24  # IP_BIND_ADDRESS_NO_PORT of Linux, which the socket module does not name
LINGER = 30_000 * MILLI    # for the last bytes to be taken after a close; then the connection is reset
FAREWELL = 300 * MILLI   # for the other side to close too, once all is written: some round trips; what one
#                          that does not sends later meets a closed socket, as ever
NO_FD_PAUSE = 100 * MILLI    # accepting rests this long when descriptors run out, rather than spin
END = select.EPOLLRDHUP  # the other side sends no more: told also while nothing is read
SHORT_OF_FDS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


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
        self.halved = False      # its end of sending was told: not to be told again and again
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
        except (BlockingIOError, InterruptedError):
            return
        except OSError as fault:
            self._finish(fault)
            return
        if data:
            self.on_bytes(data)
        else:
            self._half()

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

    def _send(self, data):
        try:
            sent = self.sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError as fault:
            self.loop.soon(self._broken, fault)
            return None
        self.handed += sent
        return sent

    def _broken(self, fault):
        """Writing failed: what the other side had said before its end counts, and is read first."""
        for _ in range(READS if self.reading else 0):
            try:
                data = self.sock.recv(CHUNK) if self.open else b""
            except OSError:
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
        self._watch()
        if self.on_room is not None:
            self.on_room()

    def _watch(self):
        mask = (READ if self.reading else 0 if self.halved else END) | (WRITE if self.out else 0)
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
            self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return True
        except OSError:
            pass
        return False

    def ended(self):
        """Whether the other side has closed behind the bytes read so far: one system call."""
        try:
            return not self.sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except (BlockingIOError, InterruptedError):
            return False
        except OSError:
            return True

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
            self._finish(None)               # nothing of ours is in flight
            return
        self.closing = True
        self.loop.leaving[self] = self.loop.now()
        if self.out:                         # nothing is read meanwhile: an end read now would end it
            self.halved = True
            self.pause()
            self.timer = self.loop.after(LINGER, self.cut)
        else:
            self._farewell()

    def _farewell(self):
        try:
            self.sock.shutdown(socket.SHUT_WR)
        except OSError:
            pass                             # reset already: reading tells
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
        except OSError:                      # no such figure here: taken
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
            self.sock.close()


def _nothing(*_):
    pass


def short(loop, fault):
    """Whether no descriptor was to be had: some who rest at the door then go, for the next try."""
    if fault.errno not in SHORT_OF_FDS:
        return False
    if loop.patient is not None:
        loop.patient.make_room()
    return True


def _tuned(sock):
    sock.setblocking(False)
    if sock.family != socket.AF_UNIX:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def connect(loop, where, within, done, source=None):
    """Opens a connection to `where` (see `address`); `done(socket or None, error or None)` once, never at
    once. `source`: the own address that it is to come from, any port.

    Returns a call that gives up; after it `done` is not called.
    """
    family, target = where
    try:
        sock = _tuned(socket.socket(family, socket.SOCK_STREAM | socket.SOCK_CLOEXEC))
        if source is not None:
            # The port is picked at the connect: one may serve for several servers, and none is used up here.
            sock.setsockopt(socket.IPPROTO_IP, BIND_ADDRESS_NO_PORT, 1)
            sock.bind((source, 0))
    except OSError as fault:
        short(loop, fault)
        loop.soon(done, None, fault)
        return _nothing
    code = sock.connect_ex(target)
    over = []

    def settle(error):
        if over:
            return
        over.append(True)
        loop.unwatch(sock.fileno())
        timer.cancel()
        if error is None:
            done(sock, None)
        else:
            sock.close()
            done(None, error)

    def ready(events):
        fault = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        settle(OSError(fault, os.strerror(fault)) if fault else None)

    def give_up():
        if not over:
            over.append(True)
            loop.unwatch(sock.fileno())
            timer.cancel()
            sock.close()

    timer = loop.after(within, settle, TimeoutError("connect timed out"))
    if code == 0:
        loop.soon(settle, None)
    elif code == errno.EINPROGRESS:
        loop.watch(sock.fileno(), WRITE, ready)
    else:     # a Unix socket whose backlog is full says EAGAIN: it is refused like any other
        loop.soon(settle, OSError(code, os.strerror(code)))
    return give_up


def listening(where, backlog=4096):
    """A socket that listens. Errors: OSError."""
    family, target = where
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
    try:
        if family != socket.AF_UNIX:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if family == socket.AF_INET6:
                sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        else:
            _clear_stale(target)
        sock.bind(target)
        sock.listen(backlog)
    except OSError:
        sock.close()
        raise
    return sock


class Listener:
    """Accepts on one address; `on_socket(sock)` for each connection. Rests when descriptors run out.

    `inherited`: a listening socket that another process opened and goes on owning.
    With `on_ready` in its place, that is called while connections wait, and `accept` takes them.
    """

    def __init__(self, loop, where, on_socket, backlog=4096, on_ready=None, inherited=None):
        self.loop, self.on_socket, self.on_ready, self.rests = loop, on_socket, on_ready, 0
        family, target = where
        self.path = target if family == socket.AF_UNIX and inherited is None else None
        self.sock = listening(where, backlog) if inherited is None else inherited
        self.sock.setblocking(False)
        loop.watch(self.sock.fileno(), READ, self._ready)

    @property
    def address(self):
        """Where it listens, as text, with the port that the kernel picked."""
        if self.sock.family == socket.AF_UNIX:
            return f"unix:{self.sock.getsockname()}"
        host, port = self.sock.getsockname()[:2]
        return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"

    def _ready(self, events):
        if self.on_ready is not None:
            self.on_ready()
            return
        for _ in range(ACCEPTS):
            came = self.accept()
            if came is None:
                return
            self.on_socket(came[0])

    def accept(self):
        """(socket, its client's address) of one that waits, or None."""
        if self.sock.fileno() < 0:
            return None
        try:
            sock, address = self.sock.accept()
            return _tuned(sock), address
        except (BlockingIOError, InterruptedError, ConnectionAbortedError):
            return None
        except OSError as fault:
            if fault.errno not in SHORT_OF_FDS:
                raise
            short(self.loop, fault)
            self.rest(NO_FD_PAUSE)
            return None

    def rest(self, span):
        """Accepts nothing for a while; what comes waits in the kernel."""
        self.rests += 1
        self.loop.unwatch(self.sock.fileno())
        self.loop.after(span, self._again)

    def _again(self):
        fd = self.sock.fileno()
        if fd >= 0 and fd not in self.loop.watched:
            self.loop.watch(fd, READ, self._ready)

    def close(self):
        if self.sock.fileno() >= 0:
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()
            if self.path is not None:
                try:
                    os.unlink(self.path)
                except FileNotFoundError:
                    pass


def _clear_stale(path):
    """A socket file that nobody listens on is removed; a live one is never stolen (bind then fails)."""
    try:
        if not stat.S_ISSOCK(os.stat(path).st_mode):
            return
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as trial:
            trial.connect(path)
    except ConnectionRefusedError:
        os.unlink(path)
    except FileNotFoundError:
        pass
