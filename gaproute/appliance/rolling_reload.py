"""Replaces the children of a parent one by one, to apply a new configuration without losing requests.

An invalid configuration changes nothing. Failures that may be transient are retried for a bounded time.
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
MAX_START_ATTEMPTS = 8  # to start a child with the new configuration; they take about 4 s in all


class RollingReload:
    """Reads the configuration file again at a reload and replaces the children one by one.

    `rolling`: whether children are being replaced now. `retry_timer`: set after a transient failure.
    """

    def __init__(
        self,
        loop: Loop,
        log: Log,
        configuration_file: str,
        children: ChildProcesses,
        listeners: ListeningSockets,
    ) -> None:
        self.loop, self.log, self.configuration_file = loop, log, configuration_file
        self.children, self.listeners = children, listeners
        self.rolling = False
        self.reload_requested = False  # whether a reload was requested while children are being replaced
        self.retry_timer: Timer | None = None

    def reload(self) -> None:
        """Begins to apply the configuration file, or does so after the reload that is running now."""
        if self.rolling:
            self.reload_requested = True
            return
        self._try_reload(Backoff(MIN_BACKOFF, MAX_BACKOFF), self.loop.now())

    def _try_reload(self, backoff: Backoff, started_at: int) -> None:
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None
        if self.rolling or self.children.stopping:
            return
        try:
            configuration = read_configuration(self.configuration_file)
            self.listeners.open(configuration)
        except (ConfigurationError, OSError) as error:
            self._handle_failure(error, backoff, started_at)
            return
        self.rolling = True
        self.loop.spawn(self._replace_children(configuration))

    def _handle_failure(self, error: ConfigurationError | OSError, backoff: Backoff, started_at: int) -> None:
        """Schedules a retry if the failure may be transient and time is left; otherwise logs the failure."""
        if self.loop.now() + backoff.pause <= started_at + max_retry_time(find_os_error(error)):
            self.retry_timer = self.loop.call_later(
                backoff.next_pause(), self._try_reload, backoff, started_at
            )
            return
        for mistake in error.mistakes if isinstance(error, ConfigurationError) else [error]:
            self.log.error("configuration_rejected", error=str(mistake))

    def _replace_children(self, configuration: Configuration) -> Generator[Promise, object, None]:
        previous, self.children.configuration = self.children.configuration, configuration
        for slot in sorted(self.children.by_slot):
            if self.children.stopping:
                break
            replaced = yield from self._replace_child(slot)
            if not replaced:
                self.children.configuration = previous
                break
        else:
            self.log.info("rolling_reload_completed", processes=len(self.children.by_slot))
            self.listeners.close_unused(configuration)
        self.rolling = False
        if self.reload_requested and not self.children.stopping:
            self.reload_requested = False
            self.reload()

    def _replace_child(self, slot: int) -> Generator[Promise, object, bool]:
        """Starts a new child, then stops the child in `slot` once the new one serves.

        Returns whether the new child serves; if not, the child in `slot` goes on.
        """
        free_slot = self.children.free_slot()
        replacement = yield from self._start_child(free_slot)
        serves = replacement is not None and (yield replacement.ready)
        if not serves:
            self.log.error("rolling_reload_abandoned", process_slot=free_slot)
            return False
        old = self.children.by_slot.pop(slot, None)
        if old is not None:
            old.stop()
            yield old.ended
        return True

    def _start_child(self, slot: int) -> Generator[Promise, object, ChildProcess | None]:
        """Starts a child in `slot`, with retries; returns None if all attempts fail."""
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
