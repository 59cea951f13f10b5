"""One request on a connection, until its reply or its end."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeAlias

from gaproute.hosts.jsonlines.messages import Reply
from gaproute.interface import Result
from gaproute.interface.call import always
from gaproute.loop import Stream

NO_DEADLINE = 1 << 62  # a time that never comes: of requests whose reply has a timeout of its own

# Called with the reply, or with what the failure proves; returns whether the id is never sent again.
OnRequestEnded: TypeAlias = Callable[[Reply | Result], bool]


def already_written(now: int) -> bytes:
    """Takes the place of `PendingRequest.encode` once that is done, so that the content can be freed."""
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

    `encode(now)` gives its bytes and is called when they are written. `until`: when it may begin at the
    latest; `wanted()`: whether it still may. `on_ended` is called once, never at once.
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
        wanted: Callable[[], bool] = always,
    ) -> None:
        self.connection, self.id, self.until, self.created_at = connection, request_id, until, now
        self.encode = encode
        self.on_ended = on_ended  # None once it has ended
        self.wanted = wanted
        # Bytes written on its connection up to its end; None: none of it yet.
        self.end_offset: int | None = None

    @property
    def started(self) -> bool:
        """Whether the kernel has taken a byte of it."""
        return self.end_offset is not None

    @property
    def cancellable(self) -> bool:
        """Whether it is cancelled, though it started, once nobody waits for its reply.

        Its host has it whole only with its last byte, and may not get that then.
        """
        stream = self.connection.stream
        return stream is not None and stream.open and not self.connection.is_written(self)

    def end(self, outcome: Reply | Result) -> bool:
        """Call `on_ended`, unless the request was cancelled meanwhile; what it returned."""
        on_ended, self.on_ended = self.on_ended, None
        return on_ended is not None and on_ended(outcome)

    def cancel(self) -> None:
        """Nobody wants it any more; `on_ended` is not called."""
        self.connection.cancel(self)
