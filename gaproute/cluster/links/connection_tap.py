"""Writes a line of JSON to a file for each connection that opens, is refused or ends."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from gaproute.cluster.addresses import Link


class ConnectionEvent(Enum):
    """An event of a connection; the value is in its line."""

    OPENED = b"opened"
    REFUSED = b"refused"
    ENDED = b"ended"


class ConnectionTap:
    """Writes to the file at `path`, or nothing where there is none. Errors: OSError.

    Times are of the monotonic clock, which all processes of a machine share.
    """

    def __init__(self, path: str | None, clock: Callable[[], int]) -> None:
        self._file = open(path, "ab", buffering=0) if path else None  # noqa: SIM115 - until `close`
        self._clock = clock

    def note(self, event: ConnectionEvent, link: Link, carried_bytes: int = 0) -> None:
        """Writes one line."""
        if self._file is not None:
            self._file.write(
                b'{"at":%d,"what":"%b","from":%d,"to":%d,"bytes":%d}\n'
                % (self._clock(), event.value, link.source, link.destination, carried_bytes)
            )

    def close(self) -> None:
        """Closes the file."""
        if self._file is not None:
            self._file.close()
