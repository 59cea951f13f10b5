"""Listening sockets, which pause accepting while the process lacks descriptors."""

import os
import socket
import stat
from collections.abc import Callable
from contextlib import suppress
from typing import NamedTuple

from gaproute.loop import sockets
from gaproute.loop.addresses import SocketAddress, bound_address
from gaproute.loop.descriptors import READ
from gaproute.loop.faults import FAILED_CONNECTION_ERRNOS, SHORTAGE_ERRNOS, Backoff
from gaproute.loop.loop import Loop
from gaproute.loop.timers import Timer
from gaproute.units import MILLI

BACKLOG = 4096  # connections that wait in the kernel to be accepted
MAX_ACCEPTS_PER_TURN = 32  # leaves time in the turn for requests in flight
MAX_FAILED_ACCEPTS = 16  # in one call of `accept`: connections in a row that failed before they were accepted
FIRST_ACCEPT_PAUSE, MAX_ACCEPT_PAUSE = 2 * MILLI, 50 * MILLI  # while the process lacks descriptors
ACCEPT_RETRY_PAUSE = 5 * MILLI  # between attempts to empty the backlog when the process stops


class AcceptedSocket(NamedTuple):
    """The socket of an accepted connection, and its client's address."""

    sock: socket.socket
    address: SocketAddress


def open_listening_socket(
    requested_address: tuple[int, SocketAddress], backlog: int = BACKLOG
) -> socket.socket:
    """Opens a listening socket. Errors: OSError."""
    family, target = requested_address
    sock = socket.socket(family, socket.SOCK_STREAM | socket.SOCK_CLOEXEC)
    try:
        if isinstance(target, str):
            _remove_stale_socket_file(target)
        else:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            if family == socket.AF_INET6:
                sock.setsockopt(socket.IPPROTO_IPV6, socket.IPV6_V6ONLY, 1)
        sock.bind(target)
        sock.listen(backlog)
    except OSError:
        sockets.close_quietly(sock)
        raise
    return sock


def _remove_stale_socket_file(path: str) -> None:
    """Removes a socket file on which no process listens; a file in use stays, and bind(2) fails on it."""
    try:
        if not stat.S_ISSOCK(os.stat(path).st_mode):
            return
        with socket.socket(socket.AF_UNIX, socket.SOCK_STREAM) as probe:
            probe.connect(path)
    except ConnectionRefusedError:
        os.unlink(path)
    except FileNotFoundError:
        pass


class Listener:
    """Accepts connections at one address and calls `on_socket(sock)` for each.

    With `on_ready` instead of `on_socket`, the listener calls `on_ready()` while connections wait, and the
    owner calls `accept`. `inherited`: a listening socket that another process has opened and still owns.
    `address`: the bound address as text, with the port that the kernel picked. Errors: OSError.
    """

    def __init__(
        self,
        loop: Loop,
        requested_address: tuple[int, SocketAddress],
        on_socket: Callable[[socket.socket], object] | None,
        backlog: int = BACKLOG,
        *,
        on_ready: Callable[[], object] | None = None,
        inherited: socket.socket | None = None,
    ) -> None:
        self.loop, self.on_socket, self.on_ready = loop, on_socket, on_ready
        self.pause_count = 0
        self.pause_timer: Timer | None = None  # ends the present pause
        self.backoff = Backoff(FIRST_ACCEPT_PAUSE, MAX_ACCEPT_PAUSE)
        self.backlog_seen_empty = False  # whether the last `accept` found no waiting connection
        self.backlog_since: int | None = None  # since when connections may wait in the backlog, ns
        target = requested_address[1]
        self.path = target if isinstance(target, str) and inherited is None else None
        self.sock = open_listening_socket(requested_address, backlog) if inherited is None else inherited
        try:
            self.sock.setblocking(False)
            self.address = bound_address(self.sock)
            loop.watch(self.sock.fileno(), READ, self._handle_events)
        except OSError:
            if inherited is None:
                self.close()
            raise

    def _handle_events(self, events: int) -> None:
        if self.backlog_since is None:
            self.backlog_since = self.loop.previous_poll_at
        if self.on_ready is not None:
            self.on_ready()
        elif self.on_socket is not None:
            for _ in range(MAX_ACCEPTS_PER_TURN):
                accepted = self.accept()
                if accepted is None:
                    return
                self.on_socket(accepted.sock)

    def accept(self) -> AcceptedSocket | None:
        """Accepts a connection; None if no connection waits (`backlog_empty`) or can be accepted now."""
        self.backlog_seen_empty = False
        for _ in range(MAX_FAILED_ACCEPTS):
            if self.sock.fileno() < 0:
                return None
            try:
                sock, address = self.sock.accept()
            except BlockingIOError:
                self.backlog_seen_empty = True
                self.backlog_since = None
                return None
            except OSError as error:
                if error.errno in FAILED_CONNECTION_ERRNOS:
                    continue  # only this connection has failed; the next one may be fine
                self._back_off(error)
                return None
            self.backoff.reset()
            self._record_backlog_wait(sock.fileno())
            return AcceptedSocket(sockets.configure(sock), address)
        self.pause(self.backoff.next_pause())  # it may be the same connection that fails each time
        return None

    def _record_backlog_wait(self, fd: int) -> None:
        """Stores since when the connection may have waited in the backlog; its first bytes may be as old."""
        if self.backlog_since is None:
            self.loop.backlogged_since.pop(fd, None)
        else:
            self.loop.backlogged_since[fd] = self.backlog_since

    def _back_off(self, error: OSError) -> None:
        """Pauses after a failure that concerns all connections.

        A second failure in a row means a lasting shortage, so descriptors are freed. Errors: `error`, unless
        it is a shortage.
        """
        repeated = self.backoff.has_failed
        self.pause(self.backoff.next_pause())
        if error.errno not in SHORTAGE_ERRNOS:
            raise error
        if repeated:
            self.loop.relieve_shortage()

    def accept_all(self, take: Callable[[socket.socket, SocketAddress], object]) -> bool:
        """Calls `take(socket, address)` for each waiting connection; returns whether the backlog is empty."""
        while (accepted := self.accept()) is not None:
            take(accepted.sock, accepted.address)
        return self.backlog_empty

    @property
    def backlog_empty(self) -> bool:
        """Whether the last `accept` found no waiting connection, or the listener is closed."""
        return self.backlog_seen_empty or self.sock.fileno() < 0

    def pause(self, span: int) -> None:
        """Accepts no connection for `span` ns; new connections wait in the kernel's backlog."""
        self.pause_count += 1
        if self.backlog_since is None:
            self.backlog_since = self.loop.now()
        self.loop.unwatch(self.sock.fileno())
        self._cancel_pause()
        self.pause_timer = self.loop.call_later(span, self._resume)

    def _cancel_pause(self) -> None:
        if self.pause_timer is not None:
            self.pause_timer.cancel()
            self.pause_timer = None

    def _resume(self) -> None:
        self.pause_timer = None
        fd = self.sock.fileno()
        if fd >= 0 and fd not in self.loop.watched:
            self.loop.watch(fd, READ, self._handle_events)

    def close(self) -> None:
        """Closes the listening socket; the kernel resets connections that wait in its backlog."""
        self._cancel_pause()
        if self.sock.fileno() < 0:
            return
        self.loop.unwatch(self.sock.fileno())
        sockets.close_quietly(self.sock)
        if self.path is not None:
            with suppress(FileNotFoundError):
                os.unlink(self.path)
