"""A faulty disk for the tests of storage: calls that fail or are short, and what a kill leaves behind.

`FaultyDisk.installed(module, ...)` replaces the name `os` in modules that write files. Calls go through to
real files in one folder, so that the modules read what they wrote; beside them the disk keeps account of
what would be durable: the bytes that an fsync covered, and the names that a sync of the folder covered.

- A fault of the plan makes a call fail, or a read or write short.
- A failed fsync drops what it should have made durable: it can still be read, as from the page cache, but no
  later fsync brings it to the disk. Only writing the bytes again does.
- A kill at the n-th call raises `ProcessKilled` before, after or, for a write, in the middle of that call.
  `end_process` then leaves what a killed process leaves: the page cache, perhaps in part evicted.
  `fail_power` leaves what a power failure leaves: what is durable, and any prefix of the rest, perhaps with
  zeros in place of the bytes; of renames, creations and removals any prefix too.
"""

from __future__ import annotations

import os
import random
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from types import ModuleType
from typing import Any

from gaproute.faultinjection.durability import (
    CachedDirectory,
    CachedFile,
    NameChange,
    OpenDescriptor,
    Truncate,
)
from gaproute.faultinjection.faulty_os import FaultyOs
from gaproute.faultinjection.kills import KillPoint, Moment, ProcessKilled
from gaproute.faultinjection.plan import Failure, Fault, FaultPlan, Script, ShortTransfer


class FaultyDisk:
    """One folder on a faulty disk.

    `plan` decides which calls fail, `kill` at which call the process ends, `chance` what a crash leaves.
    `calls` counts the calls, `counts` by name.
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
        """Inside the block these modules' `os` is this disk."""
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
        """Descriptors that were opened here and not closed."""
        return len(self._descriptors)

    def end_process(self) -> None:
        """End the process; the machine runs on.

        Descriptors are closed. Pages that a failed sync marked clean may be evicted. The next process may use
        the disk.
        """
        self._close_all()
        if self.chance.randrange(2):
            for name, file in self._directory.names.items():
                file.cached[:] = file.evicted()
                Path(name).write_bytes(file.cached)

    def fail_power(self) -> None:
        """End the machine: the folder then holds what its disk may hold. The next process may use it."""
        self._close_all()
        contents = self._directory.after_power_failure(self.chance)
        for name in self._directory.names:
            Path(name).unlink(missing_ok=True)
        for name, content in contents.items():
            Path(name).write_bytes(content)
        self._directory = CachedDirectory.of_folder(self.folder)

    # Calls, for `FaultyOs`

    def open(self, path: Any, flags: int, mode: int = 0o777) -> int:
        """See open(2)."""
        name = os.path.abspath(os.fspath(path))
        existed = os.path.lexists(name)
        descriptor: int = self._call("open", lambda: os.open(path, flags, mode))
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

    def write(self, descriptor: int, data: Any) -> int:
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
        """See fsync(2). A failure drops what was to be made durable, all of it or from some point on."""
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
        self._call("ftruncate", lambda: os.ftruncate(descriptor, size))
        opened = self._descriptors.get(descriptor)
        if opened is not None and opened.file is not None:
            opened.file.change(Truncate(size))
        self._end_call()

    def close(self, descriptor: int) -> None:
        """See close(2): the descriptor is released also where this fails."""
        try:
            self._begin_call("close")
        except OSError:
            self._release(descriptor)
            raise
        self._release(descriptor)
        self._end_call()

    def rename(self, source: Any, target: Any, call: str = "rename") -> None:
        """See rename(2)."""
        self._call(call, lambda: os.rename(source, target))
        old, new = os.path.abspath(os.fspath(source)), os.path.abspath(os.fspath(target))
        file = self._directory.names.get(old)
        if file is not None:
            self._directory.change(NameChange(new, file, gone=old))
        self._end_call()

    def link(self, source: Any, target: Any) -> None:
        """See link(2)."""
        self._call("link", lambda: os.link(source, target))
        file = self._directory.names.get(os.path.abspath(os.fspath(source)))
        if file is not None:
            self._directory.change(NameChange(os.path.abspath(os.fspath(target)), file))
        self._end_call()

    def unlink(self, path: Any) -> None:
        """See unlink(2)."""
        self._call("unlink", lambda: os.unlink(path))
        self._directory.change(NameChange(os.path.abspath(os.fspath(path)), None))
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
        """What was pending is durable, or only a first part of it is and the rest is dropped."""
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

    def _call(self, name: str, effect: Callable[[], Any]) -> Any:
        self._begin_call(name)
        return effect()

    def _begin_call(self, name: str) -> Fault | None:
        if self.killed:  # a killed process does not run its `finally` blocks
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
        return self.kill is not None and self.kill.call == self.calls and self.kill.moment is moment
