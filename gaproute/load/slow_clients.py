"""Slow clients: they hold a connection while they send or read very little."""

from __future__ import annotations

import random
import socket
from collections import Counter
from collections.abc import Callable, Generator, Sequence
from dataclasses import dataclass

from gaproute.load.connector import CONNECT_TIMEOUT
from gaproute.load.script import Slow
from gaproute.loop import Loop, Promise, Stream, connect
from gaproute.loop.addresses import Address
from gaproute.units import MILLI

CONNECT_CHECK_INTERVAL = 20 * MILLI  # between checks whether an attempt to connect has ended
FIRST_BYTES = 60  # sent at once; then come single bytes
FILLER = b"x" * 4000  # bytes of a head or a body that is never finished
ENDLESS_HEAD = b"POST /v2/models/none/infer HTTP/1.1\r\nHost: g\r\nX-Slow: " + FILLER
ENDLESS_BODY = (
    b"POST /v2/models/none/infer HTTP/1.1\r\nHost: g\r\nContent-Length: %d\r\n\r\n" % len(FILLER) + FILLER
)
UNREAD_REQUESTS = b"GET /v2 HTTP/1.1\r\nHost: g\r\n\r\n" * 4000  # whose answers nobody reads
SENT_SLOWLY = {"head": ENDLESS_HEAD, "body": ENDLESS_BODY}


class SlowConnection:
    """One connection of a slow client, from the attempt to connect until its end."""

    def __init__(self, loop: Loop, target: Address) -> None:
        self._loop = loop
        self._socket: socket.socket | None = None
        self._connect_finished = False
        self._give_up: Callable[[], None] = connect(loop, target, CONNECT_TIMEOUT, self._connected)
        self.stream: Stream | None = None
        self.ended = False  # by the server, or by an error

    def wait_open(self, until: int) -> Generator[Promise, None, bool]:
        """Coroutine: wait for the attempt to end, at most until then (ns of the loop); whether it is open."""
        while not self._connect_finished and self._loop.now() < until:
            yield self._loop.sleep(CONNECT_CHECK_INTERVAL)
        self._give_up()
        if self._socket is None:
            return False
        self.stream = Stream(self._loop, self._socket, _discard, self._on_end)
        return True

    def _connected(self, sock: socket.socket | None, error: OSError | None) -> None:
        self._socket, self._connect_finished = sock, True

    def _on_end(self, error: OSError | None) -> None:
        self.ended = True


@dataclass
class SlowClient:
    """One client of a `slow` line, until `ends_at` (ns of the loop)."""

    loop: Loop
    line: Slow
    random_source: random.Random
    targets: Sequence[Address]
    counts: Counter[str]
    ends_at: int

    def play(self) -> Generator[Promise, None, None]:
        """Coroutine: open connections one after the other."""
        while self.loop.now() < self.ends_at:
            was_open = yield from self._play_connection()
            if was_open and not self.line.again:
                return

    def _play_connection(self) -> Generator[Promise, None, bool]:
        """Coroutine: one connection until its end; whether it was opened."""
        connection = SlowConnection(self.loop, self.random_source.choice(self.targets))
        is_open = yield from connection.wait_open(self.ends_at)
        if not is_open or connection.stream is None:
            self.counts["slow ones refused"] += 1
            yield self.loop.sleep(self.line.every)
            return False
        if self.line.what == "read":
            connection.stream.pause()
            connection.stream.write(UNREAD_REQUESTS)
        yield from self._send_slowly(connection, connection.stream)
        self.counts["slow ones ended"] += connection.ended
        connection.stream.abort()
        return True

    def _send_slowly(self, connection: SlowConnection, stream: Stream) -> Generator[Promise, None, None]:
        """Coroutine: send what this kind of client sends, until the connection or the load ends."""
        request = SENT_SLOWLY.get(self.line.what, b"")
        sent = 0
        while not connection.ended and self.loop.now() < self.ends_at:
            if sent < len(request):
                size = FIRST_BYTES if sent == 0 else 1
                stream.write(request[sent : sent + size])
                sent += size
            yield self.loop.sleep(self.line.every)


def _discard(data: bytes) -> None:
    """The answers of a server are of no interest here."""
