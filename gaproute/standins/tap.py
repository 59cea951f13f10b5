"""Taps: files of what passed on a stand-in's sockets, one JSON object a line for each event.

Times are ns of the machine's monotonic clock, which all processes of one machine share.
"""

from __future__ import annotations

import io
from os import PathLike
from typing import Protocol

import msgspec

from gaproute.loop.timers import Clock
from gaproute.standins.json_objects import JsonObject

MAX_BUFFERED_EVENTS = 64  # then they are written, also between two periodic writes


class EventRecorder(Protocol):
    """What stand-ins record events to: a `Tap`, or a list in tests."""

    def note(self, what: str, **fields: object) -> None:
        """Records an event of that kind, as of now."""

    def flush(self) -> None:
        """Writes what is buffered."""


class Tap:
    """Appends events to a file, or drops them where there is no path. Errors: OSError."""

    def __init__(self, path: str | PathLike[str] | None, clock: Clock) -> None:
        """`clock`: ns."""
        self.clock = clock
        self._file = io.FileIO(path, "a") if path else None
        self._lines: list[bytes] = []

    def note(self, what: str, **fields: object) -> None:
        """Records an event of that kind, as of now."""
        if self._file is None:
            return
        self._lines.append(msgspec.json.encode({"at": self.clock(), "what": what, **fields}))
        if len(self._lines) >= MAX_BUFFERED_EVENTS:
            self.flush()

    def __enter__(self) -> Tap:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def close(self) -> None:
        """Writes what is buffered; nothing can be recorded any more."""
        self.flush()
        if self._file is not None:
            self._file.close()
            self._file = None

    def append_lines(self, lines: bytes) -> None:
        """Writes the lines of another tap as they are."""
        if self._file is not None:
            self._file.write(lines)

    def flush(self) -> None:
        """Writes what is buffered."""
        if self._lines and self._file is not None:
            lines, self._lines = self._lines, []
            self._file.write(b"\n".join(lines) + b"\n")


def read_tap(path: str | PathLike[str]) -> list[JsonObject]:
    """The events of a tap. A last line that was cut off by a kill is passed over. Errors: OSError."""
    events: list[JsonObject] = []
    with open(path, "rb") as file:
        for line in file.read().split(b"\n"):
            try:
                if line:
                    events.append(msgspec.json.decode(line))
            except msgspec.DecodeError:
                pass
    return events
