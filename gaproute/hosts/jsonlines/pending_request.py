"""One request on a connection to a host, until its reply or its failure."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol, TypeAlias

from gaproute.hosts.jsonlines.messages import Reply
from gaproute.interface import Result
from gaproute.interface.call import assume_client_present
from gaproute.loop import Stream

NO_DEADLINE = 1 << 62  # later than any time; for requests that have a timeout of their own

# Called with the reply, or with the result of a failure; returns whether the id is never sent again.
OnRequestEnded: TypeAlias = Callable[[Reply | Result], bool]


def encode_nothing(now: int) -> bytes:
    """Replaces `PendingRequest.encode` once the request is written, so that its content can be freed."""
    return b""


class ConnectionProtocol(Protocol):
    """The part of `Connection` that its requests use."""

    stream: Stream | None

    def is_written(self, request: PendingRequest) -> bool:
        """Whether the host may have received the complete request."""

    def is_silent_since(self, time: int) -> bool:
        """Whether nothing was received since that time, or no reply was ever received."""

    def cancel(self, request: PendingRequest) -> None:
        """Ends a request whose reply nobody waits for any more."""

    def fail(self, error: BaseException | None) -> None:
        """Ends the connection and fails each request on it."""


class PendingRequest:
    """A request that waits to be written, or for its reply.

    `encode(now)` returns the request's bytes and is called when they are written. The request starts before
    `start_before` (ns) and while `still_wanted()` is true, or never. `on_ended` is called once, and later.
    """

    __slots__ = (
        "connection",
        "id",
        "encode",
        "start_before",
        "on_ended",
        "created_at",
        "still_wanted",
        "end_offset",
    )

    def __init__(
        self,
        connection: ConnectionProtocol,
        request_id: str,
        encode: Callable[[int], bytes],
        start_before: int,
        on_ended: OnRequestEnded | None,
        now: int,
        still_wanted: Callable[[], bool] = assume_client_present,
    ) -> None:
        self.connection, self.id, self.start_before, self.created_at = (
            connection,
            request_id,
            start_before,
            now,
        )
        self.encode = encode
        self.on_ended = on_ended  # None once the request has ended
        self.still_wanted = still_wanted
        # Bytes written on the connection up to the end of this request; None until the request has started.
        self.end_offset: int | None = None

    @property
    def started(self) -> bool:
        """Whether the kernel has taken a byte of the request."""
        return self.end_offset is not None

    @property
    def cancellable(self) -> bool:
        """Whether a started request can still be withdrawn, as its last byte has not been sent.

        After `cancel` the last byte is never sent, so the host never gets the complete request.
        """
        stream = self.connection.stream
        return stream is not None and stream.open and not self.connection.is_written(self)

    def end(self, outcome: Reply | Result) -> bool:
        """Calls `on_ended` and returns its result; returns False if the request has ended already."""
        on_ended, self.on_ended = self.on_ended, None
        return on_ended is not None and on_ended(outcome)

    def cancel(self) -> None:
        """Ends the request, as nobody waits for its reply any more; `on_ended` is not called."""
        self.connection.cancel(self)
