"""Whether the client of a connection still waits for a request, asked when an attempt of it begins."""

from __future__ import annotations

from collections.abc import Collection
from typing import Protocol

from gaproute.fronts.jsonrpc.cancellation import RequestName, cancelled_in
from gaproute.fronts.jsonrpc.framing import MessageReader
from gaproute.loop import Stream
from gaproute.loop.streams import HANGUP_CHECK_INTERVAL, READ_SIZE


class WatchedConnection(Protocol):
    """The part of `ClientConnection` that says whether its client is there."""

    stream: Stream
    reader: MessageReader
    closing: bool

    def cancel_request(self, name: RequestName | None) -> None:
        """The client no longer waits for a request, by its number or its id."""


class ClientPresence:
    """What the kernel was last asked of a connection's client.

    The loop may be a long turn behind: what has come meanwhile, a close or a cancellation, counts although it
    is read later.
    """

    __slots__ = ("connection", "checked_at", "unread_cancellations")

    def __init__(self, connection: WatchedConnection) -> None:
        self.connection = connection
        self.checked_at = 0  # when it was last asked whether the client has closed,
        self.unread_cancellations: Collection[RequestName] = ()  # and what those name that lay unread then

    def note_read(self, now: int, size: int) -> None:
        """So many bytes have been read, and the client had not closed behind them."""
        self.checked_at = now if size < READ_SIZE else 0
        self.unread_cancellations = ()

    def is_waiting_for(self, number: int, request_id: str) -> bool:
        """Whether the client still waits for that request."""
        connection = self.connection
        loop = connection.stream.loop
        if connection.closing or not connection.stream.open:
            return False
        now = loop.now()
        if now - self.checked_at >= HANGUP_CHECK_INTERVAL and not self._check(now):
            loop.soon(connection.stream.read_to_end)
            return False
        if number in self.unread_cancellations or request_id in self.unread_cancellations:
            loop.soon(connection.cancel_request, request_id)
            return False
        return True

    def _check(self, now: int) -> bool:
        """Asks the kernel whether the client is there, and looks for cancellations that lie unread."""
        connection = self.connection
        pending = connection.stream.pending()
        if pending.hung_up:
            return False
        self.checked_at = now
        self.unread_cancellations = (
            cancelled_in(connection.reader.copy(), connection.stream.peek()) if pending.unread else ()
        )
        return True
