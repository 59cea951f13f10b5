"""A faulty disk for the tests of storage: calls that fail or are short, and what a kill leaves behind.

`FaultyDisk.installed(module, ...)` replaces the name `os` in modules that write files. Calls go through to
real files in one folder, so that the modules read what they wrote. The disk also records what is durable: the
bytes that an fsync covered, and the names that an fsync of the folder covered.

- A fault of the plan makes a call fail, or makes a read or write short.
- A failed fsync drops what it should have made durable: that can still be read, as from the page cache, but
  no later fsync makes it durable (Linux marks the pages clean); only writing the bytes again does.
- A kill at the n-th call raises `ProcessKilled` before, after or, for a write, in the middle of that call.
  `end_process` then leaves the page cache, or what is read once its clean pages were evicted. `fail_power`
  leaves what is durable, and any prefix of the other changes, perhaps with zeros in place of written bytes;
  the same holds for renames, creations and removals.
"""

from __future__ import annotations

import os
import random
from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from types import ModuleType
from typing import TYPE_CHECKING

from gaproute.faultinjection.durability import (
    CachedDirectory,
    CachedFile,
    NameChange,
    OpenDescriptor,
    Truncate,
)
from gaproute.faultinjection.faulty_os import FaultyOs, FilePath
from gaproute.faultinjection.kills import KillPoint, Moment, ProcessKilled
from gaproute.faultinjection.plan import Failure, Fault, FaultPlan, Script, ShortTransfer

if TYPE_CHECKING:
    from _typeshed import ReadableBuffer


class FaultyDisk:
    """One folder on a faulty disk.

    `plan` decides which calls fail, `kill` at which call the process ends; what a crash leaves is drawn from
    `chance`. `calls`: how many calls were made; `counts`: the same by name.
    """

    def __init__(
        self,
        folder: str | Path,
        plan: FaultPlan | None = None,
        *,
        kill: KillPoint | None = None,
        chance: random.Random | None = None,
    ) -> None:
        self.folder = os.path.abspath(folder)
        self.plan = plan or FaultPlan(Script(()))
        self.kill, self.chance = kill, chance or random.Random(0)
        self.killed = False
        self.calls = 0
        self.counts: Counter[str] = Counter()
        self._descriptors: dict[int, OpenDescriptor] = {}
        self._directory = CachedDirectory.of_folder(self.folder)

    # For tests

    @contextmanager
    def installed(self, *modules: ModuleType) -> Iterator[FaultyDisk]:
        """Inside the block, the name `os` of these modules stands for this disk."""
        originals = [vars(module)["os"] for module in modules]
        for module in modules:
            vars(module)["os"] = FaultyOs(self)
        try:
            yield self
        finally:
            for module, original in zip(modules, originals, strict=True):
                vars(module)["os"] = original

    @property
    def open_descriptors(self) -> int:
        """How many descriptors were opened on this disk and not closed."""
        return len(self._descriptors)

    def end_process(self) -> None:
        """Ends the process but not the machine; the next process may use the disk then.

        Descriptors are closed. Pages that a failed fsync has marked clean may be evicted.
        """
        self._close_all()
        if self.chance.randrange(2):
            for name, file in self._directory.names.items():
                file.cached[:] = file.evicted()
                Path(name).write_bytes(file.cached)

    def fail_power(self) -> None:
        """Ends the machine; the folder then has what its disk may have. The next process may use it."""
        self._close_all()
        contents = self._directory.after_power_failure(self.chance)
        for name in self._directory.names:
            Path(name).unlink(missing_ok=True)
        for name, content in contents.items():
            Path(name).write_bytes(content)
        self._directory = CachedDirectory.of_folder(self.folder)

    # Calls, for `FaultyOs`

    def open(self, path: FilePath, flags: int, mode: int = 0o777) -> int:
        """See open(2)."""
        name = os.path.abspath(path)
        existed = os.path.lexists(name)
        self._begin_call("open")
        descriptor = os.open(path, flags, mode)
        if os.path.dirname(name) == self.folder:
            self._descriptors[descriptor] = self._open_file(name, flags, existed=existed)
        elif name == self.folder:
            self._descriptors[descriptor] = OpenDescriptor(None)
        self._end_call()
        return descriptor

    def read(self, descriptor: int, count: int) -> bytes:
        """See read(2)."""
        fault = self._begin_call("read")
        limit = fault.limit if isinstance(fault, ShortTransfer) else count
        data = os.read(descriptor, min(count, limit))
        self._end_call()
        return data

    def write(self, descriptor: int, data: ReadableBuffer) -> int:
        """See write(2)."""
        fault = self._begin_call("write")
        view = memoryview(data)
        if isinstance(fault, ShortTransfer):
            view = view[: max(1, fault.limit)]
        if self._kill_due(Moment.WITHIN):
            view = view[: self.chance.randrange(len(view) + 1)]
        written = os.write(descriptor, view) if view else 0
        opened = self._descriptors.get(descriptor)
        if opened is not None and written:
            opened.write(bytes(view[:written]))
        self._end_call(Moment.WITHIN, Moment.AFTER)
        return written

    def fsync(self, descriptor: int) -> None:
        """See fsync(2). A failure drops all the changes that were to become durable, or the last ones."""
        opened = self._descriptors.get(descriptor)
        try:
            self._begin_call("fsync")
        except OSError:
            self._sync(opened, complete=False)
            raise
        self._sync(opened, complete=True)
        self._end_call()

    def ftruncate(self, descriptor: int, size: int) -> None:
        """See ftruncate(2)."""
        self._begin_call("ftruncate")
        os.ftruncate(descriptor, size)
        opened = self._descriptors.get(descriptor)
        if opened is not None and opened.file is not None:
            opened.file.change(Truncate(size))
        self._end_call()

    def close(self, descriptor: int) -> None:
        """See close(2): a failure releases the descriptor, too."""
        try:
            self._begin_call("close")
        except OSError:
            self._release(descriptor)
            raise
        self._release(descriptor)
        self._end_call()

    def rename(self, source: FilePath, target: FilePath, call: str = "rename") -> None:
        """See rename(2)."""
        self._begin_call(call)
        os.rename(source, target)
        old, new = os.path.abspath(source), os.path.abspath(target)
        file = self._directory.names.get(old)
        if file is not None:
            self._directory.change(NameChange(new, file, gone=old))
        self._end_call()

    def link(self, source: FilePath, target: FilePath) -> None:
        """See link(2)."""
        self._begin_call("link")
        os.link(source, target)
        file = self._directory.names.get(os.path.abspath(source))
        if file is not None:
            self._directory.change(NameChange(os.path.abspath(target), file))
        self._end_call()

    def unlink(self, path: FilePath) -> None:
        """See unlink(2)."""
        self._begin_call("unlink")
        os.unlink(path)
        self._directory.change(NameChange(os.path.abspath(path), None))
        self._end_call()

    # What is cached and durable

    def _open_file(self, name: str, flags: int, *, existed: bool) -> OpenDescriptor:
        file = self._directory.names.get(name)
        if file is None or not existed:
            file = CachedFile()
            self._directory.change(NameChange(name, file))
        if flags & os.O_TRUNC and file.cached:
            file.change(Truncate(0))
        return OpenDescriptor(file, bool(flags & os.O_APPEND))

    def _sync(self, opened: OpenDescriptor | None, *, complete: bool) -> None:
        """Makes the pending changes durable; if not `complete`, only the first few, and drops the others."""
        if opened is None:
            return
        target = self._directory if opened.file is None else opened.file
        pending = len(target.pending)
        target.sync(pending if complete else self.chance.randrange(pending + 1))

    def _release(self, descriptor: int) -> None:
        self._descriptors.pop(descriptor, None)
        os.close(descriptor)

    def _close_all(self) -> None:
        self.killed = False
        for descriptor in list(self._descriptors):
            self._release(descriptor)

    # Faults and the kill

    def _begin_call(self, name: str) -> Fault | None:
        if self.killed:  # so that `finally` blocks have no effect, which a killed process does not run
            raise ProcessKilled(f"{name} after the kill")
        self.calls += 1
        self.counts[name] += 1
        if self._kill_due(Moment.BEFORE) or (name != "write" and self._kill_due(Moment.WITHIN)):
            self._kill_process(f"before call {self.calls}, {name}")
        fault = self.plan.inject(name)
        if isinstance(fault, Failure):
            raise OSError(fault.errno, os.strerror(fault.errno))
        return fault

    def _end_call(self, *moments: Moment) -> None:
        if any(self._kill_due(moment) for moment in moments or (Moment.AFTER,)):
            self._kill_process(f"after call {self.calls}")

    def _kill_process(self, where: str) -> None:
        self.killed = True
        raise ProcessKilled(where)

    def _kill_due(self, moment: Moment) -> bool:
        return self.kill == KillPoint(self.calls, moment)
