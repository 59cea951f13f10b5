"""Decides whether a request of a client may begin, and remembers the ids of those that did."""

from __future__ import annotations

from collections.abc import Sized
from enum import Enum
from typing import NamedTuple, Protocol

from gaproute.core.core import Core
from gaproute.decisions.admission.request_ids import RequestIds
from gaproute.fronts.jsonrpc.client_memory import ClientMemory
from gaproute.fronts.jsonrpc.errors import ErrorCode, ProtocolError
from gaproute.loop import Loop

MAX_OPEN_REQUESTS = 32  # of one connection at a time, as the protocol allows


class RefusalReason(Enum):
    """Why a request was refused before the core took it; the values appear in counters."""

    OPEN_REQUESTS = "open_requests"  # as many as one connection may have
    UNREAD_MESSAGES = "unread_messages"  # the client has sent more than it may have open
    MEMORY = "memory"  # the requests in flight, or the messages of clients, use their share
    REQUEST_IDS = "request_ids"  # too many clients have left lately for their ids to be remembered
    STOPPING = "stopping"


REFUSAL_TEXTS = {
    RefusalReason.OPEN_REQUESTS: f"{MAX_OPEN_REQUESTS} requests are open on this connection",
    RefusalReason.UNREAD_MESSAGES: "more messages are unread than a client may have open",
    RefusalReason.MEMORY: "requests use all memory",
    RefusalReason.REQUEST_IDS: "too many clients have left in the last seconds",
    RefusalReason.STOPPING: "the gateway stops",
}


# After these, a client that goes on sending is not read for as long as it was asked to wait.
FLOOD_REASONS = (RefusalReason.UNREAD_MESSAGES, RefusalReason.MEMORY)


class FrontLimits(NamedTuple):
    """What a front may hold for its clients."""

    client_bytes: int  # see `ClientMemory`
    departed_ids: RequestIds  # of requests that may have run and whose clients have left
    answered_ids: RequestIds  # of other requests that may have run
    refusal_pause: int  # how long clients whose request is refused by the front should wait, ns


class RequestingConnection(Protocol):
    """The part of a client's connection that the admission uses."""

    read_completely: bool

    def pause_reading(self, until: int) -> None:
        """Reads nothing more until that time (ns), once all messages read so far are handled."""

    @property
    def open_requests(self) -> Sized:
        """The requests without a final answer."""


class RequestAdmission:
    """Admits requests while there is memory for them, and no id that may have run."""

    def __init__(self, loop: Loop, core: Core, limits: FrontLimits, client_memory: ClientMemory) -> None:
        self.loop, self.core, self.limits, self.client_memory = loop, core, limits, client_memory
        self.open_ids: dict[str, None] = {}  # the clients' ids of open requests
        self.repeated_id_count = 0  # requests that failed as their id was open or may have run

    def check(
        self, connection: RequestingConnection, number: int, request_id: str, size: int, *, stopping: bool
    ) -> None:
        """Checks that a request of that size may begin. Errors: ProtocolError.

        An id that may have run is never refused, as a refusal promises that trying again is harmless.
        """
        if request_id in self.open_ids:
            self._fail_repeated(number, "a request with this i is open")
        if request_id in self.limits.departed_ids or request_id in self.limits.answered_ids:
            self._fail_repeated(number, "a request with this i may have run")
        reason = self._refusal_reason(connection, size, stopping=stopping)
        if reason is not None:
            self.core.record.count_refused(reason.value)
            if reason in FLOOD_REASONS:
                connection.pause_reading(self.loop.now() + self.limits.refusal_pause)
            raise ProtocolError(ErrorCode.REJECTED, REFUSAL_TEXTS[reason], number, self.limits.refusal_pause)

    def _fail_repeated(self, number: int, text: str) -> None:
        self.repeated_id_count += 1
        raise ProtocolError(ErrorCode.INVALID_PARAMS, text, number)

    def _refusal_reason(
        self, connection: RequestingConnection, size: int, *, stopping: bool
    ) -> RefusalReason | None:
        if len(connection.open_requests) >= MAX_OPEN_REQUESTS:
            return RefusalReason.OPEN_REQUESTS
        if not connection.read_completely:
            return RefusalReason.UNREAD_MESSAGES
        if not self.client_memory.has_room(size) or not self.core.request_memory.has_room(size):
            return RefusalReason.MEMORY
        if not self.limits.departed_ids.has_room(self.loop.now(), reserved=len(self.open_ids)):
            return RefusalReason.REQUEST_IDS
        return RefusalReason.STOPPING if stopping else None

    # The life of an id

    def begin(self, request_id: str) -> None:
        """Notes that a request with this id is open."""
        self.open_ids[request_id] = None

    def end_answered(self, request_id: str, *, may_run_again: bool) -> None:
        """Notes that the request was answered."""
        self.open_ids.pop(request_id, None)
        if not may_run_again:
            self.limits.answered_ids.add(self.loop.now(), request_id)

    def end_departed(self, request_id: str, *, may_have_run: bool) -> None:
        """Notes that the client of the request has left."""
        self.open_ids.pop(request_id, None)
        if may_have_run:
            self.limits.departed_ids.add(self.loop.now(), request_id)
