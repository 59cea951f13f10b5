"""Opens the connections of a load, a bounded number at once."""

from __future__ import annotations

import random
import socket
from collections import Counter, deque
from collections.abc import Callable, Sequence

from gaproute.load.connection import LoadConnection
from gaproute.loop import Loop, connect
from gaproute.loop.addresses import Address
from gaproute.units import SECOND

MAX_CONNECTING = 200  # attempts at once; more would overflow the accept queue of the other side
CONNECT_TIMEOUT = 5 * SECOND


class Connector:
    """Opens connections to targets that are drawn by chance; an attempt that fails is repeated after a delay.

    `on_open(connection)` is called for each that is open. `retry_delay`: ns.
    """

    def __init__(
        self,
        loop: Loop,
        random_source: random.Random,
        targets: Sequence[Address],
        *,
        retry_delay: int,
        counts: Counter[str],
        on_open: Callable[[LoadConnection], object],
    ) -> None:
        self._loop, self._random, self._targets = loop, random_source, targets
        self._retry_delay, self._counts, self._on_open = retry_delay, counts, on_open
        self._queue: deque[LoadConnection] = deque()
        self._connecting = 0

    def open(self, connection: LoadConnection) -> None:
        """Open the connection as soon as its turn comes."""
        self._queue.append(connection)
        self._connect_queued()

    def open_later(self, connection: LoadConnection, delay: int | None = None) -> None:
        """Open the connection after `delay` ns, by default that between attempts."""
        self._loop.call_later(self._retry_delay if delay is None else delay, self.open, connection)

    def _connect_queued(self) -> None:
        while self._queue and self._connecting < MAX_CONNECTING:
            self._connect(self._queue.popleft())

    def _connect(self, connection: LoadConnection) -> None:
        self._connecting += 1

        def finished(sock: socket.socket | None, error: OSError | None) -> None:
            self._connected(connection, sock, error)

        connect(self._loop, self._random.choice(self._targets), CONNECT_TIMEOUT, finished, connection.source)

    def _connected(
        self, connection: LoadConnection, sock: socket.socket | None, error: OSError | None
    ) -> None:
        self._connecting -= 1
        if sock is None:
            reason = "" if error is None else error.strerror or error
            self._counts[f"not connected: {reason}"] += 1
            self.open_later(connection)
        else:
            self._counts["connected"] += 1
            connection.opened(sock)
            self._on_open(connection)
        self._connect_queued()
