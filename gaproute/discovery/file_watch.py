"""A file of host lines, watched for changes."""

import os

from gaproute.config import ConfigurationError, read_hosts
from gaproute.loop.faults import cause_of, is_momentary_read

FAILURES_BEFORE_REPORT = 2  # reads in a row that failed for a moment, at which that is told


class FileWatch:
    """Looks at a file of lines; `on_change(lines)` at once when it has changed. A wrong or missing file is
    rejected whole, `on_rejected(mistakes)` is called once for it, and the list last told stays. One that
    cannot be read for a moment is read at the next look; that is told once too, when it lasts.

    `current_at`: when the file was last seen to be as it was told; None before the first. While lines are
    told it is still the time before that. Changes are known by the file's time being another, not a later
    one, so a wall clock that is set back hides none."""

    def __init__(self, loop, path, interval, on_change, on_rejected, reader=read_hosts):
        self.loop, self.path, self.interval = loop, path, interval
        self.on_change, self.on_rejected, self.reader = on_change, on_rejected, reader
        self.stamp = self.current_at = None
        self.accepted = False  # whether the file as it was last read was told
        self.failed_reads = 0  # reads in a row that failed for a moment
        # after a stop the list is read before the tasks that came meanwhile
        loop.on_late.append(self.look)
        self._look_again()

    def _look_again(self):
        self.timer = self.loop.after(self.interval, self._look_again)
        self.look()

    def look(self):
        looked_at = self.loop.now()
        try:
            state = os.stat(self.path)
            stamp = (state.st_mtime_ns, state.st_ino, state.st_size)
        except OSError as fault:
            if is_momentary_read(fault):
                return
            stamp = fault.errno
        if stamp != self.stamp:
            self.stamp = stamp
            self.read()
        elif self.accepted:
            self.current_at = looked_at

    def read(self):
        read_at, self.accepted = self.loop.now(), False
        try:
            lines = self.reader(self.path)
        except ConfigurationError as wrong:
            if self._is_reported(wrong):
                self.on_rejected(wrong.mistakes)
            return
        self.failed_reads = 0
        self.on_change(lines)
        self.accepted, self.current_at = True, read_at

    def _is_reported(self, wrong):
        """Whether these mistakes are to be told; what may pass by itself is looked at again first."""
        fault = cause_of(wrong)
        if fault is None or not is_momentary_read(fault):
            self.failed_reads = 0
            return True
        self.stamp = None
        self.failed_reads += 1
        return self.failed_reads == FAILURES_BEFORE_REPORT

    def close(self):
        self.timer.cancel()
        if self.look in self.loop.on_late:
            self.loop.on_late.remove(self.look)
