"""Descriptors watched by epoll; registrations that fail for a transient reason are retried by a timer."""

import select
from abc import ABC, abstractmethod
from collections.abc import Callable

from gaproute.loop.faults import Backoff, is_transient
from gaproute.loop.timers import Callback, Clock, Timer, TimerQueue
from gaproute.units import MILLI

READ, WRITE = select.EPOLLIN, select.EPOLLOUT
HANGUP = select.EPOLLHUP | select.EPOLLERR
FIRST_REGISTER_PAUSE, MAX_REGISTER_PAUSE = 2 * MILLI, 50 * MILLI  # between attempts to register

EventHandler = Callable[[int], object]  # called with the mask of events


class DescriptorWatcher(TimerQueue, ABC):
    """Watches descriptors by epoll and calls the handler of each."""

    def __init__(self, clock: Clock) -> None:
        super().__init__(clock)
        self.epoll = select.epoll()
        self.watched: dict[int, EventHandler] = {}
        # Descriptors watched since the last poll: its events under these numbers are of closed descriptors.
        self.newly_watched: set[int] = set()
        # By watched descriptor: events that epoll did not accept yet.
        self.pending_registrations: dict[int, int] = {}
        self.register_timer: Timer | None = None
        self.register_backoff = Backoff(FIRST_REGISTER_PAUSE, MAX_REGISTER_PAUSE)

    @abstractmethod
    def call_guarded(self, call: Callback, *args: object) -> None:
        """Calls `call(*args)`; an error is reported and not raised."""

    @abstractmethod
    def relieve_shortage(self) -> None:
        """Frees some descriptors or memory where that is possible, as the kernel has none left."""

    def watch(self, fd: int, events: int, call: EventHandler) -> None:
        """Calls `call(events)` for events of the descriptor from now on.

        Where the kernel lacks memory or watches for the moment, the registration is retried until `unwatch`.
        Errors: OSError for any other reason; then the descriptor is not watched.
        """
        self.watched[fd] = call
        self.newly_watched.add(fd)
        try:
            self._register(fd, events)
        except OSError as error:
            self._retry_later(fd, events, error)

    def change_events(self, fd: int, events: int) -> None:
        """Changes the events for which a descriptor is watched. Errors: as `watch`."""
        try:
            self.epoll.modify(fd, events)
        except OSError as error:
            self._retry_later(fd, events, error)
        else:
            if self.pending_registrations:
                self.pending_registrations.pop(fd, None)

    def unwatch(self, fd: int) -> None:
        """Stops watching a descriptor; no error where it is not watched."""
        if self.watched.pop(fd, None) is None:
            return
        if self.pending_registrations:
            self.pending_registrations.pop(fd, None)
        self._unregister(fd)

    def _register(self, fd: int, events: int) -> None:
        try:
            self.epoll.register(fd, events)
        except FileExistsError:  # it could not be unregistered before
            self.epoll.modify(fd, events)

    def _unregister(self, fd: int) -> None:
        try:  # noqa: SIM105 - for each connection, where `suppress` costs as much as the call
            self.epoll.unregister(fd)
        except OSError:
            pass  # not registered yet; or it stays until it is closed or has an event

    def _retry_later(self, fd: int, events: int, error: OSError) -> None:
        """Sets a retry of a registration that failed; raises an error that is not transient."""
        if not is_transient(error) and fd not in self.pending_registrations:
            self.watched.pop(fd, None)
            raise error
        self.pending_registrations[fd] = events
        if self.register_timer is None:
            self.register_timer = self.after(self.register_backoff.next_pause(), self._retry_registrations)

    def _retry_registrations(self) -> None:
        """Retries all failed registrations; if all fail again, the kernel's shortage is relieved."""
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
