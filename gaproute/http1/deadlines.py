"""The deadline of a connection at work: for a request to arrive, for a client to read, or for parking."""

from gaproute.http1.message import Fault

SECOND = 1_000_000_000
QUIET = SECOND  # after its last answer until a connection is parked: a busy one stays as it is
SWEEP = SECOND // 4  # between looks for quiet ones: one wake-up for all of them, not one each


class DeadlineLink:
    """The base of a server's connection: its one timer and what happens when it fires.

    A subclass sets all fields and defines `park()`, `_refuse(fault)` and `_end(error)`.
    """

    __slots__ = (
        "server",
        "stream",
        "reader",
        "queue",
        "closing",
        "timer",
        "due",
        "idle_end",
        "resting",
    )

    def _set_deadline(self):
        """When the request that is coming in or the client that takes no bytes is at its end, or the quiet
        connection is parked; none while an answer is owed. One timer, moved only when it fires: it is nearly
        always moved before.
        """
        limits, reader = self.server.limits, self.reader
        if reader.midway:
            self.due = reader.message.arrived + limits.read_time
            if self.server.last_request is not None:
                self.due = min(self.due, self.server.last_request)
        elif self.stream.bytes_unsent:
            self.due = self.server.loop.now() + limits.read_time
        elif not self.queue and not self.closing:
            now = self.server.loop.now()
            if limits.idle_time > 2 * QUIET:
                if not self.resting or now + QUIET - self.due > SWEEP:
                    self.idle_end, self.due, self.resting = self.server.idle_end(now), now + QUIET, True
                    self.server.rest(self)
                return
            self.idle_end = self.server.idle_end(now)
            self.due = min(now + QUIET, self.idle_end)
        else:
            self.due = None
        self.resting = False
        if self.due is not None and (self.timer is None or self.timer.when > self.due):
            self._arm_timer()

    def _arm_timer(self):
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.server.loop.at(self.due, self._deadline_passed)

    def _deadline_passed(self):
        self.timer = None
        if self.due is None or self.resting:
            return
        if self.due > self.server.loop.now():
            self._arm_timer()
        elif self.stream.bytes_unsent:
            self.stream.abort()
            self._end(None)
        elif not self.reader.midway:
            self.park()
        elif self._came_meanwhile():
            return
        elif self.queue:
            self.closing = True  # the answers still owed go out first
        else:
            self._refuse(Fault(408, "the request did not come in whole in time"))

    def _came_meanwhile(self):
        """Whether the rest of the overdue request had come since the loop last looked: it is taken then."""
        self.stream.read_now()
        return not self.stream.open or not self.reader.midway

    def _clear_deadline(self):
        self.due, self.resting = None, False
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
