"""Parked connections, each stored as a descriptor, a few numbers in arrays and an entry in a calendar.

The arrays are indexed by descriptor. A queue or the calendar may still have an entry of an earlier connection
with the same descriptor, so an entry that is taken out is checked against the descriptor's present state.
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

MAX_EXPIRIES_PER_TURN = 256  # bounds the work of a turn after a stall, when many idle deadlines have passed
NEXT_READ_EVENT = EPOLLIN | EPOLLONESHOT
NOT_PARKED, PARKED, QUEUED = 0, 1, 2  # QUEUED: the connection has sent bytes and waits to be read

_GROWTH_ENTRIES = 1024  # the arrays grow by this many
_MAX_REQUEST_COUNT = 65535  # largest value that an entry of `request_counts` stores


class ParkedConnections(ABC):
    """Parks connections by descriptor, closes them at their idle deadline, and counts those of clients.

    A subclass queues the connections that have sent bytes, and closes idle connections.
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
        self.expired_count = 0
        self.calendar: Calendar[int] = Calendar()  # descriptors by idle deadline
        self.expiry_timer: Timer | None = None
        # Keys: descriptors whose registration with the epoll failed; some may be closed by now.
        self.pending_registrations: dict[int, None] = {}
        self.register_timer: Timer | None = None
        self.register_backoff = Backoff(FIRST_REGISTER_PAUSE, MAX_REGISTER_PAUSE)

    @abstractmethod
    def enqueue_events(self, events: Iterable[tuple[int, int]], seen_at: int) -> None:
        """Queues the parked connections that have events; they wait since the time `seen_at` (ns)."""

    @abstractmethod
    def evict_idle(self) -> None:
        """Closes some idle connections, to free descriptors and memory."""

    @abstractmethod
    def _close_idle(self, fd: int) -> bool:
        """Closes a parked connection unless it has sent bytes; returns whether it was closed."""

    @property
    def addresses(self) -> dict[str, int]:
        """The ids of the addresses that have connections, by address."""
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
        """Parks a connection until it sends bytes or its idle deadline `idle_until` (ns) comes.

        `registered`: whether this connection was parked before, so that the epoll already has its descriptor.
        """
        if fd >= len(self.states):
            self._grow(fd + _GROWTH_ENTRIES)
        self.states[fd] = PARKED
        self.owner_ids[fd] = owner_id
        self.idle_until[fd] = idle_until
        self.idle_since[fd] = self.loop.now()
        self.request_counts[fd] = min(request_count, _MAX_REQUEST_COUNT)
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

    def release(self, address_id: int, *, counted: bool) -> None:
        """Counts one connection of the address less; `counted`: whether it counted as a client's."""
        self.client_count -= counted
        self.address_counts.remove(address_id)

    def _close_parked(self, fd: int) -> None:
        self.states[fd] = NOT_PARKED
        self.parked_count -= 1
        owner = self.owners[self.owner_ids[fd]]
        try:  # noqa: SIM105 - runs for each connection; `suppress` takes as long as the call
            os.close(fd)
        except OSError:
            pass  # Linux frees the descriptor even if close(2) returns an error
        self.release(self.address_ids[fd], counted=owner.counted)
        owner.connection_closed()

    # Registration with the epoll of parked connections

    def _watch_parked(self, fd: int, *, registered: bool) -> None:
        """Has the epoll report the connection's next event; retries after a transient failure."""
        try:
            if registered:
                self.loop.parked_epoll.modify(fd, NEXT_READ_EVENT)
            else:
                self.loop.parked_epoll.register(fd, NEXT_READ_EVENT)
        except FileNotFoundError:  # it was read before its registration succeeded
            self._register(fd)
        except OSError as error:
            self._retry_later(fd, error)

    def _register(self, fd: int) -> None:
        try:
            try:
                self.loop.parked_epoll.register(fd, NEXT_READ_EVENT)
            except FileExistsError:
                self.loop.parked_epoll.modify(fd, NEXT_READ_EVENT)
        except OSError as error:
            self._retry_later(fd, error)

    def _retry_later(self, fd: int, error: OSError) -> None:
        if not is_transient(error):
            self._close_parked(fd)
            raise error
        self.pending_registrations[fd] = None
        if self.register_timer is None:
            pause = self.register_backoff.next_pause()
            self.register_timer = self.loop.call_later(pause, self._retry_registrations)

    def _retry_registrations(self) -> None:
        """Retries all failed registrations; if all fail again, closes idle connections to free memory."""
        self.register_timer = None
        waiting, self.pending_registrations = self.pending_registrations, {}
        for fd in waiting:
            if self.states[fd] == PARKED:
                self.loop.call_guarded(self._register, fd)
        if len(self.pending_registrations) < len(waiting):
            self.register_backoff.reset()
        else:
            # It first queues the connections that have sent bytes, so that they are not closed as idle
            self.evict_idle()

    def poll_pending_registrations(self) -> None:
        """Queues connections that have sent bytes and are not registered with the epoll."""
        if not self.pending_registrations:
            return
        poller = poll()
        for fd in self.pending_registrations:
            poller.register(fd, POLLIN)
        try:
            events = poller.poll(0)
        except OSError:
            return  # the next call polls again
        if events:
            self.enqueue_events(events, self.loop.now())
            self.loop.admission_pending = True

    # Idle deadlines

    def _schedule_expiry(self, fd: int) -> None:
        """Adds the descriptor to the calendar, unless the calendar has an entry at or before its deadline."""
        due = self.idle_until[fd]
        if not self.calendar_slots[fd] or self.calendar_slots[fd] > self.calendar.slot_of(due):
            self.calendar_slots[fd] = self.calendar.add(fd, due)
            self._set_expiry_timer()

    def _set_expiry_timer(self) -> None:
        due = self.calendar.next_due()
        if due is None:
            return
        timer = self.expiry_timer
        if timer is None or timer.call is None or timer.when > due:
            if timer is not None:
                timer.cancel()
            # The timer fires in the next turn at the earliest, even if the deadline has passed.
            self.expiry_timer = self.loop.call_at(max(due, self.loop.now() + 1), self._close_expired)

    def _close_expired(self) -> None:
        self.expiry_timer = None
        self.poll_pending_registrations()
        now = self.loop.now()
        for fd, slot in self.calendar.take_due(now, MAX_EXPIRIES_PER_TURN):
            if self.calendar_slots[fd] != slot:
                continue  # an outdated entry: the descriptor has another one now
            self.calendar_slots[fd] = 0
            if self.states[fd] != PARKED:
                continue  # the connection is in use; `park` adds it again
            if self.idle_until[fd] > now:
                self.calendar_slots[fd] = self.calendar.add(fd, self.idle_until[fd])
            else:
                self.expired_count += self._close_idle(fd)
        self._set_expiry_timer()
