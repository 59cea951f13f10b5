"""One request of a client and its response, on a connection that stands or is opened for it."""

from __future__ import annotations

import socket
from collections.abc import Callable
from functools import partial
from typing import Any

from gaproute.http1.client import ClientConnection
from gaproute.http1.errors import NoResponseError
from gaproute.http1.message import Response
from gaproute.loop import Loop, connect
from gaproute.loop.addresses import Address

OnDone = Callable[[Any, Any], object]  # (Response or None, NoResponseError or None)
OnConnection = Callable[[ClientConnection], object]


class Exchange:
    """One request. `on_done(response, failure)`, one of them None, is called once and never at once."""

    __slots__ = (
        "loop",
        "request",
        "on_done",
        "connection",
        "started_at",
        "finished",
        "start_before",
        "still_wanted",
        "_cancel_connect",
    )

    def __init__(
        self,
        loop: Loop,
        request: bytes | Callable[[int], bytes],
        on_done: OnDone,
        start_before: int | None = None,
        still_wanted: Callable[[], bool] | None = None,
    ) -> None:
        """`request`: its bytes, or a call(now) that makes them as they are handed over.

        `start_before`: until when it may begin; `still_wanted()`: whether it still may. A connection that
        stands later is not used for it, and it has `lapsed`.
        """
        self.loop, self.request, self.on_done = loop, request, on_done
        self.start_before, self.still_wanted = start_before, still_wanted
        self.connection: ClientConnection | None = None  # once its request has begun
        self.started_at: int = loop.now()
        self.finished = False
        self._cancel_connect: Callable[[], object] | None = None  # while a connection is opened

    def send_on(self, connection: ClientConnection) -> Exchange:
        """Begins on a connection that stands."""
        self.connection = connection
        request = self.request
        connection.send(self, request(self.loop.now()) if callable(request) else request)
        return self

    def connect(
        self,
        address: Address,
        timeout: int,
        head_limit: int,
        body_limit: int,
        on_connection: OnConnection | None = None,
    ) -> Exchange:
        """Begins on a new connection, `on_connection(connection)` first; limits as of `ClientConnection`."""
        connected = partial(self._connected, head_limit, body_limit, on_connection)
        self._cancel_connect = connect(self.loop, address, timeout, connected)
        return self

    def _connected(
        self,
        head_limit: int,
        body_limit: int,
        on_connection: OnConnection | None,
        sock: socket.socket,
        error: OSError | None,
    ) -> None:
        self._cancel_connect = None
        if error is not None:
            self._fail_unsent(f"no connection: {error}", error)
            return
        if self.lapsed:
            sock.close()
            self._fail_unsent("the connection came up too late", lapsed=True)
            return
        connection = ClientConnection(self.loop, sock, head_limit, body_limit)
        if on_connection is not None:
            on_connection(connection)
        self.send_on(connection)

    @property
    def lapsed(self) -> bool:
        """Whether it may no longer begin."""
        if self.start_before is not None and self.loop.now() >= self.start_before:
            return True
        return self.still_wanted is not None and not self.still_wanted()

    @property
    def any_byte_sent(self) -> bool:
        """Whether the kernel has taken any byte of the request."""
        return self.connection is not None and self.connection.any_byte_sent

    @property
    def all_bytes_sent(self) -> bool:
        """Whether the kernel has taken all of the request."""
        return self.connection is not None and not self.connection.stream.bytes_unsent

    # Ends

    def finish(self, response: Response | None, failure: NoResponseError | None) -> None:
        """Ends it with one of the two; nothing where it has ended."""
        if not self.finished:
            self.finished = True
            # a closure that holds this exchange: no cycle is left behind
            on_done, self.on_done = self.on_done, _ignore
            on_done(response, failure)

    def _fail_unsent(self, text: str, error: OSError | None = None, *, lapsed: bool = False) -> None:
        failure = NoResponseError(text, any_byte_sent=False, connected=False, error=error, lapsed=lapsed)
        self.finish(None, failure)

    def fail_if_unsent(self, text: str) -> None:
        """Ends it where it still waits for its connection: it fails soon, and never ran."""
        if self._stop_connecting():
            self.loop.soon(self._fail_unsent, text)

    def cancel(self) -> bool:
        """Ends it and its connection without `on_done`; whether any byte was handed over."""
        any_byte_sent = self.any_byte_sent
        self.finished, self.on_done = True, _ignore
        if self._stop_connecting():
            return any_byte_sent
        if self.connection is not None and self.connection.exchange is self:
            self.connection.abort()
        return any_byte_sent

    def _stop_connecting(self) -> bool:
        """Gives up the connection that is opened for it; whether there was one."""
        if self._cancel_connect is None:
            return False
        self._cancel_connect()
        self._cancel_connect = None
        return True


def _ignore(response: Response | None, failure: NoResponseError | None) -> None:
    """Stands for `on_done` after the end."""
