"""Opens connections over TCP (IPv4, IPv6) and Unix sockets."""

import errno
import os
import socket
from collections.abc import Callable

from gaproute.loop import sockets
from gaproute.loop.addresses import SocketAddress
from gaproute.loop.descriptors import WRITE
from gaproute.loop.faults import (
    LOCAL_ADDRESS_ERRNOS,
    LOCAL_NETWORK_ERRNOS,
    SHORTAGE_ERRNOS,
    Backoff,
    is_transient,
)
from gaproute.loop.loop import Loop
from gaproute.loop.timers import Timer
from gaproute.units import MILLI

BIND_ADDRESS_NO_PORT = 24  # IP_BIND_ADDRESS_NO_PORT of Linux, which the socket module does not name
FIRST_DIAL_PAUSE = 2 * MILLI  # until a dial that failed on this machine is retried; doubled with each failure
MAX_DIAL_ATTEMPTS = 5  # of one dial, in about 30 ms; then the failure is reported
MAX_CONNECT_CALLS = 8  # calls of connect(2) in one attempt, where signals interrupt it
# Errnos of a second connect(2) after an interrupted one that goes on, and what they mean.
CONNECT_CODES = {errno.EALREADY: errno.EINPROGRESS, errno.EISCONN: 0}

DialCallback = Callable[[socket.socket | None, OSError | None], object]


def connect(
    loop: Loop,
    where: tuple[int, SocketAddress],
    within: int,
    done: DialCallback,
    source: str | None = None,
) -> Callable[[], None]:
    """Opens a connection to `where` (see `parse_address`) in at most `within` ns.

    `done(socket or None, error or None)` is called once, and later. `source`: the local address to connect
    from, with any port. Returns a function that abandons the attempt; after it `done` is not called.
    """
    return Dial(loop, where, within, done, source).give_up


class Dial:
    """A connection that is being opened.

    A failure that concerns this machine alone is retried a few times with backoff, as the other side has not
    noticed anything.
    """

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
        "attempts",
        "fault",
    )

    def __init__(
        self,
        loop: Loop,
        where: tuple[int, SocketAddress],
        within: int,
        done: DialCallback,
        source: str | None,
    ) -> None:
        self.loop = loop
        self.family, self.target = where
        self.done: DialCallback | None = done  # None once it is over
        self.source = source
        self.sock: socket.socket | None = None
        self.retry: Timer | None = None
        self.fault: OSError | None = None  # of the latest attempt that failed at once
        self.backoff = Backoff(FIRST_DIAL_PAUSE, within)
        self.attempts = 0
        self.timer = loop.after(within, self._time_up)
        self._attempt()

    def _attempt(self) -> None:
        self.retry = None
        self.attempts += 1
        try:
            sock = self._open()
            code = self._connect(sock)
        except OSError as fault:
            self._failed(fault)
            return
        if code == errno.EINPROGRESS:
            self._watch(sock)
        elif code == 0:
            self.loop.soon(self._settle, None)
        else:
            self._failed(OSError(code, os.strerror(code)))

    def _open(self) -> socket.socket:
        sock = socket.socket(self.family, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
        self.sock = sockets.configure(sock)
        if self.source is not None:
            # The port is picked by connect(2), which may use one port for several servers; bind takes none.
            sockets.set_option(sock, socket.IPPROTO_IP, BIND_ADDRESS_NO_PORT)
            sock.bind((self.source, 0))
        return sock

    def _connect(self, sock: socket.socket) -> int:
        """Calls connect(2); returns its errno, or 0 if the socket is connected.

        An interrupted connect(2) goes on by itself, as a second call of it shows.
        """
        code = errno.EINTR
        for _ in range(MAX_CONNECT_CALLS):
            code = sock.connect_ex(self.target)
            if code != errno.EINTR:
                break
        return CONNECT_CODES.get(code, code)

    def _watch(self, sock: socket.socket) -> None:
        try:
            self.loop.watch(sock.fileno(), WRITE, lambda events: self._ready(sock))
        except OSError as fault:
            self._failed(fault)

    def _ready(self, sock: socket.socket) -> None:
        try:
            code = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError as fault:
            if is_transient(fault):
                return  # the next turn reports it again
            self._settle(fault)
            return
        self._settle(OSError(code, os.strerror(code)) if code else None)

    def _failed(self, fault: OSError) -> None:
        """Handles an attempt that failed immediately: retries it if the cause may pass soon."""
        self.fault = fault
        self._close()
        if self.attempts > 1 and fault.errno in SHORTAGE_ERRNOS:
            self.loop.relieve_shortage()  # a second failure is a shortage
        if self.attempts < MAX_DIAL_ATTEMPTS and self._is_local(fault):
            self.retry = self.loop.after(self.backoff.next_pause(), self._attempt)
        else:
            self.loop.soon(self._settle, fault)

    def _is_local(self, fault: OSError) -> bool:
        """Whether the failure concerns this machine alone and may pass.

        EAGAIN of a Unix socket means that the server's backlog is full, which is a refusal by the server.
        """
        if self.family == socket.AF_UNIX and fault.errno == errno.EAGAIN:
            return False
        return is_transient(fault) or fault.errno in LOCAL_ADDRESS_ERRNOS | LOCAL_NETWORK_ERRNOS

    def _settle(self, error: OSError | None) -> None:
        done, sock = self.done, self.sock
        if done is None:
            return
        if error is None and sock is not None:
            self.loop.unwatch(sock.fileno())
            self.sock = None  # handed over
        self.give_up()
        done(sock if error is None else None, error)

    def _time_up(self) -> None:
        self._settle(self.fault if self.retry is not None else TimeoutError("connect timed out"))

    def give_up(self) -> None:
        """Abandons the connection and releases its socket and timers; `done` is not called any more."""
        self.done = None
        self.timer.cancel()
        if self.retry is not None:
            self.retry.cancel()
            self.retry = None
        self._close()

    def _close(self) -> None:
        sock, self.sock = self.sock, None
        if sock is not None:
            self.loop.unwatch(sock.fileno())
            sockets.close_quietly(sock)
