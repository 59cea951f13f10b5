"""Shares the time of a turn of the loop among the connections that have messages to be handled.

A connection may bring hundreds of messages with one read, and hundreds of connections may do so in one turn.
Messages are handled at once while the turn is short; then the connections take turns, one message each.
"""

from collections import deque
from typing import Protocol

from gaproute.loop import Loop
from gaproute.units import MILLI

MAX_HANDLING_TIME = 4 * MILLI  # of one turn of the loop; the others' events wait for no longer than this


class ScheduledConnection(Protocol):
    """A connection with messages to be handled."""

    def handle_next_message(self) -> bool:
        """Handles one message; returns whether more are left."""


class MessageScheduler:
    """Handles the messages of connections, for a bounded time in each turn of the loop."""

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.waiting: deque[ScheduledConnection] = deque()
        self._scheduled = False
        self._turn = -1  # the turn of the loop that `_handling_time` belongs to
        self._handling_time = 0  # ns

    def schedule(self, connection: ScheduledConnection) -> bool:
        """Handles the messages of a connection now or in its turn; returns whether all are handled."""
        if self.waiting or not self._handle(connection, one=False):
            self.waiting.append(connection)
            self._call_soon()
            return False
        return True

    def _call_soon(self) -> None:
        if not self._scheduled:
            self._scheduled = True
            self.loop.call_soon(self._run)

    def _run(self) -> None:
        self._scheduled = False
        for _ in range(len(self.waiting)):
            if not self._has_time():
                break
            connection = self.waiting.popleft()
            if not self._handle(connection, one=True):
                self.waiting.append(connection)
        if self.waiting:
            self._call_soon()

    def _has_time(self) -> bool:
        if self._turn != self.loop.turns:
            self._turn, self._handling_time = self.loop.turns, 0
        return self._handling_time < MAX_HANDLING_TIME

    def _handle(self, connection: ScheduledConnection, *, one: bool) -> bool:
        """Handles one message, or as many as the turn has time for; returns whether all are handled."""
        while self._has_time():
            began_at = self.loop.now()
            more = connection.handle_next_message()
            self._handling_time += self.loop.now() - began_at
            if not more or one:
                return not more
        return False
