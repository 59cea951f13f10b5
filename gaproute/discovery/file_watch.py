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

FAILURES_BEFORE_REPORT = 2  # consecutive reads that fail for a transient reason


class FileStamp(NamedTuple):
    """The file properties that are compared to detect a change."""

    modified: int  # ns
    inode: int
    size: int


class FileWatch:
    """Checks a file at an interval, and reads the file when it has changed.

    `on_change(content)` is called as soon as a change is detected, and for the initial content. An invalid or
    missing file is rejected: `on_rejected(mistakes)` is called once, and the last accepted content stays in
    force. A read that fails for a transient reason is retried at the next check; a lasting failure is
    reported once.

    `current_at`: when the content that `on_change` last received was last seen to be current; None before the
    first call. During `on_change` it still refers to the previous content. Any different modification time
    counts as a change, not only a later one, so that a wall clock that is set back hides no change.
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
        """`interval`: ns; `reader(path)` returns the content of the file, or raises ConfigurationError for an
        invalid or unreadable file.
        """
        self.loop, self.path, self.interval = loop, path, interval
        self.on_change, self.on_rejected, self.reader = on_change, on_rejected, reader
        self.stamp: FileStamp | int | None = None  # of the last check; an errno if it failed
        self.current_at: int | None = None
        self.accepted = False  # whether the content that was read last was accepted
        self.failed_reads = 0  # consecutive reads that failed for a transient reason
        self.timer: Timer | None = None
        # After a stall of the loop, the file is read before the requests that arrived during the stall.
        loop.on_late_turn.append(self.check)
        self._check_periodically()

    def _check_periodically(self) -> None:
        self.timer = self.loop.call_later(self.interval, self._check_periodically)
        self.check()

    def check(self) -> None:
        """Reads the file if it has changed since the last check."""
        checked_at = self.loop.now()
        stamp: FileStamp | int | None
        try:
            status = os.stat(self.path)
            stamp = FileStamp(status.st_mtime_ns, status.st_ino, status.st_size)
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
        """Reads the file even if it has not changed."""
        read_at, self.accepted = self.loop.now(), False
        try:
            content = self.reader(self.path)
        except ConfigurationError as error:
            if self._should_report(error):
                self.on_rejected(error.mistakes)
            return
        self.failed_reads = 0
        self.on_change(content)
        self.accepted, self.current_at = True, read_at

    def _should_report(self, error: ConfigurationError) -> bool:
        """Whether to report the error; a transient error is reported only when it repeats."""
        cause = find_os_error(error)
        if cause is None or not is_transient_read(cause):
            self.failed_reads = 0
            return True
        self.stamp = None
        self.failed_reads += 1
        return self.failed_reads == FAILURES_BEFORE_REPORT

    def close(self) -> None:
        """Stops watching the file."""
        if self.timer is not None:
            self.timer.cancel()
        if self.check in self.loop.on_late_turn:
            self.loop.on_late_turn.remove(self.check)
