"""What one `traffic` line of a script has in play."""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from gaproute.load.connection import LoadConnection
from gaproute.load.results import RequestOutcome
from gaproute.load.script import Traffic

NOT_IDLE = -1  # index of a connection that is not among the idle ones


class IdleConnections:
    """Connections that wait for a request; any can be drawn or removed at the same small cost."""

    def __init__(self) -> None:
        self._connections: list[LoadConnection] = []

    def add(self, connection: LoadConnection) -> None:
        """The connection has become idle."""
        connection.idle_index = len(self._connections)
        self._connections.append(connection)

    def remove(self, connection: LoadConnection) -> None:
        """The connection is not idle any more; without effect where it was not."""
        index = connection.idle_index
        if index == NOT_IDLE:
            return
        last = self._connections.pop()
        if last is not connection:
            self._connections[index] = last
            last.idle_index = index
        connection.idle_index = NOT_IDLE

    def draw(self, random_source: random.Random) -> LoadConnection | None:
        """Remove and return any of them, None where there is none."""
        if not self._connections:
            return None
        connection = random_source.choice(self._connections)
        self.remove(connection)
        return connection

    def remove_all(self) -> list[LoadConnection]:
        """Remove all and return them."""
        removed, self._connections = self._connections, []
        for connection in removed:
            connection.idle_index = NOT_IDLE
        return removed


class Deadline(NamedTuple):
    """When (ns of the loop) the requests `pending` of a connection are given up."""

    at: int
    connection: LoadConnection
    pending: deque[int] | None

    @property
    def still_pending(self) -> bool:
        """Whether these requests are in flight still: each sending makes a new `pending`."""
        return self.connection.pending is self.pending


@dataclass
class ActiveTraffic:
    """A `traffic` line in play. `waiting`: intended starts (ns of the loop) that found no idle connection."""

    line: Traffic
    idle: IdleConnections = field(default_factory=IdleConnections)
    waiting: deque[int] = field(default_factory=deque)
    deadlines: deque[Deadline] = field(default_factory=deque)  # in the order of time

    def arrive(self, intended_start: int, random_source: random.Random) -> None:
        """Send the requests of one arrival on an idle connection, or let it wait for one."""
        connection = self.idle.draw(random_source)
        if connection is None:
            self.waiting.append(intended_start)
        else:
            connection.send_requests(self.line, intended_start)

    def give_up_overdue(self, now: int) -> None:
        """Close the connections whose requests are past their deadline."""
        deadlines = self.deadlines
        while deadlines and (deadlines[0].at <= now or not deadlines[0].still_pending):
            deadline = deadlines.popleft()
            if deadline.still_pending and deadline.pending:
                deadline.connection.lose(RequestOutcome.OVERDUE)
