"""Watches descriptors by epoll; a timer retries registrations that fail for a transient reason."""

import select
from abc import ABC, abstractmethod
from collections.abc import Callable

from gaproute.loop.faults import Backoff, is_transient
from gaproute.loop.timers import Callback, Clock, Timer, TimerQueue
from gaproute.units import MILLI

READ, WRITE = select.EPOLLIN, select.EPOLLOUT
HANGUP = select.EPOLLHUP | select.EPOLLERR
FIRST_REGISTER_PAUSE, MAX_REGISTER_PAUSE = 2 * MILLI, 50 * MILLI  # between attempts to register a descriptor

EventHandler = Callable[[int], object]  # its argument is the mask of events


class DescriptorWatcher(TimerQueue, ABC):
    """Watches descriptors by epoll and calls the handler of each descriptor that has events."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.epoll = select.epoll()
        self.watched: dict[int, EventHandler] = {}
        # Descriptors watched since the last poll. Events of that poll under the same numbers belong to
        # descriptors that are closed by now.
        self.newly_watched: set[int] = set()
        # By watched descriptor: the events whose registration is still to be retried.
        self.pending_registrations: dict[int, int] = {}
        self.register_timer: Timer | None = None
        self.register_backoff = Backoff(FIRST_REGISTER_PAUSE, MAX_REGISTER_PAUSE)

    @abstractmethod
    def call_guarded(self, call: Callback, *args: object) -> None:
        """Calls `call(*args)`, and reports an error instead of raising it."""

    @abstractmethod
    def relieve_shortage(self) -> None:
        """Frees some descriptors or memory if possible, as the kernel has none left."""

    def watch(self, fd: int, events: int, call: EventHandler) -> None:
        """Calls `call(events)` for events of the descriptor from now on.

        While the kernel lacks memory or has reached its limit of watches, the registration is retried until
        `unwatch`. Errors: OSError for any other reason; then the descriptor is not watched.
        """
        self.watched[fd] = call
        self.newly_watched.add(fd)
        try:
            self._register(fd, events)
        except OSError as error:
            self._retry_later(fd, events, error)

    def change_events(self, fd: int, events: int) -> None:
        """Changes the events for which a descriptor is watched. Errors: see `watch`."""
        try:
            self.epoll.modify(fd, events)
        except OSError as error:
            self._retry_later(fd, events, error)
        else:
            if self.pending_registrations:
                self.pending_registrations.pop(fd, None)

    def unwatch(self, fd: int) -> None:
        """Stops watching a descriptor; does nothing if the descriptor is not watched."""
        if self.watched.pop(fd, None) is None:
            return
        if self.pending_registrations:
            self.pending_registrations.pop(fd, None)
        self._unregister(fd)

    def _register(self, fd: int, events: int) -> None:
        try:
            self.epoll.register(fd, events)
        except FileExistsError:  # an earlier attempt to unregister it failed
            self.epoll.modify(fd, events)

    def _unregister(self, fd: int) -> None:
        try:  # noqa: SIM105 - runs for each connection; `suppress` takes as long as the call
            self.epoll.unregister(fd)
        except OSError:
            pass  # not registered yet; otherwise it stays registered until its next event or its close

    def _retry_later(self, fd: int, events: int, error: OSError) -> None:
        """Schedules a retry of a failed registration. Errors: `error`, unless it is transient."""
        if not is_transient(error) and fd not in self.pending_registrations:
            self.watched.pop(fd, None)
            raise error
        self.pending_registrations[fd] = events
        if self.register_timer is None:
            self.register_timer = self.call_later(
                self.register_backoff.next_pause(), self._retry_registrations
            )

    def _retry_registrations(self) -> None:
        """Retries all failed registrations; if all fail again, frees descriptors or memory."""
        self.register_timer = None
        waiting, self.pending_registrations = self.pending_registrations, {}
        for fd, events in waiting.items():
            try:
                self._register(fd, events)
            except OSError as error:
                self.call_guarded(self._retry_later, fd, events, error)
        if len(self.pending_registrations) < len(waiting):
            self.register_backoff.reset()
        else:
            self.relieve_shortage()
