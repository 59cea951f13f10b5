"""What opens streams over TCP (IPv4, IPv6) and Unix sockets, and what accepts them."""

import errno
import os
import socket
import stat

from gaproute.loop.loop import MILLI, READ, WRITE

ACCEPTS = 32  # connections accepted in one turn, so that tasks in flight get their share of it
BIND_ADDRESS_NO_PORT = 24  # IP_BIND_ADDRESS_NO_PORT of Linux, which the socket module does not name
NO_FD_PAUSE = 100 * MILLI  # accepting rests this long when descriptors run out, rather than spin
SHORT_OF_FDS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def short(loop, fault):
    """Whether no descriptor was to be had: some who rest at admission then go, for the next try."""
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
    (family, target), sock, over = where, None, []
    try:
        sock = _tuned(socket.socket(family, socket.SOCK_STREAM | socket.SOCK_CLOEXEC))
        if source is not None:
            # The port is picked at the connect: one may serve for several servers, and none is used up here.
            sock.setsockopt(socket.IPPROTO_IP, BIND_ADDRESS_NO_PORT, 1)
            sock.bind((source, 0))
    except OSError as fault:
        if sock is not None:
            sock.close()
        short(loop, fault)
        loop.soon(lambda error: over or done(None, error), fault)
        return lambda: over.append(True)
    code = sock.connect_ex(target)

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
    else:  # a Unix socket whose backlog is full says EAGAIN: it is refused like any other
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
