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
    # After a stop with grace: when the last request must be complete, ns
    request_arrival_deadline: int | None

    def idle_deadline(self, now: int) -> int:
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
        "pending_answers",
        "closing",
        "timer",
        "deadline",
        "idle_deadline",
        "in_quiet_queue",
    )

    server: DeadlineOwner
    stream: Stream
    reader: RequestReader
    pending_answers: list[PendingAnswer]  # in the order of the requests
    # Whether no further request is taken and the connection closes after the answers that are owed
    closing: bool
    timer: Timer | None
    deadline: int | None  # of the timer, or of the queue of quiet connections; ns of the loop's clock
    idle_deadline: int  # when the connection is closed if no further request comes
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
        read_time = server.limits.read_timeout
        if self.reader.message is not None:
            self.deadline = self.reader.message.arrived_at + read_time
            if server.request_arrival_deadline is not None:
                self.deadline = min(self.deadline, server.request_arrival_deadline)
        elif self.stream.bytes_unsent:
            self.deadline = server.loop.now() + read_time
        elif not self.pending_answers and not self.closing:
            if self._schedule_parking():
                return
        else:
            self.deadline = None
        self.in_quiet_queue = False
        if self.deadline is not None and (self.timer is None or self.timer.when > self.deadline):
            self._start_timer(self.deadline)

    def _schedule_parking(self) -> bool:
        """Arranges for a quiet connection to be parked.

        Returns whether the server's queue of quiet connections sees to that, so that no timer is needed.
        """
        server = self.server
        now = server.loop.now()
        if server.limits.idle_timeout <= 2 * QUIET_TIME:
            self.idle_deadline = server.idle_deadline(now)
            self.deadline = min(now + QUIET_TIME, self.idle_deadline)
            return False
        deadline = now + QUIET_TIME
        if not self.in_quiet_queue or self.deadline is None or deadline - self.deadline > SWEEP_INTERVAL:
            self.idle_deadline = server.idle_deadline(now)
            self.deadline = deadline
            self.in_quiet_queue = True
            server.enqueue_quiet(self, deadline)
        return True

    def _start_timer(self, deadline: int) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.server.loop.at(deadline, self._on_deadline)

    def _on_deadline(self) -> None:
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
        elif self._read_overdue_rest():
            return
        elif self.pending_answers:
            self.closing = True  # answers that are owed are sent first
        else:
            self._reject(HttpError(408, "the request did not come in whole in time"))

    def _read_overdue_rest(self) -> bool:
        """Reads now; returns whether the rest of the overdue request had already arrived."""
        self.stream.read_now()
        return not self.stream.open or not self.reader.mid_message

    def _clear_deadline(self) -> None:
        self.deadline, self.in_quiet_queue = None, False
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
