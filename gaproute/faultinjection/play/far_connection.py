"""A connected socket and a listening one, plain ones, on the far ends' loop."""

from __future__ import annotations

import contextlib
import select
import socket
import struct
from collections.abc import Callable

from gaproute.faultinjection.play.timeline import FarLoop

READ_SIZE = 65536  # bytes of one read


class FarConnection:
    """A connected plain socket. `on_bytes(data)`, `on_end()` once."""

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
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)  # the kernel's timers are real ones
        loop.watch(sock.fileno(), select.EPOLLIN, self._ready)

    def write(self, data: bytes) -> None:
        """Sends the bytes, as the kernel takes them."""
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
            return  # reading reports the end
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
        """Sends no more, and reads on."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)

    def close(self) -> None:
        """Closes; `on_end` is not called."""
        if self.open:
            self.open = False
            self.loop.unwatch(self.sock.fileno())
            self.sock.close()

    def reset(self) -> None:
        """Closes with a reset; `on_end` is not called."""
        if self.open:
            self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            self.close()


class FarServer:
    """Listens on loopback and hands over what it accepts."""

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
        """A connection has come in."""
        raise NotImplementedError

    def close(self) -> None:
        """Closes all."""
        self.loop.unwatch(self._sock.fileno())
        self._sock.close()
        for connection in self.connections:
            connection.close()
