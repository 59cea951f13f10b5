"""The log of the platform process: rate-limited JSON lines on standard error that never block the process."""

import os
import time
from collections.abc import Callable

import msgspec

MAX_LINES_PER_SECOND = 200  # limits the delay that a burst of errors adds to requests
STANDARD_ERROR_DESCRIPTOR = 2


class Log:
    """Writes lines to a descriptor. A field value that JSON cannot represent is written as its `repr`."""

    def __init__(
        self,
        descriptor: int = STANDARD_ERROR_DESCRIPTOR,
        wall_clock: Callable[[], float] = time.time,
        monotonic_clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`wall_clock()`: the time of a line; `monotonic_clock()`: limits the line rate; both in seconds."""
        self.descriptor, self.wall_clock, self.monotonic_clock = descriptor, wall_clock, monotonic_clock
        self.current_second = self.lines_in_current_second = 0
        self.dropped_line_count = 0  # lines dropped since the last written line
        self.unwritten_remainder = b""  # rest of a line that the pipe accepted in part

    def info(self, event: str, /, **fields: object) -> None:
        """Logs an event of ordinary operation."""
        self.write_line("info", event, fields)

    def warning(self, event: str, /, **fields: object) -> None:
        """Logs an event that an operator may have to look into."""
        self.write_line("warning", event, fields)

    def error(self, event: str, /, **fields: object) -> None:
        """Logs an error."""
        self.write_line("error", event, fields)

    def write_line(self, level: str, event: str, fields: dict[str, object]) -> None:
        """Writes a line, unless this second's line limit is reached or the pipe is full."""
        if not self._admit_line():
            self.dropped_line_count += 1
            return
        if self.dropped_line_count:
            fields = {**fields, "dropped_lines": self.dropped_line_count}
            self.dropped_line_count = 0
        line = {"at": round(self.wall_clock(), 3), "level": level, "event": event, **fields}
        self.unwritten_remainder = self._write_available(self.unwritten_remainder)
        if not self.unwritten_remainder:
            data = msgspec.json.encode(line, enc_hook=repr) + b"\n"
            remainder = self._write_available(data)
            self.unwritten_remainder = remainder if len(remainder) < len(data) else b""

    def _admit_line(self) -> bool:
        second = int(self.monotonic_clock())
        if second != self.current_second:
            self.current_second, self.lines_in_current_second = second, 0
        self.lines_in_current_second += 1
        return self.lines_in_current_second <= MAX_LINES_PER_SECOND

    def _write_available(self, data: bytes) -> bytes:
        """Writes as many bytes as the pipe accepts and returns the rest.

        A line of which no byte was written is lost, so that no request waits for the log. The rest of a
        partly written line is written before the next line.
        """
        try:
            while data:
                data = data[os.write(self.descriptor, data) :]
        except OSError:
            pass
        return data
