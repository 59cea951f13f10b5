"""A kept connection of a client: one exchange at a time; tells what a failure proves."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Protocol

from gaproute.http1.errors import HttpError, NoResponseError
from gaproute.http1.message import Response
from gaproute.http1.reader import CONTENT_LENGTH, TRANSFER_ENCODING, ResponseReader
from gaproute.loop import Loop, Stream

SECOND = 1_000_000_000
NO_CONTENT = 204
FIRST_FINAL_STATUS = 200  # below it are responses that announce another


class PendingExchange(Protocol):
    """What a connection needs of the exchange at work: see `Exchange`."""

    def finish(self, response: Response | None, failure: NoResponseError | None) -> None:
        """Ends it with one of the two."""


class ClientConnection:
    """A kept connection to one server. An idle one notices when the other side closes."""

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
        self.exchange: PendingExchange | None = None  # the one at work
        self.sent_before = 0  # bytes handed over before its request
        self.last_used: int = loop.now()
        self.on_idle_end: Callable[[ClientConnection], object] | None = None  # where it ends while idle
        self.responses = 0
        self.keep_alive_timeout: int | None = None  # how long the server said it keeps an idle one, ns
        self.unrequested_response = False  # a response came that nobody asked for

    @property
    def open(self) -> bool:
        """Whether it can be used."""
        return self.stream.open

    @property
    def any_byte_sent(self) -> bool:
        """Whether the kernel has taken any byte of the present request."""
        return self.stream.bytes_sent > self.sent_before

    def send(self, exchange: PendingExchange, data: bytes) -> None:
        """The request begins now, with what is true now, or its exchange fails soon and never ran."""
        self.exchange, self.sent_before = exchange, self.stream.bytes_sent
        if not self.stream.try_begin(data):
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
        """Ends the exchange with its response; whether the connection may go on."""
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
        """Ends the connection, and its exchange without a response."""
        exchange, self.exchange = self.exchange, None
        any_byte_sent = self.any_byte_sent
        self.stream.abort()
        if exchange is not None:
            failure = NoResponseError(text, any_byte_sent=any_byte_sent, connected=True, error=error)
            exchange.finish(None, failure)
        elif self.on_idle_end is not None:
            self.on_idle_end(self)

    def abort(self) -> None:
        """Ends the connection and whatever is on its way; nothing is called."""
        self.exchange = None
        self.stream.abort()


def _has_length(response: Response) -> bool:
    """Whether the length of the body was given in advance."""
    headers = response.headers
    return response.status == NO_CONTENT or CONTENT_LENGTH in headers or TRANSFER_ENCODING in headers


def _keep_alive_timeout(value: bytes | None) -> int | None:
    """`Keep-Alive: timeout=5` as nanoseconds, else None."""
    for parameter in (value or b"").split(b","):
        name, _, figure = parameter.strip().partition(b"=")
        if name.lower() == b"timeout" and figure.strip().isdigit():
            return int(figure) * SECOND
    return None
