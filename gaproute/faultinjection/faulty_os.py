"""The stand-in for the module `os` that modules under test are given."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any, Protocol

if TYPE_CHECKING:
    from _typeshed import ReadableBuffer

FilePath = str | os.PathLike[str]


class FileCalls(Protocol):
    """The calls that change files, as `FaultyDisk` has them; each is the call of `os` of the same name."""

    def open(self, path: FilePath, flags: int, mode: int = 0o777) -> int:
        """See open(2)."""

    def read(self, descriptor: int, count: int) -> bytes:
        """See read(2)."""

    def write(self, descriptor: int, data: ReadableBuffer) -> int:
        """See write(2)."""

    def fsync(self, descriptor: int) -> None:
        """See fsync(2)."""

    def ftruncate(self, descriptor: int, size: int) -> None:
        """See ftruncate(2)."""

    def close(self, descriptor: int) -> None:
        """See close(2)."""

    def rename(self, source: FilePath, target: FilePath, call: str = "rename") -> None:
        """See rename(2); `call`: the name by which plans refer to the call, and by which it is counted."""

    def link(self, source: FilePath, target: FilePath) -> None:
        """See link(2)."""

    def unlink(self, path: FilePath) -> None:
        """See unlink(2)."""


class FaultyOs:
    """Stands for the module `os`: calls that change files go to the disk, all others to the real module."""

    def __init__(self, disk: FileCalls) -> None:
        self.open, self.read, self.write, self.close = disk.open, disk.read, disk.write, disk.close
        self.fsync, self.ftruncate = disk.fsync, disk.ftruncate
        self.rename, self.link, self.unlink = disk.rename, disk.link, disk.unlink
        self.replace = lambda source, target: disk.rename(source, target, "replace")

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)
