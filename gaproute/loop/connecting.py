"""What opens streams over TCP (IPv4, IPv6) and Unix sockets, and what accepts them."""

import errno
import os
import socket
import stat

from gaproute.loop.faults import (
    FAILED_CONNECTION_ERRNOS,
    LOCAL_ADDRESS_ERRNOS,
    LOCAL_NETWORK_ERRNOS,
    SHORTAGE_ERRNOS,
    Backoff,
    is_transient,
)
from gaproute.loop.loop import MILLI, READ, WRITE

ACCEPTS = 32  # connections accepted in one turn, so that tasks in flight get their share of it
MAX_FAILED_ACCEPTS = 16  # connections in a row that failed before they were accepted, in one call
BIND_ADDRESS_NO_PORT = 24  # IP_BIND_ADDRESS_NO_PORT of Linux, which the socket module does not name
ACCEPT_FIRST, ACCEPT_LONGEST = 2 * MILLI, 50 * MILLI  # for which accepting rests when descriptors run out
ACCEPT_RETRY_PAUSE = 5 * MILLI  # until those that wait at a stop, and could not be accepted, are tried again
FIRST_DIAL_PAUSE = 2 * MILLI  # until a dial that failed on this machine is retried; doubled with each failure
MAX_DIAL_ATTEMPTS = 5  # tries of one dial: some 30 ms in all, then whoever wants it hears of it
CONNECTS = 8  # calls of connect(2) that were interrupted, in one try


def short(loop, fault):
    """Whether no descriptor was to be had: some who rest at admission then go, for the next try."""
    if fault.errno not in SHORTAGE_ERRNOS:
        return False
    if loop.connections is not None:
        loop.connections.make_room()
    return True


def _set_option(sock, level, option):
    """Switches on what a connection is better with and can be without."""
    try:
        sock.setsockopt(level, option, 1)
    except OSError:
        pass


def _tuned(sock):
    sock.setblocking(False)
    if sock.family != socket.AF_UNIX:
        _set_option(sock, socket.IPPROTO_TCP, socket.TCP_NODELAY)
    return sock


def close_quietly(sock):
    """Closes a socket; Linux gives the descriptor back whatever error close(2) tells."""
    try:
        sock.close()
    except OSError:
        pass


def connect(loop, where, within, done, source=None):
    """Opens a connection to `where` (see `address`); `done(socket or None, error or None)` once, never at
    once. `source`: the own address that it is to come from, any port.

    Returns a call that gives up; after it `done` is not called.
    """
    return Dial(loop, where, within, done, source).give_up


class Dial:
    """A connection that is being opened. What fails on this machine alone is begun again a few times, with
    pauses that grow: until then nobody has seen anything of it."""

    __slots__ = (
        "loop",
        "family",
        "target",
        "done",
        "source",
        "sock",
        "timer",
        "retry",
        "backoff",
        "tries",
        "fault",
    )

    def __init__(self, loop, where, within, done, source):
        self.loop, self.done, self.source = loop, done, source
        self.family, self.target = where
        self.sock = self.retry = self.fault = None
        self.backoff, self.tries = Backoff(FIRST_DIAL_PAUSE, within), 0
        self.timer = loop.after(within, self._time_up)
        self._begin()

    def _begin(self):
        self.retry, self.tries = None, self.tries + 1
        try:
            self._open()
            code = self._connect()
        except OSError as fault:
            self._failed(fault)
            return
        if code == errno.EINPROGRESS:
            self._watch()
        elif code == 0:
            self.loop.soon(self._settle, None)
        else:
            self._failed(OSError(code, os.strerror(code)))

    def _open(self):
        self.sock = _tuned(socket.socket(self.family, socket.SOCK_STREAM | socket.SOCK_CLOEXEC))
        if self.source is not None:
            # The port is picked at the connect: one may serve for several servers, and none is used up here.
            _set_option(self.sock, socket.IPPROTO_IP, BIND_ADDRESS_NO_PORT)
            self.sock.bind((self.source, 0))

    def _connect(self):
        """The number of the error, 0 once it stands. An interrupted connect(2) goes on by itself, and says so
        when it is called again."""
        code = errno.EINTR
        for _ in range(CONNECTS):
            code = self.sock.connect_ex(self.target)
            if code != errno.EINTR:
                break
        return {errno.EALREADY: errno.EINPROGRESS, errno.EISCONN: 0}.get(code, code)

    def _watch(self):
        try:
            self.loop.watch(self.sock.fileno(), WRITE, self._ready)
        except OSError as fault:
            self._failed(fault)

    def _ready(self, events):
        try:
            code = self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError as fault:
            if is_transient(fault):
                return  # the next turn tells it again
            code = fault.errno
        self._settle(OSError(code, os.strerror(code)) if code else None)

    def _failed(self, fault):
        """This try has come to nothing, at once: one of this machine's own troubles may be over soon."""
        self.fault = fault
        self._close()
        if self.tries > 1:
            short(self.loop, fault)  # a second failure is a shortage
        if self.tries < MAX_DIAL_ATTEMPTS and self._is_own(fault):
            self.retry = self.loop.after(self.backoff.next_pause(), self._begin)
        else:
            self.loop.soon(self._settle, fault)

    def _is_own(self, fault):
        """Whether the failure is of this machine and may pass. A Unix socket whose backlog is full says
        EAGAIN: it is refused like any other."""
        if self.family == socket.AF_UNIX and fault.errno == errno.EAGAIN:
            return False
        return is_transient(fault) or fault.errno in LOCAL_ADDRESS_ERRNOS | LOCAL_NETWORK_ERRNOS

    def _settle(self, error):
        done, sock = self.done, self.sock
        if done is None:
            return
        if error is None:
            self.loop.unwatch(sock.fileno())
            self.sock = None  # handed over
        self.give_up()
        done(sock if error is None else None, error)

    def _time_up(self):
        self._settle(TimeoutError("connect timed out") if self.retry is None else self.fault)

    def give_up(self):
        """Ends it and leaves nothing behind; nothing is called any more."""
        self.done = None
        self.timer.cancel()
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None
        self._close()

    def _close(self):
        sock, self.sock = self.sock, None
        if sock is not None:
            self.loop.unwatch(sock.fileno())
            close_quietly(sock)


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
        close_quietly(sock)
        raise
    return sock


class Listener:
    """Accepts on one address; `on_socket(sock)` for each connection. Rests when descriptors run out.

    `inherited`: a listening socket that another process opened and goes on owning.
    With `on_ready` in its place, that is called while connections wait, and `accept` takes them.
    `address`: where it listens, as text, with the port that the kernel picked. Errors: OSError.
    """

    def __init__(self, loop, where, on_socket, backlog=4096, on_ready=None, inherited=None):
        self.loop, self.on_socket, self.on_ready, self.pauses = loop, on_socket, on_ready, 0
        self.backoff = Backoff(ACCEPT_FIRST, ACCEPT_LONGEST)
        self.empty = False  # whether the last `accept` found nobody waiting
        self.pause_timer = None  # timer of the end of a rest
        self.backlog_since = None  # since when connections may wait that were not accepted yet
        family, target = where
        self.path = target if family == socket.AF_UNIX and inherited is None else None
        self.sock = listening(where, backlog) if inherited is None else inherited
        try:
            self.sock.setblocking(False)
            self.address = address_of(self.sock)
            loop.watch(self.sock.fileno(), READ, self._ready)
        except OSError:
            if inherited is None:
                self.close()
            raise

    def _ready(self, events):
        if self.backlog_since is None:
            self.backlog_since = self.loop.previous_poll_at
        if self.on_ready is not None:
            self.on_ready()
            return
        for _ in range(ACCEPTS):
            came = self.accept()
            if came is None:
                return
            self.on_socket(came[0])

    def accept(self):
        """(socket, its client's address) of one that waits, or None: nobody waits (`empty`), or none can be
        had now."""
        self.empty = False
        for _ in range(MAX_FAILED_ACCEPTS):
            if self.sock.fileno() < 0:
                return None
            try:
                sock, address = self.sock.accept()
            except BlockingIOError:
                self.empty = True
                self.backlog_since = None
                return None
            except OSError as fault:
                if fault.errno in FAILED_CONNECTION_ERRNOS:
                    continue  # that one is gone: the next
                self._give_way(fault)
                return None
            self.backoff.reset()
            self._note_wait(sock.fileno())
            return _tuned(sock), address
        self.pause(self.backoff.next_pause())  # perhaps it is always the same one
        return None

    def _note_wait(self, fd):
        """How long the connection may have waited here: its first bytes may be as old."""
        if self.backlog_since is None:
            self.loop.backlogged_since.pop(fd, None)
        else:
            self.loop.backlogged_since[fd] = self.backlog_since

    def _give_way(self, fault):
        """Nothing can be accepted for a while. A second failure in a row is a shortage."""
        repeated = self.backoff.has_failed
        self.pause(self.backoff.next_pause())
        if fault.errno not in SHORTAGE_ERRNOS:
            raise fault
        if repeated:
            short(self.loop, fault)

    def accept_all(self, take):
        """`take(socket, address)` of each that waits; whether nobody waits any more."""
        while (came := self.accept()) is not None:
            take(*came)
        return self.backlog_empty

    @property
    def backlog_empty(self):
        """Whether the last `accept` found nobody waiting, or nobody can wait any more."""
        return self.empty or self.sock.fileno() < 0

    def pause(self, span):
        """Accepts nothing for a while; what comes waits in the kernel."""
        self.pauses += 1
        if self.backlog_since is None:
            self.backlog_since = self.loop.now()
        self.loop.unwatch(self.sock.fileno())
        self._cancel_pause()
        self.pause_timer = self.loop.after(span, self._resume)

    def _cancel_pause(self):
        if self.pause_timer is not None:
            self.pause_timer.cancel()
            self.pause_timer = None

    def _resume(self):
        self.pause_timer = None
        fd = self.sock.fileno()
        if fd >= 0 and fd not in self.loop.watched:
            self.loop.watch(fd, READ, self._ready)

    def close(self):
        """Gives the address up; what waits in the kernel's queue is reset."""
        self._cancel_pause()
        if self.sock.fileno() >= 0:
            self.loop.unwatch(self.sock.fileno())
            close_quietly(self.sock)
            if self.path is not None:
                try:
                    os.unlink(self.path)
                except FileNotFoundError:
                    pass


def address_of(sock):
    """Where a socket is bound, as text. Errors: OSError."""
    if sock.family == socket.AF_UNIX:
        return f"unix:{sock.getsockname()}"
    host, port = sock.getsockname()[:2]
    return f"[{host}]:{port}" if ":" in host else f"{host}:{port}"


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
