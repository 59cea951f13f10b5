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
FIRST_DIAL_PAUSE = 2 * MILLI  # until a dial that failed locally is retried; doubles with each failure
MAX_DIAL_ATTEMPTS = 5  # within about 30 ms, after which the failure is reported
MAX_CONNECT_CALLS = 8  # per attempt, as signals may interrupt connect(2)
# Errnos of a connect(2) that repeats an interrupted one, and the errno that each stands for (0: connected).
REPEATED_CONNECT_ERRNOS = {errno.EALREADY: errno.EINPROGRESS, errno.EISCONN: 0}

DialCallback = Callable[[socket.socket | None, OSError | None], object]


def connect(
    loop: Loop,
    address: tuple[int, SocketAddress],
    timeout: int,
    on_done: DialCallback,
    source: str | None = None,
) -> Callable[[], None]:
    """Opens a connection to `address` (see `parse_address`) in at most `timeout` ns.

    `on_done(socket or None, error or None)` is called once, after this call has returned. `source`: the local
    IP address to connect from; the kernel picks the port. Returns a function that abandons the attempt; once
    it is called, `on_done` is not called any more.
    """
    return Dial(loop, address, timeout, on_done, source).cancel


class Dial:
    """A connection that is being opened.

    A failure that is local to this machine is retried a few times with backoff, as the attempt has had no
    effect on the other side.
    """

    __slots__ = (
        "loop",
        "family",
        "target",
        "on_done",
        "source",
        "sock",
        "timeout_timer",
        "retry_timer",
        "backoff",
        "attempt_count",
        "last_error",
    )

    def __init__(
        self,
        loop: Loop,
        address: tuple[int, SocketAddress],
        timeout: int,
        on_done: DialCallback,
        source: str | None,
    ) -> None:
        self.loop = loop
        self.family, self.target = address
        self.on_done: DialCallback | None = on_done  # None once it was called or the dial was cancelled
        self.source = source
        self.sock: socket.socket | None = None
        self.retry_timer: Timer | None = None
        self.last_error: OSError | None = None  # of the latest attempt that failed immediately
        self.backoff = Backoff(FIRST_DIAL_PAUSE, timeout)
        self.attempt_count = 0
        self.timeout_timer = loop.call_later(timeout, self._on_timeout)
        self._attempt()

    def _attempt(self) -> None:
        self.retry_timer = None
        self.attempt_count += 1
        try:
            sock = self._open()
            error_number = self._connect(sock)
        except OSError as error:
            self._handle_failed_attempt(error)
            return
        if error_number == errno.EINPROGRESS:
            self._watch(sock)
        elif error_number == 0:
            self.loop.call_soon(self._finish, None)
        else:
            self._handle_failed_attempt(OSError(error_number, os.strerror(error_number)))

    def _open(self) -> socket.socket:
        sock = socket.socket(self.family, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
        self.sock = sockets.configure(sock)
        if self.source is not None:
            # connect(2) picks the port instead of bind(2), and can use one port for several servers.
            sockets.enable_option(sock, socket.IPPROTO_IP, BIND_ADDRESS_NO_PORT)
            sock.bind((self.source, 0))
        return sock

    def _connect(self, sock: socket.socket) -> int:
        """Calls connect(2); returns its errno, or 0 if the socket is connected.

        The kernel goes on with an interrupted connect(2); a second call returns its state.
        """
        error_number = errno.EINTR
        for _ in range(MAX_CONNECT_CALLS):
            error_number = sock.connect_ex(self.target)
            if error_number != errno.EINTR:
                break
        return REPEATED_CONNECT_ERRNOS.get(error_number, error_number)

    def _watch(self, sock: socket.socket) -> None:
        try:
            self.loop.watch(sock.fileno(), WRITE, lambda events: self._read_connect_result(sock))
        except OSError as error:
            self._handle_failed_attempt(error)

    def _read_connect_result(self, sock: socket.socket) -> None:
        try:
            error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        except OSError as error:
            if is_transient(error):
                return  # epoll reports the descriptor again in the next turn
            self._finish(error)
            return
        self._finish(OSError(error_number, os.strerror(error_number)) if error_number else None)

    def _handle_failed_attempt(self, error: OSError) -> None:
        """Retries a failed attempt if its cause is local and may pass soon; otherwise reports the failure."""
        self.last_error = error
        self._close()
        if self.attempt_count > 1 and error.errno in SHORTAGE_ERRNOS:
            self.loop.relieve_shortage()  # a second failure in a row means a lasting shortage
        if self.attempt_count < MAX_DIAL_ATTEMPTS and self._is_local(error):
            self.retry_timer = self.loop.call_later(self.backoff.next_pause(), self._attempt)
        else:
            self.loop.call_soon(self._finish, error)

    def _is_local(self, error: OSError) -> bool:
        """Whether the failure is local to this machine and may pass.

        EAGAIN from a Unix socket is not local: it means that the server's backlog is full.
        """
        if self.family == socket.AF_UNIX and error.errno == errno.EAGAIN:
            return False
        return is_transient(error) or error.errno in LOCAL_ADDRESS_ERRNOS | LOCAL_NETWORK_ERRNOS

    def _finish(self, error: OSError | None) -> None:
        on_done, sock = self.on_done, self.sock
        if on_done is None:
            return
        if error is None and sock is not None:
            self.loop.unwatch(sock.fileno())
            self.sock = None  # `on_done` takes it over
        self.cancel()
        on_done(sock if error is None else None, error)

    def _on_timeout(self) -> None:
        self._finish(self.last_error if self.retry_timer is not None else TimeoutError("connect timed out"))

    def cancel(self) -> None:
        """Abandons the dial and releases its socket and timers; `on_done` is not called any more."""
        self.on_done = None
        self.timeout_timer.cancel()
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
        self._close()

    def _close(self) -> None:
        sock, self.sock = self.sock, None
        if sock is not None:
            self.loop.unwatch(sock.fileno())
            sockets.close_quietly(sock)
