"""The deadline of a connection in use: for a request to arrive, for its client to read, or for parking."""

from __future__ import annotations

from typing import Protocol

from gaproute.http1.errors import HttpError
from gaproute.http1.limits import Limits
from gaproute.http1.message import PendingAnswer
from gaproute.http1.reader import RequestReader
from gaproute.loop import Loop, Stream
from gaproute.loop.timers import Timer
from gaproute.units import SECOND

QUIET_TIME = SECOND  # after its last answer until a connection is parked
SWEEP_INTERVAL = SECOND // 4  # between checks for quiet connections: one timer for all of them


class DeadlineOwner(Protocol):
    """The part of `Server` that the deadlines of its connections need."""

    loop: Loop
    limits: Limits
    last_request_by: int | None  # after a stop with grace: when the last request must be complete, ns

    def idle_end(self, now: int) -> int:
        """When a connection that is idle from `now` on is closed, ns."""

    def enqueue_quiet(self, connection: DeadlineConnection, due: int) -> None:
        """Queues a quiet connection for parking."""


class DeadlineConnection:
    """The base of a server's connection: its one timer, and what happens when the timer fires.

    A subclass sets all fields, and implements `park`, `_reject` and `_on_closed`.
    """

    __slots__ = (
        "server",
        "stream",
        "reader",
        "queue",
        "closing",
        "timer",
        "deadline",
        "idle_end",
        "in_quiet_queue",
    )

    server: DeadlineOwner
    stream: Stream
    reader: RequestReader
    queue: list[PendingAnswer]  # in the order of the requests
    # Whether no further request is taken and the connection closes after the answers that are owed
    closing: bool
    timer: Timer | None
    deadline: int | None  # of the timer, or of the queue of quiet connections; ns of the loop's clock
    idle_end: int  # when the connection is closed if no further request comes
    # Whether the server's queue has the connection, to park it at its deadline if it is still quiet then
    in_quiet_queue: bool

    def park(self) -> None:
        """Parks the connection, or closes it if its idle time is over."""
        raise NotImplementedError

    def _reject(self, error: HttpError) -> None:
        raise NotImplementedError

    def _on_closed(self, error: OSError | None) -> None:
        raise NotImplementedError

    def _set_deadline(self) -> None:
        """Sets the deadline for an incomplete request, for the client to read, or for parking.

        There is none while an answer is owed. The timer is moved only when it fires, as most deadlines move
        before that.
        """
        server = self.server
        read_time = server.limits.read_time
        if self.reader.message is not None:
            self.deadline = self.reader.message.arrived_at + read_time
            if server.last_request_by is not None:
                self.deadline = min(self.deadline, server.last_request_by)
        elif self.stream.bytes_unsent:
            self.deadline = server.loop.now() + read_time
        elif not self.queue and not self.closing:
            if self._wait_for_parking():
                return
        else:
            self.deadline = None
        self.in_quiet_queue = False
        if self.deadline is not None and (self.timer is None or self.timer.when > self.deadline):
            self._start_timer(self.deadline)

    def _wait_for_parking(self) -> bool:
        """Arranges for a quiet connection to be parked.

        Returns whether the server's queue of quiet connections sees to that, so that no timer is needed.
        """
        server = self.server
        now = server.loop.now()
        if server.limits.idle_time <= 2 * QUIET_TIME:
            self.idle_end = server.idle_end(now)
            self.deadline = min(now + QUIET_TIME, self.idle_end)
            return False
        deadline = now + QUIET_TIME
        if not self.in_quiet_queue or self.deadline is None or deadline - self.deadline > SWEEP_INTERVAL:
            self.idle_end = server.idle_end(now)
            self.deadline = deadline
            self.in_quiet_queue = True
            server.enqueue_quiet(self, deadline)
        return True

    def _start_timer(self, deadline: int) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.server.loop.at(deadline, self._deadline_passed)

    def _deadline_passed(self) -> None:
        self.timer = None
        if self.deadline is None or self.in_quiet_queue:
            return
        if self.deadline > self.server.loop.now():
            self._start_timer(self.deadline)
        elif self.stream.bytes_unsent:
            self.stream.abort()
            self._on_closed(None)
        elif not self.reader.mid_message:
            self.park()
        elif self._rest_arrived():
            return
        elif self.queue:
            self.closing = True  # answers that are owed are sent first
        else:
            self._reject(HttpError(408, "the request did not come in whole in time"))

    def _rest_arrived(self) -> bool:
        """Reads now; returns whether the rest of the overdue request had already arrived."""
        self.stream.read_now()
        return not self.stream.open or not self.reader.mid_message

    def _clear_deadline(self) -> None:
        self.deadline, self.in_quiet_queue = None, False
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
