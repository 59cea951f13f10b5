"""The log of the platform's process: lines of JSON on standard error; never blocks, and bounds its rate."""

import os
import time
from collections.abc import Callable
from typing import Any

import msgspec

MAX_LINES_PER_SECOND = 200  # a storm of faults must not cost the requests their time
STANDARD_ERROR = 2


class Log:
    """Writes lines to a descriptor. Fields of any type are written, at worst by their `repr`."""

    def __init__(
        self,
        descriptor: int = STANDARD_ERROR,
        wall: Callable[[], float] = time.time,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """`wall` dates the lines; `clock`, a monotonic one, bounds their rate; both in seconds."""
        self.descriptor, self.wall, self.clock = descriptor, wall, clock
        self.second = self.lines_in_second = 0
        self.dropped = 0  # lines since the last one that was written
        self.unwritten = b""  # the end of the last line, where the pipe took only a part

    def info(self, event: str, /, **fields: Any) -> None:
        """Logs what happens in ordinary work."""
        self.write_line("info", event, fields)

    def warning(self, event: str, /, **fields: Any) -> None:
        """Logs what may need an operator's look."""
        self.write_line("warning", event, fields)

    def error(self, event: str, /, **fields: Any) -> None:
        """Logs what went wrong."""
        self.write_line("error", event, fields)

    def write_line(self, level: str, event: str, fields: dict[str, Any]) -> None:
        """Writes a line, unless the second has had its share or nobody reads."""
        if not self._admits_line():
            self.dropped += 1
            return
        if self.dropped:
            fields = {**fields, "dropped_lines": self.dropped}
            self.dropped = 0
        line = {"at": round(self.wall(), 3), "level": level, "event": event, **fields}
        self.unwritten = self._write(self.unwritten)
        if not self.unwritten:
            data = msgspec.json.encode(line, enc_hook=repr) + b"\n"
            remainder = self._write(data)
            self.unwritten = remainder if len(remainder) < len(data) else b""

    def _admits_line(self) -> bool:
        second = int(self.clock())
        if second != self.second:
            self.second, self.lines_in_second = second, 0
        self.lines_in_second += 1
        return self.lines_in_second <= MAX_LINES_PER_SECOND

    def _write(self, data: bytes) -> bytes:
        """Writes what the pipe takes and returns the remainder.

        A line of which nothing was taken is lost, so that no request waits for the log; the remainder of one
        that has begun comes before the next line.
        """
        try:
            while data:
                data = data[os.write(self.descriptor, data) :]
        except OSError:
            pass
        return data
