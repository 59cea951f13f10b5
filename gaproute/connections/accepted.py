"""The accepted connections of a loop: accepting them, reading parked ones that send, evicting idle ones.

A second epoll, which the loop's epoll watches, has the descriptors of parked connections, each until its
first event. So any number of connections that send at the same time are one event to the loop. Requests in
flight and their timers are served first; in the time that is left, the decisions on admission choose which
waiting connection is read or accepted next. The time of a request counts from when its connection was seen
to wait.
"""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Iterable, Iterator

from gaproute.connections.descriptors import descriptor_limit
from gaproute.connections.owner import ConnectionOwner
from gaproute.connections.parked import NOT_PARKED, PARKED, QUEUED, ParkedConnections
from gaproute.decisions.admission.admission import (
    EVICTION_SAMPLE,
    FULL_RETRY_PAUSE,
    Admission,
    AdmissionQueue,
    IdleConnection,
    Verdict,
)
from gaproute.decisions.chance import Chance
from gaproute.loop.faults import is_transient
from gaproute.loop.listening import Listener
from gaproute.loop.loop import MAX_PARKED_EVENTS, ClosingStream, Loop

READ_SIZE = 65536  # bytes read from a connection that is resumed
MIN_READ_DELAY_NS = 5_000_000  # shortest wait that is counted, ns: a turn of the loop may take as long
MAX_SCANNED = 4 * EVICTION_SAMPLE  # entries that are read to find a sample of idle connections
UNLIMITED = 1 << 30
# Looked up once: they are compared for each connection, and a member of an enum is slow to reach.
RETURNING, ARRIVING, ACCEPT = AdmissionQueue.RETURNING, AdmissionQueue.ARRIVING, Verdict.ACCEPT

# A parked connection that has sent something: its descriptor, and when that was seen (ns).
QueuedConnection = tuple[int, int]


class AcceptedConnections(ParkedConnections):
    """The accepted connections of a loop and the queues of those that wait to be served; one for a loop."""

    def __init__(self, loop: Loop, admission: Admission | None = None) -> None:
        super().__init__(loop)
        self.admission = admission or Admission(UNLIMITED, UNLIMITED, descriptor_limit(), Chance(1))
        self.returning_queue: deque[QueuedConnection] = deque()
        self.new_queue: deque[QueuedConnection] = deque()
        self.ready_listeners: dict[Listener, ConnectionOwner] = {}  # in the order in which they accept
        self.evicted = self.rejected = 0
        loop.connections = self

    @classmethod
    def for_loop(cls, loop: Loop) -> AcceptedConnections:
        """The accepted connections of the loop; they are made at the first call."""
        return loop.connections if isinstance(loop.connections, cls) else cls(loop)

    def enqueue_listener(self, listener: Listener, owner: ConnectionOwner) -> None:
        """Notes that the listener has connections to accept."""
        self.ready_listeners[listener] = owner
        self.loop.admission_pending = True

    def _accept_one(self) -> None:
        listener, owner = next(iter(self.ready_listeners.items()))
        del self.ready_listeners[listener]
        if self.admission.queue_when_full and owner.counted and not self.has_capacity():
            listener.pause(FULL_RETRY_PAUSE)
            return
        accepted = listener.accept()
        if accepted is None:
            return
        self.ready_listeners[listener] = owner  # after the others, as it may have further connections
        owner.accept_connection(accepted.sock, accepted.address)

    def has_capacity(self) -> bool:
        """Whether one more client can be accepted, if need be by closing an idle connection."""
        if self.client_count < self.admission.max_connections:
            return True
        return self._evictable_stream() is not None or self._eviction_candidate() is not None

    def admit(self, address: str, *, counted: bool) -> int | None:
        """Admits a new connection; returns the id of its address, or None if the connection is rejected.

        `counted`: whether it counts as a client's connection; those of operators and peers do not.
        """
        if counted:
            if not self._admits_client(address):
                self.rejected += 1
                return None
            self.client_count += 1
        return self.address_counts.add(address)

    def _admits_client(self, address: str) -> bool:
        address_count = self.address_counts.count(address)
        verdict = self.admission.admit(self.client_count, address_count, can_evict=True)
        if verdict is ACCEPT:
            return True
        if verdict is Verdict.REJECT:
            return False
        # With `queue_when_full`, `has_capacity` was true before the accept: the idle connection that could
        # have been closed has sent something since.
        return self._evict_one() or self.admission.queue_when_full

    # Evicting

    def evict_idle(self) -> None:
        """Closes some idle connections, the longest idle first, to free descriptors."""
        self._enqueue_readable()  # a connection that has just sent something is not idle
        for fd in self.admission.oldest_idle(self.loop.now(), self._idle_sample()):
            self.evicted += self._close_idle(fd)

    def _evict_one(self) -> bool:
        stream = self._evictable_stream()
        if stream is not None:
            stream.reset()
            return True
        while (fd := self._eviction_candidate()) is not None:
            if self._close_idle(fd):
                self.evicted += 1
                return True
        return False

    def _evictable_stream(self) -> ClosingStream | None:
        """The closing stream that may be ended to free capacity, or None.

        It is the one that has been closing longest, among those whose answers were acknowledged, if that is
        long enough. A closing stream still counts as a connection.
        """
        now = self.loop.now()
        for stream, since in self.loop.closing_streams.items():
            if not self.admission.is_evictable(now, since):
                return None  # the later ones have been closing for less
            if stream.is_acknowledged():
                return stream
        return None

    def _eviction_candidate(self) -> int | None:
        return self.admission.eviction_candidate(self.loop.now(), self._idle_sample())

    def _idle_sample(self) -> list[IdleConnection]:
        """The parked connections: all where there are few, else those with the earliest idle deadlines."""
        self.poll_pending_registrations()
        scan_all = self.parked_count <= MAX_SCANNED
        scanned = range(len(self.states)) if scan_all else self.calendar.earliest(MAX_SCANNED)
        idle = [
            (self.request_counts[fd], self.idle_since[fd], fd)
            for fd in scanned
            if self.states[fd] == PARKED and self.owners[self.owner_ids[fd]].counted
        ]
        return idle if scan_all else idle[:EVICTION_SAMPLE]

    def _close_idle(self, fd: int) -> bool:
        """Closes a parked connection, unless it has sent something, which a close would lose."""
        self._enqueue_readable()
        if self.states[fd] != PARKED:
            return False
        self._close_parked(fd)
        return True

    def _enqueue_readable(self) -> None:
        """Queues all parked connections that have sent something by now."""
        self.loop.admission_pending = True
        while True:
            events = self.loop.poll_parked(MAX_PARKED_EVENTS)
            self.enqueue_events(events, self.loop.now())
            if len(events) < MAX_PARKED_EVENTS:  # as each connection is reported only once, these are all
                return

    # Serving

    def enqueue_events(self, events: Iterable[tuple[int, int]], seen_at: int) -> None:
        """Queues the parked connections of these events; they wait since the time `seen_at` (ns)."""
        for fd, _ in events:
            if self.states[fd] == PARKED:
                self.states[fd] = QUEUED
                queue = self.returning_queue if self.request_counts[fd] else self.new_queue
                queue.append((fd, seen_at))

    def serve(self, until: int) -> bool:
        """Serves the queues until that time, at least one connection; returns whether some still wait."""
        while True:
            queue = self.admission.next_queue(
                len(self.returning_queue), len(self.new_queue), arriving=bool(self.ready_listeners)
            )
            if queue is None:
                return bool(self.ready_listeners)
            if queue is ARRIVING:
                self.loop.call_guarded(self._accept_one)
            else:
                fd, seen_at = (self.returning_queue if queue is RETURNING else self.new_queue).popleft()
                if self.states[fd] == QUEUED:
                    self.loop.call_guarded(self._resume, fd, seen_at)
            if self.loop.now() >= until:
                return bool(self.returning_queue or self.new_queue or self.ready_listeners)

    def _resume(self, fd: int, seen_at: int) -> None:
        """Reads a queued connection and gives it back to its owner."""
        try:
            data = os.read(fd, READ_SIZE)
        except OSError as error:
            if is_transient(error):  # there is nothing, or it cannot be read now: park the connection again
                self.states[fd] = PARKED
                self._schedule_expiry(fd)
                self._watch_parked(fd, registered=True)
                return
            data = b""
        if not data:
            self._close_parked(fd)
            return
        self.states[fd] = NOT_PARKED
        self.parked_count -= 1
        owner = self.owners[self.owner_ids[fd]]
        delay = self.loop.now() - seen_at
        self.loop.read_delay = delay if delay > MIN_READ_DELAY_NS else 0
        try:
            owner.resume_connection(fd, data, self.address_ids[fd], self.request_counts[fd])
        finally:
            self.loop.read_delay = 0

    def close_owned(
        self, owner_id: int, *, include_queued: bool = False, first_request_by: int | None = None
    ) -> None:
        """Closes the parked connections of an owner.

        Connections that have sent something are closed only with `include_queued`. With `first_request_by`
        (ns), connections that have brought no request yet stay parked until that time at the latest.
        """
        self._enqueue_readable()
        self.poll_pending_registrations()
        owner = self.owners[owner_id]
        for listener in [each for each, whose in self.ready_listeners.items() if whose is owner]:
            del self.ready_listeners[listener]
        for fd in self._parked_descriptors(owner_id):
            if self.states[fd] == QUEUED and not include_queued:
                continue
            if first_request_by is not None and not self.request_counts[fd]:
                self.idle_until[fd] = min(self.idle_until[fd], first_request_by)
                self._schedule_expiry(fd)
            elif include_queued:
                self._close_parked(fd)
            else:
                self._close_idle(fd)

    def _parked_descriptors(self, owner_id: int) -> Iterator[int]:
        """The descriptors of the owner's parked connections; each is checked when it is yielded."""
        for fd in range(len(self.states)):
            if self.owner_ids[fd] == owner_id and self.states[fd] != NOT_PARKED:
                yield fd
