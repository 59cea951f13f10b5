"""The stand-in for the module `os` that modules under test are given."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from gaproute.faultinjection.disk import FaultyDisk


class FaultyOs:
    """Stands for the module `os`: the calls that change files go to the disk, all else is as it was."""

    def __init__(self, disk: FaultyDisk) -> None:
        self.open, self.read, self.write, self.close = disk.open, disk.read, disk.write, disk.close
        self.fsync, self.ftruncate = disk.fsync, disk.ftruncate
        self.rename, self.link, self.unlink = disk.rename, disk.link, disk.unlink
        self.replace = lambda source, target: disk.rename(source, target, "replace")

    def __getattr__(self, name: str) -> Any:
        return getattr(os, name)
