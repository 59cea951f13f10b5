"""Host lists in memory: files that leave nothing behind, whatever ends the process."""

from __future__ import annotations

import os
from collections.abc import Iterable, Sequence
from typing import Protocol

ZONES, RACKS = 13, 97
GONE = "gone"  # the state of a host that is not listed


class ListFile(Protocol):
    """A file that gateways read a host list from."""

    def write(self, text: str) -> None:
        """Replace the content."""


class MemoryFile:
    """A file without a name on any disk, which others of this process read under `path`."""

    def __init__(self, text: str = "") -> None:
        self._descriptor = os.memfd_create("hosts")
        self.path = f"/proc/self/fd/{self._descriptor}"
        self._writes = 0
        self.write(text)

    def write(self, text: str) -> None:
        """Replace the content. Nobody reads in between, as one thread does all."""
        os.ftruncate(self._descriptor, 0)
        os.pwrite(self._descriptor, text.encode(), 0)
        self._writes += 1
        # The kernel's own time stamps are 4 ms apart: two writes could have the same.
        os.utime(self._descriptor, ns=(self._writes, self._writes))

    def close(self) -> None:
        """Free the memory."""
        os.close(self._descriptor)


class HostLists:
    """Which hosts there are, as one or more files tell it to the gateways.

    `states` and `starts` (seconds since 1970) are by name of the host; whoever changes them calls `publish`.
    """

    def __init__(self, hosts: int, files: Sequence[ListFile]) -> None:
        self.states = {f"host-{number:05}": "active" for number in range(hosts)}
        self.starts = dict.fromkeys(self.states, 1)
        self.files = files
        self.publish()

    def text(self) -> str:
        """The lines of all hosts that are listed."""
        return "".join(
            f"host {name} 127.9.{number >> 8}.{number & 255}:9001 zone z{number % ZONES} "
            f"rack r{number % RACKS} capacity 4 state {state} started {self.starts[name]}\n"
            for number, (name, state) in enumerate(self.states.items())
            if state != GONE
        )

    def publish(self, files: Iterable[int] | None = None) -> None:
        """Write the list to the files with these numbers, or to all."""
        text = self.text()
        for number in range(len(self.files)) if files is None else files:
            self.files[number].write(text)
