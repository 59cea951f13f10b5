"""The deadline of a connection in use: to receive a request, to send answers, or to be parked."""

from __future__ import annotations

from typing import Protocol

from gaproute.http1.errors import HttpError
from gaproute.http1.limits import Limits
from gaproute.http1.message import PendingAnswer
from gaproute.http1.reader import RequestReader
from gaproute.loop import Loop, Stream
from gaproute.loop.timers import Timer
from gaproute.units import SECOND

QUIET_TIME = SECOND  # after the last answer, before a connection is parked
SWEEP_INTERVAL = SECOND // 4  # between checks for quiet connections, by one timer for all of them


class DeadlineOwner(Protocol):
    """The part of `Server` that the deadlines of its connections use."""

    loop: Loop
    limits: Limits
    # After a stop with grace: the time by which a request must have arrived completely, ns
    request_arrival_deadline: int | None

    def idle_deadline(self, now: int) -> int:
        """When a connection that is idle from `now` on is closed, ns."""

    def enqueue_quiet(self, connection: DeadlineConnection, due: int) -> None:
        """Queues a quiet connection, to be parked at `due` (ns)."""


class DeadlineConnection:
    """The base class of a server's connection, with its one timer and what the timer does.

    A subclass sets all fields and implements `park`, `_reject` and `_on_closed`.
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
    pending_answers: list[PendingAnswer]  # one for each open request, in the order of the requests
    # Whether no further request is taken and the connection closes after the answers to open requests
    closing: bool
    timer: Timer | None
    deadline: int | None  # when the timer acts, or the queue of quiet connections; ns
    idle_deadline: int  # when the connection closes if no further request comes, ns
    # Whether the server's queue of quiet connections has this one, to park it at its deadline if still quiet
    in_quiet_queue: bool

    def park(self) -> None:
        """Parks the connection, or closes it if its idle time is over."""
        raise NotImplementedError

    def _reject(self, error: HttpError) -> None:
        raise NotImplementedError

    def _on_closed(self, error: OSError | None) -> None:
        raise NotImplementedError

    def _set_deadline(self) -> None:
        """Sets the deadline: to receive the rest of a request, to send answers, or to be parked.

        While an answer is not ready yet there is no deadline. A later deadline moves the timer only when the
        timer fires, as most deadlines change before they pass.
        """
        server = self.server
        read_timeout = server.limits.read_timeout
        if self.reader.message is not None:
            self.deadline = self.reader.message.arrived_at + read_timeout
            if server.request_arrival_deadline is not None:
                self.deadline = min(self.deadline, server.request_arrival_deadline)
        elif self.stream.bytes_unsent:
            self.deadline = server.loop.now() + read_timeout
        elif not self.pending_answers and not self.closing:
            if self._schedule_parking():
                return
        else:
            self.deadline = None
        self.in_quiet_queue = False
        if self.deadline is not None and (self.timer is None or self.timer.when > self.deadline):
            self._start_timer(self.deadline)

    def _schedule_parking(self) -> bool:
        """Sets when a quiet connection is parked.

        Returns whether the server's queue of quiet connections parks it, so that it needs no timer.
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
        self.timer = self.server.loop.call_at(deadline, self._on_deadline)

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
            self.closing = True  # the connection closes after the answers to earlier requests
        else:
            self._reject(HttpError(408, "the request did not come in whole in time"))

    def _read_overdue_rest(self) -> bool:
        """Reads what has arrived; returns whether this ends the wait for the rest of an overdue request."""
        self.stream.read_now()
        return not self.stream.open or not self.reader.mid_message

    def _clear_deadline(self) -> None:
        self.deadline, self.in_quiet_queue = None, False
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
