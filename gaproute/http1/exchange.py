"""One request and its response, on an open connection or on a new one."""

from __future__ import annotations

import socket
from collections.abc import Callable
from functools import partial

from gaproute.http1.client import ClientConnection
from gaproute.http1.errors import NoResponseError
from gaproute.http1.message import Response
from gaproute.loop import Loop, connect
from gaproute.loop.addresses import Address

OnDone = Callable[[Response | None, NoResponseError | None], object]  # one of them is None
OnConnection = Callable[[ClientConnection], object]


class Exchange:
    """One request and its response.

    `on_done(response, failure)`, of which one is None, is called once, after the call that starts the
    exchange has returned.
    """

    __slots__ = (
        "loop",
        "request",
        "on_done",
        "connection",
        "started_at",
        "finished",
        "start_deadline",
        "still_wanted",
        "_cancel_connect",
    )

    def __init__(
        self,
        loop: Loop,
        request: bytes | Callable[[int], bytes],
        on_done: OnDone,
        start_deadline: int | None = None,
        still_wanted: Callable[[], bool] | None = None,
    ) -> None:
        """`request`: the bytes to send, or a function of the time `now` (ns) that makes them at sending.

        `start_deadline`: the latest time to send the request on a new connection, ns; `still_wanted()`:
        whether its client still waits. Otherwise the exchange fails as `expired`.
        """
        self.loop, self.request, self.on_done = loop, request, on_done
        self.start_deadline, self.still_wanted = start_deadline, still_wanted
        self.connection: ClientConnection | None = None  # set when the request is sent
        self.started_at: int = loop.now()
        self.finished = False
        self._cancel_connect: Callable[[], object] | None = None  # set while a connection is being opened

    def send_on(self, connection: ClientConnection) -> Exchange:
        """Sends the request on an open connection."""
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
        """Opens a connection, calls `on_connection(connection)` and sends the request.

        `head_limit`, `body_limit`: as of `ClientConnection`.
        """
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
            self._fail_unsent(f"connecting to the server failed: {error}", error)
            return
        if self.expired:
            sock.close()
            self._fail_unsent(
                "the request was not sent: it is too late, or its client has left", expired=True
            )
            return
        connection = ClientConnection(self.loop, sock, head_limit, body_limit)
        if on_connection is not None:
            on_connection(connection)
        self.send_on(connection)

    @property
    def expired(self) -> bool:
        """Whether the request must not be sent any more."""
        if self.start_deadline is not None and self.loop.now() >= self.start_deadline:
            return True
        return self.still_wanted is not None and not self.still_wanted()

    @property
    def any_byte_sent(self) -> bool:
        """Whether the kernel has taken any byte of the request."""
        return self.connection is not None and self.connection.any_byte_sent

    @property
    def all_bytes_sent(self) -> bool:
        """Whether the kernel has taken all bytes of the request."""
        return self.connection is not None and not self.connection.stream.bytes_unsent

    # The end of the exchange

    def finish(self, response: Response | None, failure: NoResponseError | None) -> None:
        """Ends the exchange with a response or a failure; does nothing if it has ended already."""
        if not self.finished:
            self.finished = True
            # `on_done` often refers to this exchange: dropping it breaks the reference cycle
            on_done, self.on_done = self.on_done, _ignore_result
            on_done(response, failure)

    def _fail_unsent(self, text: str, error: OSError | None = None, *, expired: bool = False) -> None:
        failure = NoResponseError(text, any_byte_sent=False, connected=False, error=error, expired=expired)
        self.finish(None, failure)

    def fail_if_unsent(self, text: str) -> None:
        """Fails the exchange if its connection is still being opened; the request never ran."""
        if self._stop_connecting():
            self.loop.call_soon(self._fail_unsent, text)

    def cancel(self) -> bool:
        """Ends the exchange and its connection without `on_done`; returns whether any byte was sent."""
        any_byte_sent = self.any_byte_sent
        self.finished, self.on_done = True, _ignore_result
        if self._stop_connecting():
            return any_byte_sent
        if self.connection is not None and self.connection.exchange is self:
            self.connection.abort()
        return any_byte_sent

    def _stop_connecting(self) -> bool:
        """Stops connecting to the server; returns whether that was under way."""
        if self._cancel_connect is None:
            return False
        self._cancel_connect()
        self._cancel_connect = None
        return True


def _ignore_result(response: Response | None, failure: NoResponseError | None) -> None:
    """Replaces `on_done` once the exchange has ended."""
