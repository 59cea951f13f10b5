"""The event loop: readiness by epoll, timers in a heap, generators as coroutines. Times are int nanoseconds.

One turn dispatches the events of all ready descriptors, then the callbacks of `call_soon` (which also run in
between where much was read), then the timers that are due, and last, for a bounded time, the connections that
wait for admission (`gaproute/connections`). A turn that is late (the process was stopped, or the machine
stalled) polls again, until nothing is readable, before any timer fires. So everything that arrived in the
meantime is read before a timer can find it overdue.
"""

from __future__ import annotations

import heapq
import select
import time
import traceback
from collections import deque
from collections.abc import Callable, Generator
from typing import Any, Protocol

from gaproute.decisions.admission.admission import MAX_ADMISSION_TIME
from gaproute.loop.descriptors import READ, DescriptorWatcher
from gaproute.loop.polling import Events, wait_for_events
from gaproute.loop.promises import Coroutine, Promise
from gaproute.loop.signals import SignalHandlers
from gaproute.loop.timers import Callback, Clock
from gaproute.units import MILLI, SECOND

# A longer delay means that the process was stopped or stalled, as a busy turn lasts only some milliseconds.
LATE_TURN_THRESHOLD = 50 * MILLI
MAX_POLLS_IN_LATE_TURN = 8  # so that a flood of data does not keep timers from firing
MAX_POLL_TIME = SECOND  # longest wait in one poll; the loop notices a jump of the clock within this time
MAX_PARKED_EVENTS = 4096  # in one poll of the epoll of parked connections
MAX_STORED_ERRORS = 8  # the latest errors of callbacks
# Bytes read from streams after which the callbacks that they caused run, before further descriptors are
# handled: the answers to be passed on are held until then.
MAX_BYTES_BEFORE_CALLBACKS = 256 * 1024


class ConnectionAdmission(Protocol):
    """The accepted connections as the loop uses them: see `gaproute.connections`."""

    def enqueue_events(self, events: Events, seen_at: int) -> None:
        """Queues the parked connections that have events; they wait since the time `seen_at` (ns)."""

    def serve(self, until: int) -> bool:
        """Serves waiting connections until the time `until`; returns whether some still wait."""

    def evict_idle(self) -> None:
        """Closes some idle connections, as descriptors or memory have run out."""


class ClosingStream(Protocol):
    """A stream that waits for the other side to close: see `Stream.close`."""

    def is_acknowledged(self) -> bool:
        """Whether the other side has acknowledged all written bytes."""

    def reset(self) -> None:
        """Resets the connection."""


class Loop(DescriptorWatcher):
    """An event loop. `clock()` returns the time, ns.

    If the clock has a method `poll(epoll, span)`, the loop calls it instead of `wait_for_events`.
    """

    def __init__(self, clock: Clock = time.monotonic_ns) -> None:
        super().__init__(clock)
        self.poll: Callable[[select.epoll, int], Events] = getattr(clock, "poll", None) or wait_for_events
        self.callbacks: deque[tuple[Callback, tuple[object, ...]]] = deque()  # set by `call_soon`
        self.running = False
        self.signals = SignalHandlers()
        self.errors: list[BaseException] = []  # the latest errors that escaped a callback
        self.on_error: Callable[[BaseException], object] | None = None  # replaces the print of a traceback
        # Accepted connections:
        self.connections: ConnectionAdmission | None = None
        self.admission_pending = False  # whether some connections wait to be served
        self.parked_epoll = select.epoll()  # watches parked connections; is one descriptor of `epoll`
        self._parked_epoll_fd = self.parked_epoll.fileno()
        self.epoll.register(self._parked_epoll_fd, READ)
        # When each stream began to wait for the other side to close (`Stream.close`); the oldest first.
        self.closing_streams: dict[ClosingStream, int] = {}
        self.bytes_read = 0  # by streams, since the callbacks last ran
        # The possible age of unread bytes:
        self.turns = self.late_turns = 0
        # In a late turn, or after a wait for admission: how old the bytes that are read now may be, ns.
        self.read_delay = 0
        self.polled_at = self.previous_poll_at = self.clock()  # when the last two polls returned
        # By descriptor: the earliest time at which its connection may have entered a listener's backlog.
        self.backlogged_since: dict[int, int] = {}
        # Called first in a late turn, to read sources that this loop does not poll.
        self.on_late_turn: list[Callable[[], object]] = []

    # Calls

    def call_soon(self, call: Callback, *args: object) -> None:
        """Calls `call(*args)` in this turn or the next, after the handlers of ready descriptors."""
        self.callbacks.append((call, args))

    def sleep(self, span: int) -> Promise:
        """A promise that is settled after `span` ns."""
        promise = Promise()
        self.call_later(span, promise.set)
        return promise

    def spawn(self, generator: Generator[Promise, Any, object]) -> Coroutine:
        """Runs a generator that yields promises; it starts with the next callbacks of `call_soon`."""
        coroutine = Coroutine(generator, self.report_error)
        self.call_soon(coroutine.step)
        return coroutine

    def on_signal(self, number: int, call: Callable[[], object]) -> None:
        """Calls `call()` in a turn of the loop after each signal `number`. Errors: OSError."""
        self.signals.set_callback(self, number, call)

    def report_error(self, error: BaseException) -> None:
        """Stores an error that escaped a callback, and passes it to `on_error` or prints its traceback."""
        self.errors = [*self.errors[1 - MAX_STORED_ERRORS :], error]
        if self.on_error is not None:
            self.on_error(error)
        else:
            traceback.print_exception(error)

    def call_guarded(self, call: Callback, *args: object) -> None:
        """Calls `call(*args)` and reports an error, so that other callbacks are still called."""
        try:
            call(*args)
        except Exception as error:  # noqa: BLE001 - any error is reported
            self.report_error(error)

    def relieve_shortage(self) -> None:
        """Closes some idle connections, to free descriptors and memory for a retry."""
        if self.connections is not None:
            self.connections.evict_idle()

    # Unread bytes

    def unread_since(self, fd: int) -> int:
        """The earliest time (ns) at which bytes that are read from `fd` in this turn may have arrived.

        The previous poll reported all bytes that had arrived before it, unless the connection was still in a
        listener's backlog. The time in the backlog counts for the first call only, which forgets it.
        """
        return min(self.previous_poll_at, self.backlogged_since.pop(fd, self.previous_poll_at))

    def poll_parked(self, limit: int = MAX_PARKED_EVENTS) -> Events:
        """Polls the parked connections without waiting; returns at most `limit` events."""
        while True:
            try:
                return self.parked_epoll.poll(0, limit)
            except InterruptedError:
                continue

    # Turns

    def run(self, until: Promise | None = None) -> Any:
        """Runs turns until `stop`, or until the promise `until` is settled; returns the promise's value."""
        self.running = True
        while self.running and not (until is not None and until.ready):
            self.turn()
        if until is not None and until.ready:
            if until.error is not None:
                raise until.error
            return until.value
        return None

    def stop(self) -> None:
        """Makes `run` return after this turn."""
        self.running = False

    def close(self) -> None:
        """Closes the epolls."""
        self.epoll.close()
        self.parked_epoll.close()

    def turn(self) -> None:
        """Runs one turn, which waits for events until the next timer is due at the latest."""
        self.turns += 1
        while self.timers and self.timers[0][2].call is None:
            heapq.heappop(self.timers)
            self.cancelled_count -= 1
        due = self.timers[0][0] - self.clock() if self.timers else MAX_POLL_TIME
        pending = self.callbacks or self.admission_pending
        ready = self.poll(self.epoll, 0 if pending else min(max(0, due), MAX_POLL_TIME))
        self.previous_poll_at, self.polled_at = self.polled_at, self.clock()
        late = self.polled_at - self.timers[0][0] if self.timers else 0
        if late > LATE_TURN_THRESHOLD:
            self._dispatch_late(ready, late)
        else:
            self._dispatch(ready)
        # A timer that was set during this turn fires in the next one at the earliest.
        now, newest = self.clock(), self.timer_count
        while self.timers and self.timers[0][0] <= now and self.timers[0][1] <= newest:
            timer = heapq.heappop(self.timers)[2]
            call, args = timer.call, timer.args
            if call is None:
                self.cancelled_count -= 1
                continue
            timer.call, timer.args = None, ()
            self.call_guarded(call, *args)
        self._run_callbacks()
        if self.admission_pending and self.connections is not None:
            self.admission_pending = self.connections.serve(self.clock() + MAX_ADMISSION_TIME)

    def _dispatch_late(self, ready: Events, late: int) -> None:
        """Dispatches the events of a turn that is `late` ns late, before its timers fire.

        It then polls again until nothing is readable, at most `MAX_POLLS_IN_LATE_TURN` times.
        """
        self.late_turns += 1
        self.read_delay = late
        for call in self.on_late_turn:
            self.call_guarded(call)
        self._dispatch(ready)
        polls = 0
        while polls < MAX_POLLS_IN_LATE_TURN and (ready := self.poll(self.epoll, 0)):
            polls += 1
            self._dispatch(ready)
        self.read_delay = 0

    def _dispatch(self, ready: Events) -> None:
        self.newly_watched.clear()
        for fd, events in ready:
            if fd == self._parked_epoll_fd:
                self._enqueue_parked()
                continue
            call = self.watched.get(fd)
            if call is None:  # unwatched by an earlier callback of this turn, or unregistering it failed
                self._unregister(fd)
            elif fd not in self.newly_watched:
                self.call_guarded(call, events)
                if self.bytes_read > MAX_BYTES_BEFORE_CALLBACKS:
                    self._run_callbacks()
        self._run_callbacks()

    def _enqueue_parked(self) -> None:
        if self.connections is not None:
            self.connections.enqueue_events(self.poll_parked(), self.clock() - self.read_delay)
            self.admission_pending = True

    def _run_callbacks(self) -> None:
        self.bytes_read = 0
        for _ in range(len(self.callbacks)):
            call, args = self.callbacks.popleft()
            self.call_guarded(call, *args)
