"""Admission to a loop: accepts connections, wakes parked ones that speak, and makes room for new ones.

Parked descriptors are watched by an epoll of their own inside the loop's, each until its first event. So
many connections that speak at once are one event to the loop: tasks in hand and their timers go first, and
what waits is served by the decisions on admission in what time they leave. A request counts from when it was
seen to wait.
"""

import os
from collections import deque

from gaproute.connections.descriptors import descriptors
from gaproute.connections.parking import NONE, PARKED, QUEUED, Parking
from gaproute.decisions.admission.admission import (
    ARRIVING,
    DISPLACE,
    HOLD,
    KNOWN,
    SAMPLE,
    TURN_AWAY,
    Admission,
)
from gaproute.decisions.chance import Chance
from gaproute.loop.faults import is_transient
from gaproute.loop.loop import LOBBY

CHUNK = 65536  # bytes read from one that wakes
WAITED = 5_000_000  # ns of waiting at admission that count: less is within any turn


class Lot(Parking):
    """The parked connections of a loop and the lines at admission; one for a loop.

    An owner has `woken(fd, data, address, tasks)` and `admits(sock, address)`.
    """

    def __init__(self, loop, admission=None):
        super().__init__(loop)
        self.admission = admission or Admission(1 << 30, 1 << 30, descriptors(), Chance(1))
        self.known, self.fresh = deque(), deque()  # (descriptor, when seen)
        self.arriving = {}  # listener: its owner
        self.displaced = self.turned_away = 0
        loop.connections = self

    @classmethod
    def of(cls, loop):
        """The loop's lot, made where it has none."""
        return loop.connections or cls(loop)

    # Coming

    def arrive(self, listener, owner):
        """The listener has connections to accept."""
        self.arriving[listener] = owner

    def _accept(self):
        listener, owner = next(iter(self.arriving.items()))
        del self.arriving[listener]
        if self.admission.patient and owner.counted and not self.has_room():
            listener.pause(HOLD)
            return
        came = listener.accept()
        if came is None:
            return
        self.arriving[listener] = owner  # behind the others, until it has none left
        sock, address = came
        owner.admits(sock, address)

    def has_room(self):
        """Whether one more client finds room; in a full house one that rests gives way to it."""
        return self.held < self.admission.most or self._parting() is not None or self._victim() is not None

    def admit(self, address, counted):
        """The place of an arrival's address, or None where it is turned away. `counted`: whether it takes of
        the clients' share of connections; operators and peers do not."""
        if counted:
            said = self.admission.admit(self.held, self.address_counts.count(address), True)
            if said is DISPLACE and not self._displace() and not self.admission.patient:
                said = TURN_AWAY  # a patient house was asked for room first: who rested then has just spoken
            if said is TURN_AWAY:
                self.turned_away += 1
                return None
            self.held += 1
        return self.address_counts.enter(address)

    def _victim(self):
        return self.admission.victim(self.loop.now(), self._idle())

    def _idle(self):
        """Of a small house every parked one is looked at; of a large one those whose end is next."""
        self.hear_unheard()
        some = range(len(self.state)) if self.parked <= 4 * SAMPLE else self.calendar.first(4 * SAMPLE)
        idle = [
            (fd, self.since[fd], self.tasks[fd])
            for fd in some
            if self.state[fd] == PARKED and self.owners[self.owner[fd]].counted
        ]
        return idle if self.parked <= 4 * SAMPLE else idle[:SAMPLE]

    def make_room(self):
        """No descriptor was to be had: some idle ones go, the oldest first."""
        self._catch_up()  # one that has just spoken is not idle
        for fd in self.admission.oldest(self.loop.now(), self._idle()):
            self.displaced += self._retire(fd)

    def _parting(self):
        """The connection that has said farewell longest of those whose answers were taken, where that is long
        enough; it too is counted."""
        now = self.loop.now()
        for stream, since in self.loop.closing_streams.items():
            if self.admission.victim(now, [(stream, since, 0)]) is None:
                return None  # nor are those behind it long enough
            if stream.is_acknowledged():
                return stream
        return None

    def _displace(self):
        parting = self._parting()
        if parting is not None:
            parting.reset()
            return True
        while (fd := self._victim()) is not None:
            if self._retire(fd):
                self.displaced += 1
                return True
        return False

    def _retire(self, fd):
        """Closes a parked connection that rests; one that has spoken by now is in line instead, as a request
        that lies unread would be reset. Returns whether it was closed."""
        self._catch_up()
        if self.state[fd] != PARKED:
            return False
        self._drop(fd)
        return True

    def _catch_up(self):
        """Puts in line whoever has spoken by now. Each is told once: a look that is not full is the last."""
        self.loop.admission_pending = True
        while True:
            events = self.loop.poll_parked(LOBBY)
            self.look(events, self.loop.now())
            if len(events) < LOBBY:
                return

    # Waking

    def look(self, events, seen):
        """What the inner epoll told: they wait in line from `seen` on."""
        for fd, _ in events:
            if self.state[fd] == PARKED:
                self.state[fd] = QUEUED
                (self.known if self.tasks[fd] else self.fresh).append((fd, seen))

    def work(self, until):
        """Serves the lines until that time, one at least; whether somebody still waits."""
        while True:
            line = self.admission.next(len(self.known), len(self.fresh), bool(self.arriving))
            if line is None:
                return bool(self.arriving)
            if line is ARRIVING:
                self.loop.guard(self._accept)
            else:
                fd, seen = (self.known if line is KNOWN else self.fresh).popleft()
                if self.state[fd] == QUEUED:
                    self.loop.guard(self._wake, fd, seen)
            if self.loop.now() >= until:
                return bool(self.known or self.fresh or self.arriving)

    def _wake(self, fd, seen):
        try:
            data = os.read(fd, CHUNK)
        except OSError as fault:
            if is_transient(fault):  # nothing there after all, or it cannot be read now: it waits on
                self.state[fd] = PARKED
                self._enter(fd)
                self._await(fd, True)
                return
            data = b""
        if not data:
            self._drop(fd)
            return
        self.state[fd] = NONE
        self.parked -= 1
        waited = self.loop.now() - seen
        self.loop.read_delay = waited if waited > WAITED else 0
        try:
            self.owners[self.owner[fd]].woken(fd, data, self.place[fd], self.tasks[fd])
        finally:
            self.loop.read_delay = 0

    # Leaving

    def close(self, owner, all_of_them=False, first_by=None):
        """Closes what the owner has parked; those that have spoken and wait only with `all_of_them`.

        `first_by`: those that have brought no request yet stay parked, until that time at the latest.
        """
        self._catch_up()
        self.hear_unheard()
        for listener in [
            listener for listener, whose in self.arriving.items() if whose is self.owners[owner]
        ]:
            del self.arriving[listener]
        for fd, state in enumerate(self.state):
            if self.owner[fd] != owner or state == NONE or state == QUEUED and not all_of_them:
                continue
            if first_by is not None and not self.tasks[fd]:
                self.due[fd] = min(self.due[fd], first_by)
                self._enter(fd)
            elif all_of_them:
                self._drop(fd)
            else:
                self._retire(fd)
