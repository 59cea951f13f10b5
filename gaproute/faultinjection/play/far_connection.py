"""A connected socket and a listening one on the loop of the far ends. No fault is injected into them."""

from __future__ import annotations

import contextlib
import select
import socket
import struct
from collections.abc import Callable
from typing import Any

from gaproute.faultinjection.play.timeline import FarLoop

JsonObject = dict[str, Any]  # a message in one of the protocols of the far ends
READ_SIZE = 65536  # bytes of one read


class FarConnection:
    """A connected plain socket.

    `on_bytes(data)` is called with what arrives, `on_end()` once if the other side ends the connection.
    """

    def __init__(
        self,
        loop: FarLoop,
        sock: socket.socket,
        on_bytes: Callable[[bytes], None],
        on_end: Callable[[], None],
    ) -> None:
        self.loop, self.sock = loop, sock
        self.on_bytes, self.on_end = on_bytes, on_end
        self.open = True
        self._out = b""
        self.sock.setblocking(False)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # Nagle delays by real time
        loop.watch(sock.fileno(), select.EPOLLIN, self._ready)

    def write(self, data: bytes) -> None:
        """Sends the bytes, as soon as the kernel takes them."""
        if self.open:
            self._out += data
            self._flush()

    def _flush(self) -> None:
        try:
            sent = self.sock.send(self._out) if self._out else 0
        except BlockingIOError:
            sent = 0
        except OSError:
            self._out = b""
            return  # the next read finds the end of the connection
        self._out = self._out[sent:]
        events = select.EPOLLIN | (select.EPOLLOUT if self._out else 0)
        self.loop.rewatch(self.sock.fileno(), events)

    def _ready(self, events: int) -> None:
        if events & select.EPOLLOUT:
            self._flush()
        if events & ~select.EPOLLOUT and self.open:
            self._read()

    def _read(self) -> None:
        try:
            data = self.sock.recv(READ_SIZE)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        if data:
            self.on_bytes(data)
        else:
            self.close()
            self.on_end()

    def half_close(self) -> None:
        """Closes the sending side; reading goes on."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Closes the connection; `on_end` is not called."""
        if self.open:
            self.open = False
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()

    def reset(self) -> None:
        """Resets the connection; `on_end` is not called."""
        if self.open:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.close()


class FarServer:
    """Listens on loopback; a subclass decides by `accept_connection` what becomes of each connection."""

    def __init__(self, loop: FarLoop) -> None:
        self.loop = loop
        self.connections: list[FarConnection] = []
        self._sock = socket.create_server(("127.0.0.1", 0), backlog=256)
        self._sock.setblocking(False)
        self.address = f"127.0.0.1:{self._sock.getsockname()[1]}"
        loop.watch(self._sock.fileno(), select.EPOLLIN, self._ready)

    def _ready(self, _: int) -> None:
        try:
            while True:
                self.accept_connection(self._sock.accept()[0])
        except BlockingIOError:
            pass

    def accept_connection(self, sock: socket.socket) -> None:
        """Called with each accepted socket."""
        raise NotImplementedError

    def close(self) -> None:
        """Closes the listening socket and all connections."""
        self.loop.unwatch(self._sock.fileno())
        self._sock.close()
        for connection in self.connections:
            connection.close()
