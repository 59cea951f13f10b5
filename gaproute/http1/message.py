"""Requests and responses as they came, and the answers to requests until their turn has come."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Protocol

from gaproute.http1.rendering import Header
from gaproute.loop import Stream


class RequestConnection(Protocol):
    """What who answers a request needs of its connection: see `ServerConnection`."""

    stream: Stream

    def answer(self, request: Request, status: int, headers: Iterable[Header], body: bytes) -> None:
        """Writes the answer to one request when its turn has come."""

    def client_present(self) -> bool:
        """Whether the client has neither closed its side nor left."""

    def close_gracefully(self) -> None:
        """Closes once what was written has been taken."""

    def abort(self) -> None:
        """Resets the connection; nothing is called."""


class Message:
    """What requests and responses have in common.

    Header names are lower case; a name that came twice is joined by a comma.
    """

    __slots__ = ("headers", "body", "keep_alive")

    headers: dict[bytes, bytes]
    body: bytes
    keep_alive: bool  # whether the connection may carry more messages


class Request(Message):
    """One request, and who sent it."""

    __slots__ = ("method", "target", "arrived_at", "connection", "on_client_left", "client_closed")

    connection: RequestConnection

    def __init__(self, arrived_at: int) -> None:
        """`arrived_at`: when its first byte came, by the loop's clock."""
        self.arrived_at = arrived_at
        self.method, self.target, self.headers, self.body, self.keep_alive = b"", b"", {}, b"", True
        self.on_client_left: Callable[[], object] | None = None  # when the client leaves before the answer
        self.client_closed = False  # its client had closed its side when it was read


class Response(Message):
    """One response."""

    __slots__ = ("status",)

    def __init__(self) -> None:
        self.status, self.headers, self.body, self.keep_alive = 0, {}, b"", True


class PendingAnswer:
    """A place in the order of answers; `data`: the answer as bytes, once it is there."""

    __slots__ = ("request", "data")

    def __init__(self, request: Request | None, data: bytes | None = None) -> None:
        """`request`: None for what cannot be read."""
        self.request, self.data = request, data
