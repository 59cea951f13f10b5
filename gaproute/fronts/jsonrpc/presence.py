"""Checks whether the client of a request still waits, before an attempt of the request begins."""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol

from gaproute.fronts.jsonrpc.cancellation import RequestReference, find_cancelled_requests
from gaproute.fronts.jsonrpc.framing import MessageReader
from gaproute.loop import Stream
from gaproute.loop.streams import HANGUP_CHECK_INTERVAL, READ_SIZE


class WatchedConnection(Protocol):
    """The part of `RpcConnection` that `ClientPresence` uses."""

    stream: Stream
    reader: MessageReader
    closing: bool

    def cancel_request(self, reference: RequestReference | None) -> None:
        """Ends a request that the client has cancelled by its number or its id."""


class ClientPresence:
    """Tells whether the client of a connection still waits, by what the kernel has received from it.

    The loop may be busy for a long time before it reads the connection. Until then, a close or a cancellation
    that is received but unread counts already.
    """

    __slots__ = ("connection", "checked_at", "unread_cancellations")

    def __init__(self, connection: WatchedConnection) -> None:
        self.connection = connection
        self.checked_at = 0  # when the kernel last said that the client is connected, ns
        # The requests that unread cancellations refer to
        self.unread_cancellations: Collection[RequestReference] = ()

    def note_read(self, now: int, size: int) -> None:
        """Records that `size` bytes were read, behind which the client had not closed."""
        self.checked_at = now if size < READ_SIZE else 0
        self.unread_cancellations = ()

    def is_waiting_for(self, number: int, request_id: str) -> bool:
        """Whether the client still waits for the request with this number and id."""
        connection = self.connection
        loop = connection.stream.loop
        if connection.closing or not connection.stream.open:
            return False
        now = loop.now()
        if now - self.checked_at >= HANGUP_CHECK_INTERVAL and not self._check_socket(now):
            loop.call_soon(connection.stream.read_to_end)
            return False
        if number in self.unread_cancellations or request_id in self.unread_cancellations:
            loop.call_soon(connection.cancel_request, request_id)
            return False
        return True

    def _check_socket(self, now: int) -> bool:
        """Asks the kernel whether the client is connected, and looks for unread cancellations."""
        connection = self.connection
        pending = connection.stream.pending()
        if pending.hung_up:
            return False
        self.checked_at = now
        self.unread_cancellations = (
            find_cancelled_requests(connection.reader.copy(), connection.stream.peek())
            if pending.unread
            else ()
        )
        return True
