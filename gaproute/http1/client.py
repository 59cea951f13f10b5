"""The client's side of a connection, which carries one exchange after the other."""

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
MIN_FINAL_STATUS = 200  # interim responses have a lower status


class PendingExchange(Protocol):
    """The part of `Exchange` that its connection calls."""

    def finish(self, response: Response | None, failure: NoResponseError | None) -> None:
        """Ends the exchange with a response or a failure."""


class ClientConnection:
    """A connection to one server that stays open between exchanges, and notices when the server closes it."""

    __slots__ = (
        "loop",
        "stream",
        "reader",
        "exchange",
        "bytes_sent_before",
        "last_used",
        "on_idle_end",
        "response_count",
        "keep_alive_timeout",
        "unrequested_response",
    )

    def __init__(self, loop: Loop, sock: socket.socket, head_limit: int, body_limit: int) -> None:
        """`head_limit`, `body_limit`: the greatest size of a response's head and body, bytes."""
        self.loop = loop
        self.reader = ResponseReader(head_limit, body_limit)
        self.stream = Stream(loop, sock, self._receive, self._on_closed)
        self.exchange: PendingExchange | None = None  # the one that waits for its response
        self.bytes_sent_before = 0  # bytes sent on the connection before the current request
        self.last_used: int = loop.now()
        # Called when the connection ends while no exchange uses it
        self.on_idle_end: Callable[[ClientConnection], object] | None = None
        self.response_count = 0
        # How long the server keeps the connection open while idle, as its last response says, ns
        self.keep_alive_timeout: int | None = None
        self.unrequested_response = False  # whether the server sent a response to no request

    @property
    def open(self) -> bool:
        """Whether the connection can be used."""
        return self.stream.open

    @property
    def any_byte_sent(self) -> bool:
        """Whether the kernel has taken any byte of the current request."""
        return self.stream.bytes_sent > self.bytes_sent_before

    def send(self, exchange: PendingExchange, data: bytes) -> None:
        """Sends the request `data` of an exchange.

        If the connection takes no byte of it, a later call of the loop fails the exchange; the request never
        ran.
        """
        self.exchange, self.bytes_sent_before = exchange, self.stream.bytes_sent
        if not self.stream.try_write(data):
            self.loop.call_soon(self._fail, "sending the request failed: the connection takes no bytes")

    def _receive(self, data: bytes) -> None:
        try:
            responses = self.reader.feed(data)
        except HttpError as error:
            self._fail(f"decoding the response failed: {error.text}")
            return
        for response in responses:
            if response.status >= MIN_FINAL_STATUS and not self._take_response(response):
                return

    def _take_response(self, response: Response) -> bool:
        """Ends the exchange with its response; returns whether further responses may be taken."""
        if not _declares_body_length(response):
            self._fail("the response has neither Content-Length nor Transfer-Encoding")
            return False
        exchange, self.exchange = self.exchange, None
        if exchange is None:
            self.unrequested_response = True
            self._fail("the server sent a response although no request was open")
            return False
        self.last_used = self.loop.now()
        self.response_count += 1
        self.keep_alive_timeout = _keep_alive_timeout(response.headers.get(b"keep-alive"))
        if not response.keep_alive or self.reader.mid_message or self.stream.bytes_unsent:
            self.stream.close()
        exchange.finish(response, None)
        return True

    def _on_closed(self, error: OSError | None) -> None:
        self._fail(f"the connection ended before the response: {error or 'closed by the server'}", error)

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


def _declares_body_length(response: Response) -> bool:
    """Whether the head of a response says where its body ends."""
    headers = response.headers
    return response.status == NO_CONTENT or CONTENT_LENGTH in headers or TRANSFER_ENCODING in headers


def _keep_alive_timeout(value: bytes | None) -> int | None:
    """The timeout in the value of a `Keep-Alive` header, such as `timeout=5`, in ns; None without one."""
    for parameter in (value or b"").split(b","):
        name, _, seconds = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and seconds.strip().isdigit():
            return int(seconds) * SECOND
    return None
