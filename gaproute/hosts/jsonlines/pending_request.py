"""One request on a connection to a host, until its reply or its failure."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeAlias

from gaproute.hosts.jsonlines.messages import Reply
from gaproute.interface import Result
from gaproute.interface.call import assume_client_present
from gaproute.loop import Stream

NO_DEADLINE = 1 << 62  # a time that never comes, for requests that have a timeout of their own

# Called with the reply, or with the result that a failure proves; returns whether the id is never sent again.
OnRequestEnded: TypeAlias = Callable[[Reply | Result], bool]


def already_written(now: int) -> bytes:
    """Replaces `PendingRequest.encode` once the request is written, so that its content can be freed."""
    return b""


class RequestConnection(Protocol):
    """What a request needs of its connection: see `Connection`."""

    stream: Stream | None

    def is_written(self, request: PendingRequest) -> bool:
        """Whether the host may have all of the request."""

    def is_silent_since(self, time: int) -> bool:
        """Whether nothing came since then, or no reply ever."""

    def cancel(self, request: PendingRequest) -> None:
        """Ends a request whose reply nobody waits for."""

    def fail(self, error: BaseException | None) -> None:
        """The connection has ended: each request on it has failed."""


class PendingRequest:
    """A request that waits to be written, or for its reply.

    `encode(now)` gives the request's bytes and is called when they are written. `until`: when the request may
    begin at the latest, ns; `wanted()`: whether it still may. `on_ended` is called once, and later.
    """

    __slots__ = (
        "connection",
        "id",
        "encode",
        "until",
        "on_ended",
        "created_at",
        "wanted",
        "end_offset",
    )

    def __init__(
        self,
        connection: RequestConnection,
        request_id: str,
        encode: Callable[[int], bytes],
        until: int,
        on_ended: OnRequestEnded | None,
        now: int,
        wanted: Callable[[], bool] = assume_client_present,
    ) -> None:
        self.connection, self.id, self.until, self.created_at = connection, request_id, until, now
        self.encode = encode
        self.on_ended = on_ended  # None once it has ended
        self.wanted = wanted
        # Bytes written on the connection up to the end of this request; None until it has begun.
        self.end_offset: int | None = None

    @property
    def started(self) -> bool:
        """Whether the kernel has taken a byte of the request."""
        return self.end_offset is not None

    @property
    def cancellable(self) -> bool:
        """Whether a request that has begun can still be withdrawn: its last byte has not been sent.

        Then the last byte is never sent, and the host never has the complete request.
        """
        stream = self.connection.stream
        return stream is not None and stream.open and not self.connection.is_written(self)

    def end(self, outcome: Reply | Result) -> bool:
        """Call `on_ended` and return its result; False where the request was cancelled meanwhile."""
        on_ended, self.on_ended = self.on_ended, None
        return on_ended is not None and on_ended(outcome)

    def cancel(self) -> None:
        """End the request, as nobody wants its reply any more; `on_ended` is not called."""
        self.connection.cancel(self)
