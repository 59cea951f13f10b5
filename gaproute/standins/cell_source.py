"""A stand-in source of cells' host lists for tests: one address that serves the change log of each cell.

It does what a source must do: numbers go on when it starts anew (they begin with a number that is handed in),
and a follower that asks for a number that the source does not have gets the whole list. `SourceFault` makes
it do otherwise.
"""

from __future__ import annotations

import socket
from collections import Counter
from enum import Enum
from typing import NamedTuple
from urllib.parse import unquote

from gaproute.loop import Listener, Loop
from gaproute.loop.addresses import parse_address
from gaproute.standins.event_stream import (
    COMMENT,
    RESPONSE_HEAD,
    EventStreamConnection,
    encode_event,
    last_event_id,
)
from gaproute.standins.platform.host_list import ListedMember, VersionedHostList
from gaproute.units import SECOND

COMMENT_INTERVAL = SECOND // 2  # half of the silence that a follower tolerates
NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"


class SourceFault(Enum):
    """What a source does in place of what it should."""

    SILENT = "silent"  # connections are accepted and nothing is sent
    TORN = "torn"  # the next event is cut in its middle, and the connection with it


class Poll(NamedTuple):
    """A request for the events after a number."""

    cell: str
    last: int


class CellLog:
    """The change log of one cell: its events as bytes, and the list as it stands."""

    def __init__(self, first: int) -> None:
        """`first`: the number before the first event."""
        self.first = first
        self.host_list = VersionedHostList(first)
        self.events: list[bytes] = []

    def change(self, *members: ListedMember) -> bytes:
        """The bytes of the next event."""
        event = self.host_list.change(*members)
        event["fleet"]["complete"] = not self.events
        self.events.append(encode_event(event))
        return self.events[-1]

    def since(self, last: int) -> bytes:
        """What a follower gets that has the events up to `last`: those after it, or the list as it stands."""
        if not self.events:
            return b""
        if self.first < last <= self.host_list.version:
            return b"".join(self.events[last - self.first :])
        return encode_event(self.host_list.snapshot()["results"][0])


class CellSource:
    """Serves the logs of a fleet's cells. Errors: OSError."""

    def __init__(
        self,
        loop: Loop,
        fleet: str,
        where: str = "127.0.0.1:0",
        begin: int = 0,
        comment: int = COMMENT_INTERVAL,
    ) -> None:
        """`begin`: the number before the first event of each log; `comment`: ns between signs of life."""
        self.loop, self.fleet, self.begin, self.comment_interval = loop, fleet, begin, comment
        self.logs: dict[str, CellLog] = {}  # by cell
        self.connections: dict[EventStreamConnection, str | None] = {}  # the cell that each follows
        self.poll_counts: Counter[str] = Counter()  # by cell
        self.polls: list[Poll] = []  # in order
        self.fault: SourceFault | None = None
        self._event_delay = 0  # ns
        self.listener = Listener(loop, parse_address(where), self._accept)
        self.address = self.listener.address
        self._timer = loop.call_later(comment, self._send_comments)

    def publish(self, cell: str, *members: ListedMember) -> None:
        """The cell's first list, or the next change of it."""
        log = self.logs.get(cell)
        if log is None:
            log = self.logs[cell] = CellLog(self.begin)
        event = log.change(*members)
        if self.fault is SourceFault.TORN:
            self.fault = None
            self.send(cell, event[: len(event) // 2])
            self.cut()
        elif self.fault is not SourceFault.SILENT and self._event_delay:
            self.loop.call_later(self._event_delay, self.send, cell, event)
        elif self.fault is not SourceFault.SILENT:
            self.send(cell, event)

    def send(self, cell: str, data: bytes) -> None:
        """Sends bytes as they are to all that follow the cell; they are no part of its log."""
        for connection, followed in list(self.connections.items()):
            if followed == cell:
                connection.write(data)

    def delay_events(self, delay: int) -> None:
        """From now on each event comes so many ns later."""
        self._event_delay = delay

    def follower_count(self, cell: str) -> int:
        """How many follow the cell."""
        return sum(followed == cell for followed in self.connections.values())

    def cut(self) -> None:
        """Resets all connections."""
        for connection in list(self.connections):
            connection.abort()
        self.connections.clear()

    def close(self) -> None:
        """Ends as when its process is killed."""
        self._timer.cancel()
        self.listener.close()
        self.cut()

    def _accept(self, sock: socket.socket) -> None:
        connection = EventStreamConnection(self.loop, sock, self._answer, self._ended)
        self.connections[connection] = None

    def _ended(self, connection: EventStreamConnection) -> None:
        self.connections.pop(connection, None)

    def _answer(self, connection: EventStreamConnection, request: bytes) -> None:
        _, path, _ = request.split(b" ", 2)
        _, changes, fleet, cell = map(unquote, path.decode().split("/"))
        last = int(last_event_id(request))
        self.poll_counts[cell] += 1
        self.polls.append(Poll(cell, last))
        if self.fault is SourceFault.SILENT:
            return
        if (changes, fleet) != ("changes", self.fleet) or cell not in self.logs:
            connection.write(NOT_FOUND)
            return
        self.connections[connection] = cell
        connection.write(RESPONSE_HEAD)
        events = self.logs[cell].since(last)
        if self._event_delay:
            self.loop.call_later(self._event_delay, connection.write, events)
        else:
            connection.write(events)

    def _send_comments(self) -> None:
        self._timer = self.loop.call_later(self.comment_interval, self._send_comments)
        if self.fault is SourceFault.SILENT:
            return
        for connection, cell in self.connections.items():
            if cell is not None:
                connection.write(COMMENT)
