"""Brings a new configuration to all children of a parent, one after the other, so that no request is lost.

An invalid configuration changes nothing. Failures that may pass are retried for a bounded time.
"""

from collections.abc import Generator

from gaproute.appliance.child_process import ChildProcess
from gaproute.appliance.child_processes import ChildProcesses
from gaproute.appliance.listening_sockets import ListeningSockets
from gaproute.config import ConfigurationError, read_configuration
from gaproute.config.configuration import Configuration
from gaproute.loop import Loop, Promise
from gaproute.loop.faults import Backoff, find_os_error
from gaproute.loop.starting import max_retry_time
from gaproute.loop.timers import Timer
from gaproute.telemetry.record import Log
from gaproute.units import MILLI, SECOND

MIN_BACKOFF, MAX_BACKOFF = 50 * MILLI, SECOND  # between attempts to reload, or to start a child
MAX_START_ATTEMPTS = 8  # to start a child with the new configuration, about 4 s in all


class RollingReload:
    """Reads the configuration `file` again at a reload and replaces the children one by one.

    `rolling`: whether children are being replaced now; `retry_timer`: set after a failure that may pass.
    """

    def __init__(
        self,
        loop: Loop,
        log: Log,
        file: str,
        children: ChildProcesses,
        listeners: ListeningSockets,
    ) -> None:
        self.loop, self.log, self.file = loop, log, file
        self.children, self.listeners = children, listeners
        self.rolling = False
        self.requested = False  # a reload was requested during another one
        self.retry_timer: Timer | None = None

    def reload(self) -> None:
        """Reads the configuration and begins to replace the children, after the present reload if there is
        one.
        """
        if self.rolling:
            self.requested = True
            return
        self._attempt(Backoff(MIN_BACKOFF, MAX_BACKOFF), self.loop.now())

    def _attempt(self, backoff: Backoff, began: int) -> None:
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
        if self.rolling or self.children.stopping:
            return
        try:
            configuration = read_configuration(self.file)
            self.listeners.open(configuration)
        except (ConfigurationError, OSError) as error:
            self._failed(error, backoff, began)
            return
        self.rolling = True
        self.loop.spawn(self._roll(configuration))

    def _failed(self, error: ConfigurationError | OSError, backoff: Backoff, began: int) -> None:
        """Retries a failure that may pass until its time is over, and logs any other."""
        if self.loop.now() + backoff.pause <= began + max_retry_time(find_os_error(error)):
            self.retry_timer = self.loop.call_later(backoff.next_pause(), self._attempt, backoff, began)
            return
        for mistake in error.mistakes if isinstance(error, ConfigurationError) else [error]:
            self.log.error("configuration_rejected", error=str(mistake))

    def _roll(self, configuration: Configuration) -> Generator[Promise, object, None]:
        previous, self.children.configuration = self.children.configuration, configuration
        for slot in sorted(self.children.by_slot):
            if self.children.stopping:
                break
            replaced = yield from self._replace(slot)
            if not replaced:
                self.children.configuration = previous
                break
        else:
            self.log.info("rolling_reload_completed", processes=len(self.children.by_slot))
            self.listeners.close_unused(configuration)
        self.rolling = False
        if self.requested and not self.children.stopping:
            self.requested = False
            self.reload()

    def _replace(self, slot: int) -> Generator[Promise, object, bool]:
        """Starts a new child beside that of the slot, which is asked to end only once the new one serves.

        Returns whether the new child serves.
        """
        free_slot = self.children.free_slot()
        replacement = yield from self._start(free_slot)
        serves = replacement is not None and (yield replacement.ready)
        if not serves:
            self.log.error("rolling_reload_abandoned", process_slot=free_slot)
            return False
        old = self.children.by_slot.pop(slot, None)
        if old is not None:
            old.stop()
            yield old.ended
        return True

    def _start(self, slot: int) -> Generator[Promise, object, ChildProcess | None]:
        """Starts a new child of the slot, with retries; returns None where all fail."""
        backoff = Backoff(MIN_BACKOFF, MAX_BACKOFF)
        for _ in range(MAX_START_ATTEMPTS):
            try:
                return self.children.start(slot)
            except OSError as error:
                self.log.warning("child_start_failed", process_slot=slot, error=str(error))
            yield self.loop.sleep(backoff.next_pause())
            if self.children.stopping:
                break
        return None
