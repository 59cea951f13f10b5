"""Received requests and responses, and answers that wait until earlier requests are answered."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from gaproute.http1.rendering import Header
from gaproute.loop import Stream


class RequestConnection(Protocol):
    """The part of `ServerConnection` that request handlers use."""

    stream: Stream

    def answer(self, request: Request, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Writes the answer to a request when it is next in order."""

    def client_present(self) -> bool:
        """Whether the client is still connected and has not closed its side."""

    def close_gracefully(self) -> None:
        """Closes once all written bytes are sent."""

    def abort(self) -> None:
        """Resets the connection; no callback is called."""


class Message:
    """The base class of requests and responses.

    Header names are lower case; the values of a name that occurs several times are joined by a comma.
    """

    __slots__ = ("headers", "body", "keep_alive")

    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool  # whether the connection may carry more messages


class Request(Message):
    """A request and the connection that it was received on."""

    __slots__ = ("method", "target", "arrived_at", "connection", "on_client_left", "client_closed")

    connection: RequestConnection

    def __init__(self, arrived_at: int) -> None:
        """`arrived_at`: when the first byte arrived, ns of the loop's clock."""
        self.arrived_at = arrived_at
        self.method = self.target = self.body = b""
        self.headers = {}
        self.keep_alive = True
        # Called if the client leaves before it is answered
        self.on_client_left: Callable[[], object] | None = None
        # Whether the client had closed its side when the request was read
        self.client_closed = False


class Response(Message):
    """A response."""

    __slots__ = ("status",)

    def __init__(self) -> None:
        self.status = 0
        self.headers = {}
        self.body = b""
        self.keep_alive = True


class PendingAnswer:
    """The answer to a request in the order of requests; `encoded`: its bytes, None until it is given."""

    __slots__ = ("request", "encoded")

    def __init__(self, request: Request | None, encoded: bytes | None = None) -> None:
        """`request`: None if the answer is to a message that cannot be decoded."""
        self.request, self.encoded = request, encoded
