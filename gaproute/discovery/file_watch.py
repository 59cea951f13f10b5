"""A file, such as a host list, that is watched for changes."""

import os
from collections.abc import Callable
from pathlib import Path
from typing import Any, NamedTuple

from gaproute.config import ConfigurationError, read_hosts
from gaproute.config.errors import Mistake
from gaproute.loop import Loop
from gaproute.loop.faults import cause_of, is_momentary_read
from gaproute.loop.loop import Timer

FAILURES_BEFORE_REPORT = 2  # reads in a row that failed for a transient reason


class FileStamp(NamedTuple):
    """By which a change of the file is known."""

    modified: int  # ns
    inode: int
    size: int


class FileWatch:
    """Looks at a file at an interval, and reads it when it has changed.

    `on_change(content)` is called at once when it has. A wrong or missing file is rejected whole:
    `on_rejected(mistakes)` is called once for it, and the content last told stays. A file that cannot be read
    for a transient reason is read at the next look; that is reported once too, when it lasts.

    `current_at`: when the file was last seen to be as it was told; None before the first. While content is
    told it is still the time before that. Changes are known by the file's time being another, not a later
    one, so a wall clock that is set back hides none.
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
        """`interval`: ns; `reader(path)` gives the file's content. Errors of it: ConfigurationError."""
        self.loop, self.path, self.interval = loop, path, interval
        self.on_change, self.on_rejected, self.reader = on_change, on_rejected, reader
        self.stamp: FileStamp | int | None = None  # or the error number of the last look
        self.current_at: int | None = None
        self.accepted = False  # whether the content as it was last read was told
        self.failed_reads = 0  # in a row, for a transient reason
        self.timer: Timer | None = None
        # After a stop the file is read before the requests that came meanwhile.
        loop.on_late.append(self.look)
        self._look_again()

    def _look_again(self) -> None:
        self.timer = self.loop.after(self.interval, self._look_again)
        self.look()

    def look(self) -> None:
        """Read the file if it has changed since the last look."""
        looked_at = self.loop.now()
        stamp: FileStamp | int | None
        try:
            state = os.stat(self.path)
            stamp = FileStamp(state.st_mtime_ns, state.st_ino, state.st_size)
        except OSError as error:
            if is_momentary_read(error):
                return
            stamp = error.errno
        if stamp != self.stamp:
            self.stamp = stamp
            self.read()
        elif self.accepted:
            self.current_at = looked_at

    def read(self) -> None:
        """Read the file, whether or not it has changed."""
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
        """Whether the error is to be reported; what may pass by itself is looked at again first."""
        cause = cause_of(error)
        if cause is None or not is_momentary_read(cause):
            self.failed_reads = 0
            return True
        self.stamp = None
        self.failed_reads += 1
        return self.failed_reads == FAILURES_BEFORE_REPORT

    def close(self) -> None:
        """Look no more."""
        if self.timer is not None:
            self.timer.cancel()
        if self.look in self.loop.on_late:
            self.loop.on_late.remove(self.look)
