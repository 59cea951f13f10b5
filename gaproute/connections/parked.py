"""Parked connections: each is a descriptor and a few numbers in arrays; its idle deadline is in a calendar.

An entry of the arrays belongs to the present use of the descriptor's number: what is queued or due under that
number is looked at only where the state says so.
"""

import os
from abc import ABC, abstractmethod
from array import array
from collections.abc import Iterable
from select import EPOLLIN, EPOLLONESHOT, POLLIN, poll

from gaproute.connections.addresses import AddressCounts
from gaproute.connections.calendar import Calendar
from gaproute.connections.owner import ConnectionOwner
from gaproute.loop.descriptors import FIRST_REGISTER_PAUSE, MAX_REGISTER_PAUSE
from gaproute.loop.faults import Backoff, is_transient
from gaproute.loop.loop import Loop
from gaproute.loop.timers import Timer

MAX_EXPIRIES_PER_TURN = 256  # idle deadlines looked at: after a stall they must not all fall into one turn
NEXT_EVENT = EPOLLIN | EPOLLONESHOT
NOT_PARKED, PARKED, QUEUED = 0, 1, 2  # states; queued: has sent something and waits to be read

_GROWTH = 1024  # entries by which the arrays grow
_MAX_COUNT = 65535  # of requests, as an entry stores it


class ParkedConnections(ABC):
    """Parks connections by descriptor, closes them at their idle deadline, and counts those of clients.

    A subclass queues those that have sent something, and says how an idle one is closed.
    """

    def __init__(self, loop: Loop) -> None:
        self.loop = loop
        self.owners: list[ConnectionOwner] = []  # by id
        # By descriptor:
        self.states, self.owner_ids = array("b"), array("h")
        self.idle_since, self.idle_until, self.calendar_slots = array("q"), array("q"), array("q")
        self.request_counts, self.address_ids = array("H"), array("i")
        self.address_counts = AddressCounts()
        self.client_count = 0  # connections of clients, parked or not
        self.parked_count = 0
        self.expired = 0
        self.calendar: Calendar[int] = Calendar()  # descriptors by idle deadline
        self.timer: Timer | None = None
        # Descriptors that the inner epoll did not take, as keys; some may be closed by now.
        self.unregistered: dict[int, None] = {}
        self.register_timer: Timer | None = None
        self.register_backoff = Backoff(FIRST_REGISTER_PAUSE, MAX_REGISTER_PAUSE)

    @abstractmethod
    def enqueue_events(self, events: Iterable[tuple[int, int]], seen: int) -> None:
        """Queues parked connections that have events, as of the time `seen`."""

    @abstractmethod
    def evict_idle(self) -> None:
        """Closes some idle connections, as descriptors or memory have run out."""

    @abstractmethod
    def _close_idle(self, fd: int) -> bool:
        """Closes a parked connection unless it has sent something; whether it was closed."""

    @property
    def addresses(self) -> dict[str, int]:
        """The addresses that have connections, each with its id."""
        return self.address_counts.ids

    def add_owner(self, owner: ConnectionOwner) -> int:
        """Registers an owner of connections and returns its id."""
        self.owners.append(owner)
        return len(self.owners) - 1

    def park(
        self,
        fd: int,
        owner_id: int,
        *,
        idle_until: int,
        address_id: int,
        request_count: int,
        registered: bool,
    ) -> None:
        """Parks a connection until it sends something or its idle deadline comes.

        `registered`: whether this connection was parked before.
        """
        if fd >= len(self.states):
            self._grow(fd + _GROWTH)
        self.states[fd] = PARKED
        self.owner_ids[fd] = owner_id
        self.idle_until[fd] = idle_until
        self.idle_since[fd] = self.loop.now()
        self.request_counts[fd] = min(request_count, _MAX_COUNT)
        self.address_ids[fd] = address_id
        self.parked_count += 1
        self._schedule_expiry(fd)
        self._watch_parked(fd, registered=registered)

    def _grow(self, size: int) -> None:
        added = size - len(self.states)
        for column in (
            self.states,
            self.owner_ids,
            self.idle_until,
            self.idle_since,
            self.calendar_slots,
            self.request_counts,
            self.address_ids,
        ):
            column.frombytes(bytes(added * column.itemsize))

    def release(self, address_id: int, counted: bool) -> None:
        """A connection of that address is closed; `counted`: whether it was a client's."""
        self.client_count -= counted
        self.address_counts.remove(address_id)

    def _close_parked(self, fd: int) -> None:
        self.states[fd] = NOT_PARKED
        self.parked_count -= 1
        owner = self.owners[self.owner_ids[fd]]
        try:  # noqa: SIM105 - for each connection, where `suppress` costs as much as the call
            os.close(fd)
        except OSError:
            pass  # Linux gives the descriptor back whatever error close(2) returns
        self.release(self.address_ids[fd], owner.counted)
        owner.connection_closed()

    # Registration with the inner epoll

    def _watch_parked(self, fd: int, *, registered: bool) -> None:
        """Has the inner epoll report the connection's next event; a transient failure is retried."""
        try:
            if registered:
                self.loop.parked_epoll.modify(fd, NEXT_EVENT)
            else:
                self.loop.parked_epoll.register(fd, NEXT_EVENT)
        except FileNotFoundError:  # it sent something before the epoll took it
            self._register(fd)
        except OSError as fault:
            self._put_off(fd, fault)

    def _register(self, fd: int) -> None:
        try:
            try:
                self.loop.parked_epoll.register(fd, NEXT_EVENT)
            except FileExistsError:
                self.loop.parked_epoll.modify(fd, NEXT_EVENT)
        except OSError as fault:
            self._put_off(fd, fault)

    def _put_off(self, fd: int, fault: OSError) -> None:
        if not is_transient(fault):
            self._close_parked(fd)
            raise fault
        self.unregistered[fd] = None
        if self.register_timer is None:
            pause = self.register_backoff.next_pause()
            self.register_timer = self.loop.after(pause, self._register_again)

    def _register_again(self) -> None:
        """Retries each that the inner epoll did not take; where it takes none of them there is a shortage."""
        self.register_timer = None
        waiting, self.unregistered = self.unregistered, {}
        for fd in waiting:
            if self.states[fd] == PARKED:
                self.loop.guard(self._register, fd)
        if len(self.unregistered) < len(waiting):
            self.register_backoff.reset()
        else:
            self.evict_idle()  # which first reads of those that have sent something

    def poll_unregistered(self) -> None:
        """Queues those that have sent something that the inner epoll could not report: they are not idle."""
        if not self.unregistered:
            return
        poller = poll()
        for fd in self.unregistered:
            poller.register(fd, POLLIN)
        try:
            events = poller.poll(0)
        except OSError:
            return  # at the next call
        if events:
            self.enqueue_events(events, self.loop.now())
            self.loop.admission_pending = True

    # Idle deadlines

    def _schedule_expiry(self, fd: int) -> None:
        """Adds the descriptor to the calendar where no entry of it comes up by its deadline."""
        due = self.idle_until[fd]
        if not self.calendar_slots[fd] or self.calendar_slots[fd] > self.calendar.slot_of(due):
            self.calendar_slots[fd] = self.calendar.add(fd, due)
            self._set_timer()

    def _set_timer(self) -> None:
        due = self.calendar.next_due()
        if due is None:
            return
        timer = self.timer
        if timer is None or timer.call is None or timer.when > due:
            if timer is not None:
                timer.cancel()
            # What is due already has its turn in the next turn of the loop, not in this one again.
            self.timer = self.loop.at(max(due, self.loop.now() + 1), self._close_expired)

    def _close_expired(self) -> None:
        self.timer = None
        self.poll_unregistered()
        now = self.loop.now()
        for fd, slot in self.calendar.take_due(now, MAX_EXPIRIES_PER_TURN):
            if self.calendar_slots[fd] != slot:
                continue  # another entry stands for this descriptor
            self.calendar_slots[fd] = 0
            if self.states[fd] != PARKED:
                continue  # it is in use; when it is parked again it is added again
            if self.idle_until[fd] > now:
                self.calendar_slots[fd] = self.calendar.add(fd, self.idle_until[fd])
            else:
                self.expired += self._close_idle(fd)
        self._set_timer()
