"""A faulty disk for the tests of storage: calls that fail or are short, and what a kill leaves behind.

`FaultyDisk.installed(module, ...)` replaces the name `os` in modules that write files. Calls go through to
real files in one folder, so that the modules read what they wrote; beside them the disk keeps account of
what would be durable: the bytes that an fsync covered, and the names that a sync of the folder covered.

- A fault of the plan makes a call fail, or a read or write short.
- A failed fsync drops what it should have made durable: it can still be read, as from the page cache, but no
  later fsync brings it to the disk. Only writing the bytes again does.
- A kill at the n-th call raises `ProcessKilled` before, after or, for a write, in the middle of that call.
  `end_process` then leaves what a dead process leaves: the page cache, some of it maybe evicted.
  `fail_power` leaves what a machine that lost its power leaves: what is durable, of the rest any prefix,
  maybe zeros where the bytes were to come; of renames, creations and removals any prefix.
"""

from __future__ import annotations

import os
import random
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from types import ModuleType
from typing import Any

from gaproute.faultinjection.durability import CachedDirectory, CachedFile, NameChange, Truncate, Write
from gaproute.faultinjection.faulty_os import FaultyOs
from gaproute.faultinjection.kills import KillPoint, Moment, ProcessKilled
from gaproute.faultinjection.plan import Failure, Fault, FaultPlan, Script, ShortTransfer


@dataclass(slots=True)
class _Descriptor:
    file: CachedFile | None  # None for a folder
    appends: bool = False
    position: int = 0


class FaultyDisk:
    """One folder. `plan`: which calls fail; `kill`: at which call the process ends. `calls` counts them all,
    `counts` by name."""

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
        self._descriptors: dict[int, _Descriptor] = {}
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
        """The process is gone, the machine runs on: descriptors are closed. Pages that a failed sync left as
        clean may be evicted. The next process may use the disk."""
        self._close_all()
        if self.chance.randrange(2):
            for name, file in self._directory.names.items():
                file.cached[:] = file.evicted()
                Path(name).write_bytes(file.cached)

    def fail_power(self) -> None:
        """The machine loses its power: the folder holds what its disk may hold. The next process may use
        it."""
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
        stood = os.path.lexists(name)
        descriptor: int = self._call("open", lambda: os.open(path, flags, mode))
        if os.path.dirname(name) == self.folder:
            self._descriptors[descriptor] = self._opened(name, flags, stood)
        elif name == self.folder:
            self._descriptors[descriptor] = _Descriptor(None)
        self._after()
        return descriptor

    def read(self, descriptor: int, count: int) -> bytes:
        """See read(2)."""
        fault = self._before("read")
        limit = fault.limit if isinstance(fault, ShortTransfer) else count
        data = os.read(descriptor, min(count, limit))
        self._after()
        return data

    def write(self, descriptor: int, data: Any) -> int:
        """See write(2)."""
        fault = self._before("write")
        view = memoryview(data)
        if isinstance(fault, ShortTransfer):
            view = view[: max(1, fault.limit)]
        if self._kill_is(Moment.WITHIN):
            view = view[: self.chance.randrange(len(view) + 1)]
        written = os.write(descriptor, view) if view else 0
        held = self._descriptors.get(descriptor)
        if held is not None and held.file is not None and written:
            offset = len(held.file.cached) if held.appends else held.position
            held.file.change(Write(offset, bytes(view[:written])))
            held.position = offset + written
        self._after(Moment.WITHIN, Moment.AFTER)
        return written

    def fsync(self, descriptor: int) -> None:
        """See fsync(2). A failure drops what was to be made durable, all of it or from some point on."""
        held = self._descriptors.get(descriptor)
        try:
            self._before("fsync")
        except OSError:
            self._synced(held, all_of_it=False)
            raise
        self._synced(held, all_of_it=True)
        self._after()

    def ftruncate(self, descriptor: int, size: int) -> None:
        """See ftruncate(2)."""
        self._call("ftruncate", lambda: os.ftruncate(descriptor, size))
        held = self._descriptors.get(descriptor)
        if held is not None and held.file is not None:
            held.file.change(Truncate(size))
        self._after()

    def close(self, descriptor: int) -> None:
        """See close(2): the descriptor is released also where this fails."""
        try:
            self._before("close")
        except OSError:
            self._closed(descriptor)
            raise
        self._closed(descriptor)
        self._after()

    def rename(self, source: Any, target: Any, call: str = "rename") -> None:
        """See rename(2)."""
        self._call(call, lambda: os.rename(source, target))
        old, new = os.path.abspath(os.fspath(source)), os.path.abspath(os.fspath(target))
        file = self._directory.names.get(old)
        if file is not None:
            self._directory.change(NameChange(new, file, gone=old))
        self._after()

    def link(self, source: Any, target: Any) -> None:
        """See link(2)."""
        self._call("link", lambda: os.link(source, target))
        file = self._directory.names.get(os.path.abspath(os.fspath(source)))
        if file is not None:
            self._directory.change(NameChange(os.path.abspath(os.fspath(target)), file))
        self._after()

    def unlink(self, path: Any) -> None:
        """See unlink(2)."""
        self._call("unlink", lambda: os.unlink(path))
        self._directory.change(NameChange(os.path.abspath(os.fspath(path)), None))
        self._after()

    # What is cached and durable

    def _opened(self, name: str, flags: int, stood: bool) -> _Descriptor:
        file = self._directory.names.get(name)
        if file is None or not stood:
            file = CachedFile()
            self._directory.change(NameChange(name, file))
        if flags & os.O_TRUNC and file.cached:
            file.change(Truncate(0))
        return _Descriptor(file, bool(flags & os.O_APPEND))

    def _synced(self, held: _Descriptor | None, *, all_of_it: bool) -> None:
        """What was pending is durable, or only a first part of it is and the rest is dropped."""
        if held is None:
            return
        target = self._directory if held.file is None else held.file
        pending = len(target.pending)
        target.sync(pending if all_of_it else self.chance.randrange(pending + 1))

    def _closed(self, descriptor: int) -> None:
        self._descriptors.pop(descriptor, None)
        os.close(descriptor)

    def _close_all(self) -> None:
        self.killed = False
        for descriptor in list(self._descriptors):
            self._closed(descriptor)

    # Faults and the kill

    def _call(self, name: str, effect: Callable[[], Any]) -> Any:
        self._before(name)
        return effect()

    def _before(self, name: str) -> Fault | None:
        if self.killed:  # what cleans up behind a kill is not run by a dead process
            raise ProcessKilled(f"{name} after the kill")
        self.calls += 1
        self.counts[name] += 1
        if self._kill_is(Moment.BEFORE) or (name != "write" and self._kill_is(Moment.WITHIN)):
            self._die(f"before call {self.calls}, {name}")
        fault = self.plan.inject(name)
        if isinstance(fault, Failure):
            raise OSError(fault.errno, os.strerror(fault.errno))
        return fault

    def _after(self, *moments: Moment) -> None:
        if any(self._kill_is(moment) for moment in moments or (Moment.AFTER,)):
            self._die(f"after call {self.calls}")

    def _die(self, where: str) -> None:
        self.killed = True
        raise ProcessKilled(where)

    def _kill_is(self, moment: Moment) -> bool:
        return self.kill is not None and self.kill.call == self.calls and self.kill.moment is moment
