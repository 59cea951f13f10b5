"""Parked connections: each is a descriptor and a few numbers in arrays, its idle end is in a calendar.

An entry of the arrays belongs to the descriptor's present life alone: what is queued or due under its number
is looked at only where the state says so.
"""

import os
from array import array
from select import EPOLLIN, EPOLLONESHOT, POLLIN, poll

from gaproute.connections.addresses import AddressCounts
from gaproute.connections.calendar import Calendar
from gaproute.loop.faults import Backoff, is_transient
from gaproute.loop.loop import REGISTER_FIRST, REGISTER_LONGEST

EXPIRES = 256  # idle ends looked at in one turn: after a stop they must not all fall into one
ONCE = EPOLLIN | EPOLLONESHOT
NONE, PARKED, QUEUED = 0, 1, 2


class Parking:
    """Parks connections by descriptor, closes them at their idle end, and counts clients' connections.

    The base of the lot, which gives `look(events, seen)` and `_retire(fd)`. An owner has `counted` and
    `lost()`.
    """

    def __init__(self, loop):
        self.loop = loop
        self.state, self.owner = array("b"), array("h")
        self.due, self.since, self.slot = array("q"), array("q"), array("q")
        self.tasks, self.place = array("H"), array("i")
        self.owners = []  # by number
        self.calendar, self.timer = Calendar(), None
        self.address_counts = AddressCounts()
        self.held = self.parked = 0  # clients' connections in all; those parked
        self.expired = 0
        self.unheard = {}  # descriptors that the inner epoll did not take, as keys; some may be gone by now
        self.hear_timer, self.hear_backoff = None, Backoff(REGISTER_FIRST, REGISTER_LONGEST)

    @property
    def addresses(self):
        """The addresses that have connections, each with its place."""
        return self.address_counts.places

    def open(self, owner):
        """Registers an owner of connections and returns its number."""
        self.owners.append(owner)
        return len(self.owners) - 1

    def park(self, fd, owner, due, place, tasks, listed):
        """Parks a connection until it speaks or its idle end `due` comes.

        `owner`: its number; `listed`: whether the descriptor was parked before in this life.
        """
        if fd >= len(self.state):
            more = fd + 1024 - len(self.state)
            for column in (self.state, self.owner, self.due, self.since, self.slot, self.tasks, self.place):
                column.frombytes(bytes(more * column.itemsize))
        self.state[fd], self.owner[fd], self.due[fd] = PARKED, owner, due
        self.since[fd], self.tasks[fd], self.place[fd] = self.loop.now(), min(tasks, 65535), place
        self.parked += 1
        self._enter(fd)
        self._await(fd, listed)

    def _await(self, fd, listed):
        """The inner epoll tells the next event of a parked connection; where it is short of memory or of
        watches for a moment, it is tried again."""
        try:
            if listed:
                self.loop.parked_epoll.modify(fd, ONCE)
            else:
                self.loop.parked_epoll.register(fd, ONCE)
        except FileNotFoundError:  # it spoke before the epoll took it
            self._register(fd)
        except OSError as fault:
            self._put_off(fd, fault)

    def _put_off(self, fd, fault):
        if not is_transient(fault):
            self._drop(fd)
            raise fault
        self.unheard[fd] = None
        if self.hear_timer is None:
            self.hear_timer = self.loop.after(self.hear_backoff.next_pause(), self._hear_again)

    def _hear_again(self):
        """One more try for each that the inner epoll did not take; where it takes none of them there is a
        shortage."""
        self.hear_timer = None
        waiting, self.unheard = self.unheard, {}
        for fd in waiting:
            if self.state[fd] == PARKED:
                self.loop.guard(self._register, fd)
        if len(self.unheard) < len(waiting):
            self.hear_backoff.reset()
        else:
            self.loop.connections.make_room()  # which hears those that have spoken

    def _register(self, fd):
        try:
            try:
                self.loop.parked_epoll.register(fd, ONCE)
            except FileExistsError:
                self.loop.parked_epoll.modify(fd, ONCE)
        except OSError as fault:
            self._put_off(fd, fault)

    def hear_unheard(self):
        """Those that have spoken though the inner epoll could not tell it wait in line: none of them may be
        taken for idle."""
        if not self.unheard:
            return
        asked = poll()
        for fd in self.unheard:
            asked.register(fd, POLLIN)
        try:
            spoke = asked.poll(0)
        except OSError:
            spoke = []  # at the next look
        if spoke:
            self.look(spoke, self.loop.now())
            self.loop.admission_pending = True

    def _enter(self, fd):
        """Into the calendar, where no entry of the descriptor comes up by its end."""
        due = self.due[fd]
        if not self.slot[fd] or self.slot[fd] > self.calendar.slot(due):
            self.slot[fd] = self.calendar.add(fd, due)
            self._arm()

    def _arm(self):
        due = self.calendar.next()
        if due is not None and (self.timer is None or self.timer.call is None or self.timer.when > due):
            if self.timer is not None:
                self.timer.cancel()
            # What is due already has its turn in the next turn of the loop, not in this one again.
            self.timer = self.loop.at(max(due, self.loop.now() + 1), self._tick)

    def _tick(self):
        self.timer = None
        self.hear_unheard()
        now = self.loop.now()
        for fd, slot in self.calendar.take(now, EXPIRES):
            if self.slot[fd] != slot:
                continue  # another entry speaks for this descriptor
            self.slot[fd] = 0
            if self.state[fd] != PARKED:
                continue  # it is at work; when it is parked again it is entered again
            if self.due[fd] > now:
                self.slot[fd] = self.calendar.add(fd, self.due[fd])
            else:
                self.expired += self._retire(fd)
        self._arm()

    def _drop(self, fd):
        self.state[fd] = NONE
        self.parked -= 1
        owner = self.owners[self.owner[fd]]
        try:
            os.close(fd)
        except OSError:
            pass  # Linux gives the descriptor back whatever error close(2) tells
        self.leave(self.place[fd], owner.counted)
        owner.lost()

    def leave(self, place, counted):
        """A connection of that address is closed."""
        self.held -= counted
        self.address_counts.leave(place)
