"""The event loop: readiness by epoll, timers in a heap, generators as coroutines. Times are int nanoseconds.

One turn dispatches everything that is readable, then the calls of `soon`, then the timers that are due, and
last, for a bounded time, the connections that wait for admission (`gaproute/connections`).
A turn that finds itself late (the process was stopped, or the machine stalled) polls again until nothing is
readable before any timer fires: what came in meanwhile is read before anything is judged overdue.
"""

from __future__ import annotations

import heapq
import select
import time
import traceback
from collections import deque
from collections.abc import Callable, Generator
from typing import Any, Protocol

from gaproute.decisions.admission.admission import ADMISSION_TIME
from gaproute.loop.descriptors import READ, DescriptorWatcher
from gaproute.loop.polling import Events, wait
from gaproute.loop.promises import Coroutine, Promise
from gaproute.loop.signals import SignalHandlers
from gaproute.loop.timers import Callback, Clock

MILLI, SECOND = 1_000_000, 1_000_000_000
LATE_TURN = 50 * MILLI  # a turn this late was stopped, not busy: a busy one lasts some milliseconds
MAX_LATE_POLLS = 8  # in a late turn: a flood must not keep timers from firing for ever
MAX_POLL_TIME = SECOND  # longest wait in one poll: a clock that jumps is noticed within it
MAX_PARKED_EVENTS = 4096  # taken from the inner epoll in one poll
MAX_ERRORS = 8  # remembered


class ConnectionAdmission(Protocol):
    """What the loop needs of its accepted connections: see `gaproute.connections`."""

    def enqueue_events(self, events: Events, seen: int) -> None:
        """Queues the parked connections that have events, as of the time `seen`."""

    def serve(self, until: int) -> bool:
        """Serves those that wait until that time; whether some still wait."""

    def evict_idle(self) -> None:
        """Closes some idle connections, as descriptors or memory have run out."""


class ClosingStream(Protocol):
    """What is needed of a stream that waits for the other side to close: see `Stream.close`."""

    def is_acknowledged(self) -> bool:
        """Whether the other side has acknowledged all that was written."""

    def reset(self) -> None:
        """Closes at once with a reset."""


class Loop(DescriptorWatcher):
    """An event loop. `clock`: ns; one with a method `poll(epoll, span)` also waits in the loop's place."""

    def __init__(self, clock: Clock = time.monotonic_ns) -> None:
        super().__init__(clock)
        self.poll: Callable[[select.epoll, int], Events] = getattr(clock, "poll", None) or wait
        self.callbacks: deque[tuple[Callback, tuple[Any, ...]]] = deque()  # of `soon`
        self.running = False
        self.signals = SignalHandlers()
        self.errors: list[BaseException] = []  # the last few that escaped a callback
        self.on_error: Callable[[BaseException], object] | None = None  # where somebody wants to log them
        # Accepted connections:
        self.connections: ConnectionAdmission | None = None
        self.admission_pending = False  # whether some wait to be served
        self.parked_epoll = select.epoll()  # of the parked ones; one event of the outer epoll
        self._parked_epoll_fd = self.parked_epoll.fileno()
        self.epoll.register(self._parked_epoll_fd, READ)
        # Streams that wait for the other side to close (`Stream.close`), since when; the oldest first.
        self.closing_streams: dict[ClosingStream, int] = {}
        # How old unread bytes may be:
        self.turns = self.late_turns = 0
        self.read_delay = 0  # in a late turn: how long ago what is read now may have come
        self.polled_at = self.previous_poll_at = self.clock()  # when the last two polls returned
        # Descriptor: since when its connection may have waited in a listener's backlog.
        self.backlogged_since: dict[int, int] = {}
        self.on_late_turn: list[Callable[[], object]] = []  # calls made first in a late turn, to read others

    # Calls

    def soon(self, call: Callback, *args: Any) -> None:
        """`call(*args)` in this turn or the next, after what is readable."""
        self.callbacks.append((call, args))

    def sleep(self, span: int) -> Promise:
        """A promise that is settled after so many ns."""
        promise = Promise()
        self.after(span, promise.set)
        return promise

    def spawn(self, generator: Generator[Promise, Any, Any]) -> Coroutine:
        """Drives a generator that yields promises, from the next calls of `soon` on."""
        coroutine = Coroutine(generator, self.failed)
        self.soon(coroutine.step)
        return coroutine

    def on_signal(self, number: int, call: Callable[[], object]) -> None:
        """`call()` in a turn of the loop when the signal has come. Errors: see `SignalHandlers.set`."""
        self.signals.set(self, number, call)

    def failed(self, error: BaseException) -> None:
        """Reports an error that escaped a callback."""
        self.errors = [*self.errors[1 - MAX_ERRORS :], error]
        if self.on_error is not None:
            self.on_error(error)
        else:
            traceback.print_exception(error)

    def guard(self, call: Callback, *args: Any) -> None:
        """Calls; an error in one callback must not take the others' work with it."""
        try:
            call(*args)
        except Exception as error:  # noqa: BLE001 - whatever it is, it is reported
            self.failed(error)

    def relieve_shortage(self) -> None:
        """Closes some idle connections, so that their descriptors and memory are free for a retry."""
        if self.connections is not None:
            self.connections.evict_idle()

    # Unread bytes

    def unread_since(self, fd: int) -> int:
        """The earliest time at which bytes of a watched descriptor that are read in this turn may have come.

        What came before the last poll but one was reported then, unless the connection waited to be accepted,
        which counts once: for the first bytes that are read.
        """
        return min(self.previous_poll_at, self.backlogged_since.pop(fd, self.previous_poll_at))

    def poll_parked(self, limit: int = MAX_PARKED_EVENTS) -> Events:
        """What the inner epoll has to report now, at most `limit` events."""
        while True:
            try:
                return self.parked_epoll.poll(0, limit)
            except InterruptedError:
                continue

    # Turns

    def run(self, until: Promise | None = None) -> Any:
        """Turns until `stop`, or until the promise `until` is settled, whose value is returned."""
        self.running = True
        while self.running and not (until is not None and until.ready):
            self.turn()
        if until is not None and until.ready:
            if until.error is not None:
                raise until.error
            return until.value
        return None

    def stop(self) -> None:
        """`run` returns after this turn."""
        self.running = False

    def close(self) -> None:
        """Gives the epolls back."""
        self.epoll.close()
        self.parked_epoll.close()

    def turn(self) -> None:
        """One turn; waits no longer than until the next timer."""
        self.turns += 1
        while self.timers and self.timers[0][2].call is None:
            heapq.heappop(self.timers)
            self.cancelled_count -= 1
        due = self.timers[0][0] - self.clock() if self.timers else MAX_POLL_TIME
        pending = self.callbacks or self.admission_pending
        ready = self.poll(self.epoll, 0 if pending else min(max(0, due), MAX_POLL_TIME))
        self.previous_poll_at, self.polled_at = self.polled_at, self.clock()
        late = self.polled_at - self.timers[0][0] if self.timers else 0
        if late > LATE_TURN:
            self._dispatch_late(ready, late)
        else:
            self._dispatch(ready)
        # A timer that is set for no later than now has its turn in the next one.
        now, newest = self.clock(), self.timer_count
        while self.timers and self.timers[0][0] <= now and self.timers[0][1] <= newest:
            timer = heapq.heappop(self.timers)[2]
            call, args = timer.call, timer.args
            if call is None:
                self.cancelled_count -= 1
                continue
            timer.call, timer.args = None, ()
            self.guard(call, *args)
        self._run_callbacks()
        if self.admission_pending and self.connections is not None:
            self.admission_pending = self.connections.serve(self.clock() + ADMISSION_TIME)

    def _dispatch_late(self, ready: Events, late: int) -> None:
        """In a turn that is late, all that can be read comes before the timers."""
        self.late_turns += 1
        self.read_delay = late
        for call in self.on_late_turn:
            self.guard(call)
        self._dispatch(ready)
        polls = 0
        while polls < MAX_LATE_POLLS and (ready := self.poll(self.epoll, 0)):
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
            if call is None:  # an earlier callback of this turn has closed it, or unregistering it failed
                self._unregister(fd)
            elif fd not in self.newly_watched:
                self.guard(call, events)
        self._run_callbacks()

    def _enqueue_parked(self) -> None:
        if self.connections is not None:
            self.connections.enqueue_events(self.poll_parked(), self.clock() - self.read_delay)
            self.admission_pending = True

    def _run_callbacks(self) -> None:
        for _ in range(len(self.callbacks)):
            call, args = self.callbacks.popleft()
            self.guard(call, *args)
