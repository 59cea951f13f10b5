"""Checks whether the client of a request still waits, before an attempt of the request begins."""

from __future__ import annotations

from collections.abc import Collection
from enum import Enum, auto
from typing import Protocol

from gaproute.fronts.jsonrpc.cancellation import RequestReference, find_cancelled_requests
from gaproute.fronts.jsonrpc.message_intake import MessageIntake
from gaproute.loop import Stream
from gaproute.loop.streams import HANGUP_CHECK_INTERVAL
from gaproute.loop.unread import MAX_PEEK_BYTES


class WatchedConnection(Protocol):
    """The part of `RpcConnection` that `ClientPresence` uses."""

    stream: Stream
    intake: MessageIntake
    closing: bool

    def cancel_request(self, reference: RequestReference | None) -> None:
        """Ends a request that the client has cancelled by its number or its id."""


class ClientState(Enum):
    """What the kernel tells of a client."""

    CONNECTED = auto()
    CLOSED = auto()
    UNKNOWN = auto()  # so much is unread that a close may still wait at the client behind it


class ClientPresence:
    """Tells whether the client of a connection still waits, by what the kernel has received from it.

    The loop may be busy for a long time before it reads the connection. Until then, a close or a cancellation
    that is received but unread counts already. Where much is unread, nothing proves that the client is there.
    """

    __slots__ = ("connection", "checked_at", "unread_cancellations")

    def __init__(self, connection: WatchedConnection) -> None:
        self.connection: WatchedConnection | None = connection  # None once it has ended
        self.checked_at = 0  # when the kernel last said that the client is connected, ns
        # The requests that unread cancellations refer to
        self.unread_cancellations: Collection[RequestReference] = ()

    def note_read(self, now: int, *, read_completely: bool) -> None:
        """Records a read behind which the client had not closed; `read_completely`: nothing was left."""
        self.checked_at = now if read_completely else 0
        self.unread_cancellations = ()

    def is_waiting_for(self, number: int, request_id: str) -> bool:
        """Whether the client still waits for the request with this number and id."""
        connection = self.connection
        if connection is None or connection.closing or not connection.stream.open:
            return False
        loop = connection.stream.loop
        now = loop.now()
        if now - self.checked_at >= HANGUP_CHECK_INTERVAL:
            state = self._check_socket(connection, now)
            if state is ClientState.CLOSED:
                loop.call_soon(connection.stream.read_to_end)
            if state is not ClientState.CONNECTED:
                return False
        if number in self.unread_cancellations or request_id in self.unread_cancellations:
            loop.call_soon(connection.cancel_request, request_id)
            return False
        return True

    def end(self) -> None:
        """Lets go of the connection, which has ended: no client waits any more."""
        self.connection = None

    def _check_socket(self, connection: WatchedConnection, now: int) -> ClientState:
        """Asks the kernel whether the client is connected, and looks for unread cancellations."""
        pending = connection.stream.pending()
        if pending.hung_up:
            return ClientState.CLOSED
        unread = connection.stream.peek() if pending.unread else b""
        if len(unread) >= MAX_PEEK_BYTES:
            return ClientState.UNKNOWN
        self.checked_at = now
        self.unread_cancellations = (
            find_cancelled_requests(connection.intake.reader.copy(), unread) if unread else ()
        )
        return ClientState.CONNECTED
