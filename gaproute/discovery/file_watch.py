"""Watches a file, such as a host list, for changes."""

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from gaproute.config import ConfigurationError, read_hosts
from gaproute.config.errors import Mistake
from gaproute.loop import Loop
from gaproute.loop.faults import find_os_error, is_transient_read
from gaproute.loop.timers import Timer

FAILURES_BEFORE_REPORT = 2  # reads in a row that failed for a transient reason


class FileStamp(NamedTuple):
    """The properties of a file by which a change is recognized."""

    modified: int  # ns
    inode: int
    size: int


class FileWatch:
    """Checks a file at an interval, and reads it when it has changed.

    `on_change(content)` is called immediately when it has. An invalid or missing file is rejected:
    `on_rejected(mistakes)` is called once for it, and the last accepted content stays in force. A file that
    cannot be read for a transient reason is read at the next check; if that lasts, it is reported once.

    `current_at`: when the file was last seen unchanged since `on_change`; None before the first call. During
    `on_change` it is still the time before the change. A change is recognized by a different time of the
    file, not a later one, so a wall clock that is set back hides none.
    """

    def __init__(
        self,
        loop: Loop,
        path: str | Path,
        interval: int,
        on_change: Callable[[Any], object],
        on_rejected: Callable[[list[Mistake]], object],
        reader: Callable[[Any], Any] = read_hosts,
    ) -> None:
        """`interval`: ns; `reader(path)` returns the content of the file. Errors of `reader`:
        ConfigurationError.
        """
        self.loop, self.path, self.interval = loop, path, interval
        self.on_change, self.on_rejected, self.reader = on_change, on_rejected, reader
        self.stamp: FileStamp | int | None = None  # or the errno of the last check
        self.current_at: int | None = None
        self.accepted = False  # whether the content that was read last was accepted
        self.failed_reads = 0  # in a row, for a transient reason
        self.timer: Timer | None = None
        # After a stall the file is read before the requests that came in the meantime.
        loop.on_late_turn.append(self.check)
        self._check_again()

    def _check_again(self) -> None:
        self.timer = self.loop.call_later(self.interval, self._check_again)
        self.check()

    def check(self) -> None:
        """Read the file if it has changed since the last check."""
        checked_at = self.loop.now()
        stamp: FileStamp | int | None
        try:
            state = os.stat(self.path)
            stamp = FileStamp(state.st_mtime_ns, state.st_ino, state.st_size)
        except OSError as error:
            if is_transient_read(error):
                return
            stamp = error.errno
        if stamp != self.stamp:
            self.stamp = stamp
            self.read()
        elif self.accepted:
            self.current_at = checked_at

    def read(self) -> None:
        """Reads the file, whether or not it has changed."""
        read_at, self.accepted = self.loop.now(), False
        try:
            content = self.reader(self.path)
        except ConfigurationError as error:
            if self._is_reported(error):
                self.on_rejected(error.mistakes)
            return
        self.failed_reads = 0
        self.on_change(content)
        self.accepted, self.current_at = True, read_at

    def _is_reported(self, error: ConfigurationError) -> bool:
        """Whether the error is reported; a transient one is checked again first."""
        cause = find_os_error(error)
        if cause is None or not is_transient_read(cause):
            self.failed_reads = 0
            return True
        self.stamp = None
        self.failed_reads += 1
        return self.failed_reads == FAILURES_BEFORE_REPORT

    def close(self) -> None:
        """Ends the watch."""
        if self.timer is not None:
            self.timer.cancel()
        if self.check in self.loop.on_late_turn:
            self.loop.on_late_turn.remove(self.check)
