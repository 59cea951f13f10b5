"""A client's connection that carries one exchange after the other, and what its failures prove."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from gaproute.http1.errors import HttpError, NoResponseError
from gaproute.http1.message import Response
from gaproute.http1.reader import CONTENT_LENGTH, TRANSFER_ENCODING, ResponseReader
from gaproute.loop import Loop, Stream
from gaproute.units import SECOND

NO_CONTENT = 204
FIRST_FINAL_STATUS = 200  # lower ones are of interim responses


class PendingExchange(Protocol):
    """The part of `Exchange` that its connection uses."""

    def finish(self, response: Response | None, failure: NoResponseError | None) -> None:
        """Ends the exchange with a response or a failure."""


class ClientConnection:
    """A connection to one server that stays open between exchanges, and notices when the server closes it."""

    __slots__ = (
        "loop",
        "stream",
        "reader",
        "exchange",
        "sent_before",
        "last_used",
        "on_idle_end",
        "responses",
        "keep_alive_timeout",
        "unrequested_response",
    )

    def __init__(self, loop: Loop, sock: socket.socket, head_limit: int, body_limit: int) -> None:
        """`head_limit`, `body_limit`: of a response, bytes."""
        self.loop = loop
        self.reader = ResponseReader(head_limit, body_limit)
        self.stream = Stream(loop, sock, self._receive, self._on_closed)
        self.exchange: PendingExchange | None = None  # the exchange that waits for its response
        self.sent_before = 0  # bytes sent before the request of the exchange
        self.last_used: int = loop.now()
        # Called when the connection ends while idle
        self.on_idle_end: Callable[[ClientConnection], object] | None = None
        self.responses = 0
        # For how long the server keeps an idle connection, as its last response said, ns
        self.keep_alive_timeout: int | None = None
        self.unrequested_response = False  # whether a response came without a request

    @property
    def open(self) -> bool:
        """Whether the connection can be used."""
        return self.stream.open

    @property
    def any_byte_sent(self) -> bool:
        """Whether the kernel has taken any byte of the present request."""
        return self.stream.bytes_sent > self.sent_before

    def send(self, exchange: PendingExchange, data: bytes) -> None:
        """Sends the request, if the connection takes any byte of it.

        If it takes none, the exchange fails soon, as one whose request never ran.
        """
        self.exchange, self.sent_before = exchange, self.stream.bytes_sent
        if not self.stream.try_write(data):
            self.loop.soon(self._fail, "the connection takes no bytes")

    def _receive(self, data: bytes) -> None:
        try:
            responses = self.reader.feed(data)
        except HttpError as error:
            self._fail(f"the answer breaks the protocol: {error.text}")
            return
        for response in responses:
            if response.status >= FIRST_FINAL_STATUS and not self._take_response(response):
                return

    def _take_response(self, response: Response) -> bool:
        """Ends the exchange with its response; returns whether the connection can be used again."""
        if not _has_length(response):
            self._fail("an answer without a length")
            return False
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            self.unrequested_response = True
            self._fail("an answer that nobody asked for")
            return False
        self.last_used = self.loop.now()
        self.responses += 1
        self.keep_alive_timeout = _keep_alive_timeout(response.headers.get(b"keep-alive"))
        if not response.keep_alive or self.reader.mid_message or self.stream.bytes_unsent:
            self.stream.close()
        exchange.finish(response, None)
        return True

    def _on_closed(self, error: OSError | None) -> None:
        self._fail(f"the connection ended: {error or 'closed by the server'}", error)

    def _fail(self, text: str, error: OSError | None = None) -> None:
        """Closes the connection and ends its exchange with a failure."""
        exchange, self.exchange = self.exchange, None
        any_byte_sent = self.any_byte_sent
        self.stream.abort()
        if exchange is not None:
            failure = NoResponseError(text, any_byte_sent=any_byte_sent, connected=True, error=error)
            exchange.finish(None, failure)
        elif self.on_idle_end is not None:
            self.on_idle_end(self)

    def abort(self) -> None:
        """Resets the connection; no callback is called."""
        self.exchange = None
        self.stream.abort()


def _has_length(response: Response) -> bool:
    """Whether the head of the response gave the length of the body."""
    headers = response.headers
    return response.status == NO_CONTENT or CONTENT_LENGTH in headers or TRANSFER_ENCODING in headers


def _keep_alive_timeout(value: bytes | None) -> int | None:
    """The timeout of a header such as `Keep-Alive: timeout=5` in ns, or None."""
    for parameter in (value or b"").split(b","):
        name, _, seconds = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return int(seconds) * SECOND
    return None
