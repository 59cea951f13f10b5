"""Accepts the connections of a loop, reads parked connections that have sent bytes, and evicts idle ones.

A second epoll, nested in that of the loop, watches each parked connection until its first event. So any
number of connections that send at the same time cause one event in the loop. Requests in flight and their
timers are served first; in the remaining time, `Admission` chooses the waiting connection that is read or
accepted next. The time of a request counts from the poll that reported its connection.
"""

from __future__ import annotations

import os
from collections import deque
from collections.abc import Iterable, Iterator

from gaproute.connections.descriptors import descriptor_limit
from gaproute.connections.owner import ConnectionOwner
from gaproute.connections.parked import NOT_PARKED, PARKED, QUEUED, ParkedConnections
from gaproute.decisions.admission.admission import (
    EVICTION_RETRY_DELAY,
    EVICTION_SAMPLE_SIZE,
    Admission,
    AdmissionDecision,
    AdmissionQueue,
    IdleConnection,
)
from gaproute.decisions.chance import RandomGenerator
from gaproute.loop.faults import is_transient
from gaproute.loop.listening import Listener
from gaproute.loop.loop import MAX_PARKED_EVENTS, ClosingStream, Loop

READ_SIZE = 65536  # bytes read from a parked connection in one call
MIN_READ_DELAY_NS = 5_000_000  # shorter delays are ignored, as a turn of the loop may last as long
MAX_SCANNED = 4 * EVICTION_SAMPLE_SIZE  # entries that are searched for a sample of idle connections
UNLIMITED = 1 << 30
# Aliases of enum members that are compared for each connection, as the look-up of a member is slow.
RETURNING, ARRIVING, ACCEPT = AdmissionQueue.RETURNING, AdmissionQueue.ARRIVING, AdmissionDecision.ACCEPT

# The descriptor of a parked connection that has sent bytes, and the time (ns) of the poll that reported it.
QueuedConnection = tuple[int, int]


class AcceptedConnections(ParkedConnections):
    """The accepted connections of a loop and the queues of waiting connections; each loop has one object."""

    def __init__(self, loop: Loop, admission: Admission | None = None) -> None:
        super().__init__(loop)
        self.admission = admission or Admission(UNLIMITED, UNLIMITED, descriptor_limit(), RandomGenerator(1))
        self.returning_queue: deque[QueuedConnection] = deque()
        self.new_queue: deque[QueuedConnection] = deque()
        self.ready_listeners: dict[Listener, ConnectionOwner] = {}  # in the order in which they accept next
        self.evicted_count = self.rejected_count = 0
        loop.connections = self

    @classmethod
    def for_loop(cls, loop: Loop) -> AcceptedConnections:
        """The object of the loop, which the first call creates."""
        return loop.connections if isinstance(loop.connections, cls) else cls(loop)

    def enqueue_listener(self, listener: Listener, owner: ConnectionOwner) -> None:
        """Queues a listener that has connections to accept."""
        self.ready_listeners[listener] = owner
        self.loop.admission_pending = True

    def _accept_one(self) -> None:
        listener, owner = next(iter(self.ready_listeners.items()))
        del self.ready_listeners[listener]
        if self.admission.queue_when_full and owner.counted and not self.has_capacity():
            listener.pause(EVICTION_RETRY_DELAY)
            return
        accepted = listener.accept()
        if accepted is None:
            return
        self.ready_listeners[listener] = owner  # at the end, as more connections may wait
        owner.accept_connection(accepted.sock, accepted.address)

    def has_capacity(self) -> bool:
        """Whether one more client can be accepted, if necessary by evicting an idle connection."""
        if self.client_count < self.admission.max_connections:
            return True
        return self._evictable_stream() is not None or self._eviction_candidate() is not None

    def admit(self, address: str, *, counted: bool) -> int | None:
        """Admits a new connection; returns the id of its address, or None if the connection is rejected.

        `counted`: whether the connection counts as a client's; connections of operators and peers do not.
        """
        if counted:
            if not self._admits_client(address):
                self.rejected_count += 1
                return None
            self.client_count += 1
        return self.address_counts.add(address)

    def _admits_client(self, address: str) -> bool:
        address_count = self.address_counts.count(address)
        decision = self.admission.decide_admission(self.client_count, address_count, can_evict=True)
        if decision is ACCEPT:
            return True
        if decision is AdmissionDecision.REJECT:
            return False
        # With `queue_when_full`, `has_capacity` was true before the accept. If no connection can be evicted
        # now, the idle one has sent bytes since, and the new connection is admitted above the limit.
        return self._evict_one() or self.admission.queue_when_full

    # Eviction

    def evict_idle(self) -> None:
        """Closes some idle connections, the longest idle first, to free descriptors."""
        self._enqueue_readable()  # a connection that has just sent bytes is not idle
        for fd in self.admission.longest_idle_descriptors(self.loop.now(), self._idle_sample()):
            self.evicted_count += self._close_idle(fd)

    def _evict_one(self) -> bool:
        stream = self._evictable_stream()
        if stream is not None:
            stream.reset()
            return True
        while (fd := self._eviction_candidate()) is not None:
            if self._close_idle(fd):
                self.evicted_count += 1
                return True
        return False

    def _evictable_stream(self) -> ClosingStream | None:
        """The stream that has been closing longest, of those whose answers were acknowledged; or None.

        A closing stream still counts as a connection. It may be reset to free capacity once it has been
        closing for long enough.
        """
        now = self.loop.now()
        for stream, since in self.loop.closing_streams.items():
            if not self.admission.is_evictable(now, since):
                return None  # the later streams have been closing for a shorter time
            if stream.is_acknowledged():
                return stream
        return None

    def _eviction_candidate(self) -> int | None:
        return self.admission.eviction_candidate(self.loop.now(), self._idle_sample())

    def _idle_sample(self) -> list[IdleConnection]:
        """All parked connections if there are few; otherwise those with the earliest idle deadlines."""
        self.poll_pending_registrations()
        scan_all = self.parked_count <= MAX_SCANNED
        scanned = range(len(self.states)) if scan_all else self.calendar.earliest(MAX_SCANNED)
        idle = [
            (self.request_counts[fd], self.idle_since[fd], fd)
            for fd in scanned
            if self.states[fd] == PARKED and self.owners[self.owner_ids[fd]].counted
        ]
        return idle if scan_all else idle[:EVICTION_SAMPLE_SIZE]

    def _close_idle(self, fd: int) -> bool:
        """Closes a parked connection, unless it has sent bytes, which a close would lose."""
        self._enqueue_readable()
        if self.states[fd] != PARKED:
            return False
        self._close_parked(fd)
        return True

    def _enqueue_readable(self) -> None:
        """Queues all parked connections that have sent bytes by now."""
        self.loop.admission_pending = True
        while True:
            events = self.loop.poll_parked(MAX_PARKED_EVENTS)
            self.enqueue_events(events, self.loop.now())
            if len(events) < MAX_PARKED_EVENTS:  # each connection is reported only once: no more are left
                return

    # Queues of waiting connections

    def enqueue_events(self, events: Iterable[tuple[int, int]], seen_at: int) -> None:
        """Queues the parked connections that have events; they wait since the time `seen_at` (ns)."""
        for fd, _ in events:
            if self.states[fd] == PARKED:
                self.states[fd] = QUEUED
                queue = self.returning_queue if self.request_counts[fd] else self.new_queue
                queue.append((fd, seen_at))

    def serve(self, until: int) -> bool:
        """Serves waiting connections until the time `until`, at least one; returns whether some wait then."""
        while True:
            queue = self.admission.next_queue(
                len(self.returning_queue), len(self.new_queue), has_arriving=bool(self.ready_listeners)
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
        """Reads a queued connection and hands it over to its owner."""
        try:
            data = os.read(fd, READ_SIZE)
        except OSError as error:
            if is_transient(error):  # no bytes, or none can be read now: park it again
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

        Connections that have sent bytes are closed only with `include_queued`. With `first_request_by` (ns),
        connections that have sent no request yet stay parked until that time at the latest.
        """
        self._enqueue_readable()
        self.poll_pending_registrations()
        owner = self.owners[owner_id]
        for listener in [ready for ready, server in self.ready_listeners.items() if server is owner]:
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
        """The descriptors of the owner's parked connections, as of the time when each is yielded."""
        for fd in range(len(self.states)):
            if self.owner_ids[fd] == owner_id and self.states[fd] != NOT_PARKED:
                yield fd
