"""The loop: readiness by epoll, timers in a heap, generators as coroutines. Times are int nanoseconds.

One turn hands over everything that is readable, then what was asked for `soon`, then the timers that are due,
and last, for a bounded time, what waits at admission (`gaproute/connections`).
A turn that finds itself late (the process was stopped, or the machine stalled) looks for bytes again until
none are left before any timer fires: what came in meanwhile is booked before anything is judged overdue.
"""

import heapq
import os
import select
import signal
import time
import traceback
from collections import deque

from gaproute.decisions.admission.admission import ADMISSION_TIME
from gaproute.loop.faults import Backoff, is_transient

MILLI, SECOND = 1_000_000, 1_000_000_000
LATE = 50 * MILLI  # a turn this late was stopped, not busy: a busy one lasts some milliseconds
LOBBY = 4096  # events taken from the inner epoll in one look
LOOKS = 8  # looks for bytes in a late turn: a flood must not keep timers from firing for ever
IDLE = SECOND  # longest wait in one poll: a clock that jumps is noticed within it
READ, WRITE = select.EPOLLIN, select.EPOLLOUT
HANGUP = select.EPOLLHUP | select.EPOLLERR
REGISTER_FIRST, REGISTER_LONGEST = 2 * MILLI, 50 * MILLI  # between tries to register with the epoll


class Promise:
    """A value that comes later. A coroutine that yields it is resumed with the value, or the error raised."""

    __slots__ = ("ready", "value", "error", "waiters")

    def __init__(self):
        self.ready, self.value, self.error, self.waiters = False, None, None, []

    def set(self, value=None):
        self._settle(value, None)

    def fail(self, error):
        self._settle(None, error)

    def _settle(self, value, error):
        if self.ready:
            return
        self.ready, self.value, self.error = True, value, error
        waiters, self.waiters = self.waiters, []
        for waiter in waiters:
            waiter(self)

    def then(self, call):
        """`call(promise)` once it is settled, at once if it is."""
        if self.ready:
            call(self)
        else:
            self.waiters.append(call)


class Timer:
    __slots__ = ("when", "call", "args", "loop")

    def __init__(self, loop, when, call, args):
        self.loop, self.when, self.call, self.args = loop, when, call, args

    def cancel(self):
        if self.call is not None:
            self.call = self.args = None
            self.loop.dead += 1


class Routine:
    """A generator driven by the loop: it yields promises and ends by returning."""

    __slots__ = ("loop", "generator", "done")

    def __init__(self, loop, generator):
        self.loop, self.generator, self.done = loop, generator, Promise()

    def cancel(self):
        """Closes the generator, so that its `finally` parts run; `done` is settled with None."""
        if not self.done.ready:
            self.generator.close()
            self.done.set()

    def step(self, promise=None):
        while not self.done.ready:
            try:
                if promise is not None and promise.error is not None:
                    waited = self.generator.throw(promise.error)
                else:
                    waited = self.generator.send(None if promise is None else promise.value)
            except StopIteration as end:
                self.done.set(end.value)
                return
            except Exception as error:
                if not self.done.waiters:
                    self.loop.failed(error)
                self.done.fail(error)
                return
            if not waited.ready:
                waited.waiters.append(self.step)
                return
            promise = waited


class Stepped:
    """A clock for tests: it stands still while there is work and leaps over every wait without one."""

    def __init__(self, now=0):
        self.now = now

    def __call__(self):
        return self.now

    def poll(self, epoll, span):
        ready = epoll.poll(0)
        if not ready:
            self.now += max(0, span)
        return ready


def wait(epoll, span):
    """Events of the epoll after `span` ns at the latest; an interrupted wait ends early, a look does not."""
    while True:
        try:
            return epoll.poll(max(0, span) / SECOND)
        except InterruptedError:
            if span > 0:
                return []


class Loop:
    def __init__(self, clock=time.monotonic_ns):
        self.clock = clock
        self.poll = getattr(clock, "poll", None) or wait
        self.epoll = select.epoll()
        self.watched = {}  # descriptor: call(events)
        self.unregistered = {}  # watched descriptor that the epoll has not with these events yet: events
        self.register_timer, self.register_backoff = None, Backoff(REGISTER_FIRST, REGISTER_LONGEST)
        self.closing_streams = {}  # stream that says farewell (`Stream.close`): since when; the oldest first
        self.newly_watched = (
            set()
        )  # watched since the last poll: what that told is of an earlier life of them
        self.parked_epoll = select.epoll()  # of what is parked; one event of the outer one
        self.inner = self.parked_epoll.fileno()
        self.epoll.register(self.inner, READ)
        self.connections, self.admission_pending = None, False  # the lot; whether somebody waits at admission
        self.timers, self.dead, self.count = [], 0, 0
        self.callbacks = deque()
        self.running = False
        self.turns = self.late_turns = 0
        self.read_delay = 0  # in a late turn: how long ago what is read now may have come
        self.polled_at = self.previous_poll_at = (
            self.clock()
        )  # the last poll's return, and the one's before it
        self.backlogged_since = {}  # descriptor: since when its connection may have waited to be accepted
        self.on_late_turn = []  # calls made first in a late turn: other news that waits to be read
        self.errors = []  # the last few errors that escaped a callback
        self.on_error = None  # call(error), where somebody wants to log them
        self.signals = {}

    # Time

    def now(self):
        return self.clock()

    def at(self, when, call, *args):
        timer = Timer(self, when, call, args)
        self.count += 1
        heapq.heappush(self.timers, (when, self.count, timer))
        if self.dead > 1024 and self.dead * 2 > len(self.timers):
            self.timers = [entry for entry in self.timers if entry[2].call is not None]
            heapq.heapify(self.timers)
            self.dead = 0
        return timer

    def after(self, span, call, *args):
        return self.at(self.clock() + span, call, *args)

    def soon(self, call, *args):
        self.callbacks.append((call, args))

    def sleep(self, span):
        promise = Promise()
        self.after(span, promise.set)
        return promise

    def spawn(self, generator):
        routine = Routine(self, generator)
        self.soon(routine.step)
        return routine

    # Descriptors

    def watch(self, fd, events, call):
        """`call(events)` from now on. Where the epoll is short of memory or of watches for a moment, it is
        tried again until `unwatch`. Other errors: OSError, and it is not watched."""
        self.watched[fd] = call
        self.newly_watched.add(fd)
        try:
            self._register(fd, events)
        except OSError as fault:
            self._put_off(fd, events, fault)

    def rewatch(self, fd, events):
        """Other events of a watched descriptor. Errors: as `watch`."""
        try:
            self.epoll.modify(fd, events)
        except OSError as fault:
            self._put_off(fd, events, fault)
        else:
            if self.unregistered:
                self.unregistered.pop(fd, None)

    def unwatch(self, fd):
        """Nothing more is called for the descriptor."""
        if self.watched.pop(fd, None) is None:
            return
        if self.unregistered:
            self.unregistered.pop(fd, None)
        self._unregister(fd)

    def unread_since(self, fd):
        """The earliest time at which bytes of a watched descriptor that are read in this turn may have come.

        What came before the last poll but one was told then, unless the connection waited to be accepted,
        which counts once: for the first bytes that are read.
        """
        return min(self.previous_poll_at, self.backlogged_since.pop(fd, self.previous_poll_at))

    def _register(self, fd, events):
        try:
            self.epoll.register(fd, events)
        except FileExistsError:  # it could not be unregistered before
            self.epoll.modify(fd, events)

    def _unregister(self, fd):
        try:
            self.epoll.unregister(fd)
        except OSError:
            pass  # not registered yet; or it stays until it is closed or has an event (`_bytes`)

    def _put_off(self, fd, events, fault):
        """The epoll did not take the descriptor: a momentary failure is tried again."""
        if not is_transient(fault) and fd not in self.unregistered:
            self.watched.pop(fd, None)
            raise fault
        self.unregistered[fd] = events
        if self.register_timer is None:
            self.register_timer = self.after(self.register_backoff.next_pause(), self._register_again)

    def _register_again(self):
        """One more try for each descriptor that the epoll did not take; where it takes none of them there is
        a shortage."""
        self.register_timer = None
        waiting, self.unregistered = self.unregistered, {}
        for fd, events in waiting.items():
            try:
                self._register(fd, events)
            except OSError as fault:
                self.guard(self._put_off, fd, events, fault)
        if len(self.unregistered) < len(waiting):
            self.register_backoff.reset()
        elif self.connections is not None:
            self.connections.make_room()

    def on_signal(self, number, call):
        """`call()` in a turn of the loop, never inside the handler; through a wake-up descriptor. Errors:
        OSError where that cannot be had; nothing is left behind then."""
        if not self.signals:
            self._open_wakeup()
        self.signals[number] = call
        signal.signal(number, lambda *_: None)

    def _open_wakeup(self):
        reader, writer = os.pipe2(os.O_NONBLOCK | os.O_CLOEXEC)
        try:
            self.watch(reader, READ, lambda events: self._signalled(reader))
            signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        except BaseException:
            self.unwatch(reader)
            os.close(reader)
            os.close(writer)
            raise

    def _signalled(self, reader):
        try:
            numbers = os.read(reader, 512)
        except (BlockingIOError, InterruptedError):
            return
        for number in dict.fromkeys(numbers):
            if number in self.signals:
                self.guard(self.signals[number])  # one that fails must not take the next one's call

    # Turns

    def failed(self, error):
        self.errors = self.errors[-7:] + [error]
        if self.on_error is not None:
            self.on_error(error)
        else:
            traceback.print_exception(error)

    def guard(self, call, *args):
        """An error in one callback must not take the others' work with it."""
        try:
            call(*args)
        except Exception as error:
            self.failed(error)

    def turn(self):
        """One turn; waits no longer than until the next timer."""
        self.turns += 1
        while self.timers and self.timers[0][2].call is None:
            heapq.heappop(self.timers)
            self.dead -= 1
        due = self.timers[0][0] - self.clock() if self.timers else IDLE
        ready = self.poll(
            self.epoll, 0 if self.callbacks or self.admission_pending else min(max(0, due), IDLE)
        )
        self.previous_poll_at, self.polled_at = self.polled_at, self.clock()
        late = self.polled_at - self.timers[0][0] if self.timers else 0
        self.read_delay = late if late > LATE else 0
        if self.read_delay:
            self.late_turns += 1
            for call in self.on_late_turn:
                self.guard(call)
        self._bytes(ready)
        looks = LOOKS if self.read_delay else 0
        while looks and (ready := self.poll(self.epoll, 0)):
            looks -= 1
            self._bytes(ready)
        self.read_delay = 0
        now, newest = self.clock(), self.count  # one set for no later than now has its turn in the next
        while self.timers and self.timers[0][0] <= now and self.timers[0][1] <= newest:
            timer = heapq.heappop(self.timers)[2]
            if timer.call is None:
                self.dead -= 1
                continue
            call, args = timer.call, timer.args
            timer.call = timer.args = None
            self.guard(call, *args)
        self._run_callbacks()
        if self.admission_pending:
            self.admission_pending = self.connections.work(self.clock() + ADMISSION_TIME)

    def _bytes(self, ready):
        self.newly_watched.clear()
        for fd, events in ready:
            if fd == self.inner:
                self.connections.look(self.poll_parked(), self.clock() - self.read_delay)
                self.admission_pending = True
                continue
            call = self.watched.get(fd)
            if call is None:  # an earlier callback of this turn has closed it, or unregistering it failed
                self._unregister(fd)
            elif fd not in self.newly_watched:
                self.guard(call, events)
        self._run_callbacks()

    def poll_parked(self, most=LOBBY):
        """What the inner epoll has to tell now, so many events of it."""
        while True:
            try:
                return self.parked_epoll.poll(0, most)
            except InterruptedError:
                continue

    def _run_callbacks(self):
        for _ in range(len(self.callbacks)):
            call, args = self.callbacks.popleft()
            self.guard(call, *args)

    def run(self, until=None):
        """Turns until `stop`, or until the promise `until` is settled, whose value is returned."""
        self.running = True
        while self.running and not (until is not None and until.ready):
            self.turn()
        if until is not None and until.ready:
            if until.error is not None:
                raise until.error
            return until.value
        return None

    def stop(self):
        self.running = False

    def close(self):
        self.epoll.close()
        self.parked_epoll.close()
