"""Received requests and responses, and the answers to requests that wait for their turn."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from gaproute.http1.rendering import Header
from gaproute.loop import Stream


class RequestConnection(Protocol):
    """The part of `ServerConnection` that handlers of requests use."""

    stream: Stream

    def answer(self, request: Request, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Writes the answer to one request when it is next in order."""

    def client_present(self) -> bool:
        """Whether the client has neither closed its side nor left."""

    def close_gracefully(self) -> None:
        """Closes after all that was written is sent."""

    def abort(self) -> None:
        """Resets the connection; no callback is called."""


class Message:
    """The common part of requests and responses.

    Header names are lower case; the values of a name that occurs several times are joined by a comma.
    """

    __slots__ = ("headers", "body", "keep_alive")

    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool  # whether the connection may carry more messages


class Request(Message):
    """One request, and the connection that it came on."""

    __slots__ = ("method", "target", "arrived_at", "connection", "on_client_left", "client_closed")

    connection: RequestConnection

    def __init__(self, arrived_at: int) -> None:
        """`arrived_at`: when its first byte came, ns of the loop's clock."""
        self.arrived_at = arrived_at
        self.method = self.target = self.body = b""
        self.headers = {}
        self.keep_alive = True
        # Called if the client leaves before the answer is given
        self.on_client_left: Callable[[], object] | None = None
        # Whether the client had closed its side when the request was read
        self.client_closed = False


class Response(Message):
    """One response."""

    __slots__ = ("status",)

    def __init__(self) -> None:
        self.status = 0
        self.headers = {}
        self.body = b""
        self.keep_alive = True


class PendingAnswer:
    """A place in the order of answers; `data`: the encoded answer, once there is one."""

    __slots__ = ("request", "encoded")

    def __init__(self, request: Request | None, encoded: bytes | None = None) -> None:
        """`request`: None for a message that cannot be decoded."""
        self.request, self.encoded = request, encoded
