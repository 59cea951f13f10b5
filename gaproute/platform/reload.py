"""Reloads the configuration file while the process runs."""

from collections.abc import Callable

from gaproute.loop import Loop
from gaproute.loop.faults import SHORTAGE_ERRNOS, Backoff, is_transient_read
from gaproute.loop.timers import Timer
from gaproute.platform.configuration import (
    Configuration,
    ConfigurationRejectedError,
    ConfigurationUnreadableError,
    read_configuration,
)
from gaproute.platform.log import Log
from gaproute.units import MILLI, SECOND

READ_BACKOFF, MAX_READ_BACKOFF = 200 * MILLI, 5 * SECOND


class ConfigurationReloader:
    """Reloads the file. An invalid file changes nothing; after a transient error the file is read again."""

    def __init__(self, loop: Loop, log: Log, path: str, on_reloaded: Callable[[Configuration], None]) -> None:
        self.loop, self.log, self.path, self.on_reloaded = loop, log, path, on_reloaded
        self.retry_timer: Timer | None = None
        self.backoff = Backoff(READ_BACKOFF, MAX_READ_BACKOFF)

    def reload(self) -> None:
        """Reads the file; retries with backoff after a transient error."""
        self.backoff.reset()
        self._read_and_apply()

    def cancel(self) -> None:
        """Cancels a pending retry."""
        if self.retry_timer is not None:
            self.retry_timer.cancel()
            self.retry_timer = None

    def _read_and_apply(self) -> None:
        self.cancel()
        try:
            configuration = read_configuration(self.path).configuration
        except ConfigurationRejectedError as error:
            self._handle_error(error)
            return
        self.log.info("configuration_reloaded", change_log=configuration.changelog)
        self.on_reloaded(configuration)

    def _handle_error(self, error: ConfigurationRejectedError) -> None:
        if isinstance(error, ConfigurationUnreadableError) and is_transient_read(error.cause):
            if error.cause.errno in SHORTAGE_ERRNOS:
                self.loop.relieve_shortage()
            self.log.warning("configuration_read_failed", error=str(error))
            self.retry_timer = self.loop.call_later(self.backoff.next_pause(), self._read_and_apply)
        else:
            self.log.error("configuration_rejected", error=str(error))
