"""Finds out whether a client still waits for its request, when an attempt of the request begins."""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol

from gaproute.fronts.jsonrpc.cancellation import RequestReference, find_cancelled_requests
from gaproute.fronts.jsonrpc.framing import MessageReader
from gaproute.loop import Stream
from gaproute.loop.streams import HANGUP_CHECK_INTERVAL, READ_SIZE


class WatchedConnection(Protocol):
    """The part of `RpcConnection` that shows whether its client still waits."""

    stream: Stream
    reader: MessageReader
    closing: bool

    def cancel_request(self, reference: RequestReference | None) -> None:
        """Ends a request, named by its number or its id, that the client has cancelled."""


class ClientPresence:
    """Whether the client of a connection waits, by asking the kernel for what is not read yet.

    The loop may be busy for long before it reads a connection. A close or a cancellation that lies unread in
    the meantime counts already.
    """

    __slots__ = ("connection", "checked_at", "unread_cancellations")

    def __init__(self, connection: WatchedConnection) -> None:
        self.connection = connection
        self.checked_at = 0  # when the kernel was last asked, ns
        # The requests that unread cancellations name
        self.unread_cancellations: Collection[RequestReference] = ()

    def note_read(self, now: int, size: int) -> None:
        """Notes that `size` bytes have been read and the client had not closed after them."""
        self.checked_at = now if size < READ_SIZE else 0
        self.unread_cancellations = ()

    def is_waiting_for(self, number: int, request_id: str) -> bool:
        """Whether the client still waits for the request of this number and id."""
        connection = self.connection
        loop = connection.stream.loop
        if connection.closing or not connection.stream.open:
            return False
        now = loop.now()
        if now - self.checked_at >= HANGUP_CHECK_INTERVAL and not self._check_socket(now):
            loop.soon(connection.stream.read_to_end)
            return False
        if number in self.unread_cancellations or request_id in self.unread_cancellations:
            loop.soon(connection.cancel_request, request_id)
            return False
        return True

    def _check_socket(self, now: int) -> bool:
        """Asks the kernel whether the client is connected, and reads which cancellations lie unread."""
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
