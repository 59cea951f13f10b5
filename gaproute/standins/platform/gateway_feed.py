"""The change log as one gateway sees it: an address of its own, what was sent there, and its faults.

An event `told` (host, state, gateway, seq) is noted when the change counts as known to that gateway:

| fault | counts |
| --- | --- |
| none | once the event is written, whether the gateway is connected or not |
| `silent`, `off`, `elsewhere` | when that ends, or 4 s after it began, whichever comes first |
| `hold`, `late` | when it is sent |
"""

from __future__ import annotations

import socket
from collections.abc import Sequence
from enum import StrEnum
from typing import NamedTuple, Protocol

import msgspec

from gaproute.loop import Listener, Loop
from gaproute.loop.addresses import parse_address
from gaproute.standins.event_stream import (
    COMMENT,
    RESPONSE_HEAD,
    EventStreamConnection,
    encode_event,
    last_event_id,
)
from gaproute.standins.platform.host_list import STATES, ChangeEvent, ListedMember
from gaproute.standins.tap import EventRecorder
from gaproute.units import SECOND

# After which what would have been sent by a dead way counts as known: the platform's rule.
COUNTED_AFTER = 4 * SECOND
MAX_NOTED = 200  # bytes of a request that cannot be read


class FeedFault(StrEnum):
    """What goes wrong on the way to one gateway."""

    SILENT = "silent"  # connections stay open and nothing is sent, not even comments
    OFF = "off"  # nothing listens
    ELSEWHERE = "elsewhere"  # nothing here: whoever stands between has cut the way and says so
    HOLD = "hold"  # comments go on, events are withheld
    LATE = "late"  # each event comes `by` ns later


DEAD_WAYS = (FeedFault.SILENT, FeedFault.OFF, FeedFault.ELSEWHERE)


class FeedFaultCommand(msgspec.Struct, frozen=True):
    """A command that begins or ends a fault."""

    fault: FeedFault = msgspec.field(name="trouble")
    active: bool = msgspec.field(default=True, name="on")
    delay: int = msgspec.field(default=0, name="by")  # ns
    counted_after: int = msgspec.field(default=COUNTED_AFTER, name="counts")  # ns


class ActiveFault(NamedTuple):
    """A fault and since when it is active, ns."""

    since: int
    command: FeedFaultCommand


class EventLog(Protocol):
    """What a feed reads of the change log."""

    loop: Loop
    tap: EventRecorder

    @property
    def events(self) -> Sequence[ChangeEvent]:
        """All events, that with the number 1 first."""


class GatewayFeed:
    """Listens for one gateway, and sends it the log's events."""

    def __init__(self, log: EventLog, number: int, where: str) -> None:
        """`number`: of the gateway. Errors: OSError."""
        self.log, self.number, self.where = log, number, where
        self.connection: EventStreamConnection | None = None
        self.sent = 0  # number of the last event that the gateway has or was sent
        self.released = 0  # number of the last event that may be sent
        self.counted = 0  # number of the last event that counts as known to the gateway
        self.faults: dict[FeedFault, ActiveFault] = {}
        self._listen()

    def _listen(self) -> None:
        self.listener = Listener(self.log.loop, parse_address(self.where), self._accept)
        self.where = self.listener.address

    def _accept(self, sock: socket.socket) -> None:
        EventStreamConnection(self.log.loop, sock, self._answer, self._ended)

    def _ended(self, connection: EventStreamConnection) -> None:
        if self.connection is connection:
            self.connection = None

    def _answer(self, connection: EventStreamConnection, request: bytes) -> None:
        last = last_event_id(request)
        if not request.startswith(b"GET /changes ") or not last.isdigit():
            self.log.tap.note("void", gateway=self.number, why=repr(request[:MAX_NOTED]))
            connection.abort()
            return
        if self.connection is not None:
            self.connection.abort()
        self.connection, self.sent = connection, int(last)
        self.log.tap.note("asked", gateway=self.number, last=self.sent)
        if FeedFault.SILENT not in self.faults:
            connection.write(RESPONSE_HEAD)
            self._push()

    # Events

    def event_written(self) -> None:
        """Sends a new event, now or later."""
        late = self.faults.get(FeedFault.LATE)
        if late is not None:
            self.log.loop.call_later(late.command.delay, self._release, len(self.log.events))
        self._push()

    def _release(self, last: int) -> None:
        """Events up to that number may be sent."""
        self.released = max(self.released, last)
        self._push()

    def _push(self) -> None:
        """Sends what may be sent, and counts what the gateway knows by that."""
        if FeedFault.HOLD in self.faults:
            return
        last = self.released if FeedFault.LATE in self.faults else len(self.log.events)
        self.released = max(self.released, last)
        if self.connection is not None and FeedFault.SILENT not in self.faults:
            for number in range(max(self.sent, 0) + 1, last + 1):
                self.connection.write(self.encoded_event(number))
            self.sent = max(self.sent, last)
        if not any(fault in self.faults for fault in DEAD_WAYS):
            self._count(last)

    def encoded_event(self, number: int) -> bytes:
        """The event's bytes for this gateway. A member's `host_port` may be a list with an address for each
        gateway: then every gateway finds the host by one of its own."""
        event = self.log.events[number - 1]
        members = [self._own_address(row) for row in event["fleet"]["members"]]
        return encode_event(event | {"fleet": event["fleet"] | {"members": members}})

    def _own_address(self, row: ListedMember) -> ListedMember:
        where = row["host_port"]
        return row | {"host_port": where[self.number]} if isinstance(where, list) else row

    def _count(self, last: int) -> None:
        """Notes that the gateway knows the events up to that number."""
        for number in range(self.counted + 1, last + 1):
            for row in self.log.events[number - 1]["fleet"]["members"]:
                state = STATES[row["phase"]]
                self.log.tap.note("told", host=row["id"], state=state, gateway=self.number, seq=number)
        self.counted = max(self.counted, last)

    def upkeep(self) -> None:
        """Each second: a comment, and what counts as known although the way is dead."""
        counted_at = [
            since + command.counted_after
            for fault, (since, command) in self.faults.items()
            if fault in DEAD_WAYS
        ]
        if counted_at and self.log.loop.now() >= min(counted_at):
            self._count(len(self.log.events))
        if self.connection is not None and FeedFault.SILENT not in self.faults:
            self.connection.write(COMMENT)

    # Faults

    def apply(self, command: FeedFaultCommand) -> None:
        """Begins or ends a fault."""
        fault = command.fault
        if command.active:
            self.faults[fault] = ActiveFault(self.log.loop.now(), command)
            if fault is FeedFault.OFF:
                self.cut()
                self.listener.close()
            return
        if self.faults.pop(fault, None) is None:
            return
        if fault is FeedFault.OFF:
            self._listen()
        if fault is FeedFault.SILENT:
            self.cut()  # it answered nothing: the gateway asks again
        self._push()

    def cut(self) -> None:
        """Resets the gateway's connection."""
        if self.connection is not None:
            self.connection.abort()
            self.connection = None

    def move(self) -> None:
        """Listens at another port of its address from now on."""
        self.cut()
        self.listener.close()
        self.where = self.where.rpartition(":")[0] + ":0"
        self._listen()

    def close(self) -> None:
        """Ends the connection and the listening."""
        self.cut()
        self.listener.close()
