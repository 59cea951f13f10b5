"""What a file and a directory keep through a crash: changes in the page cache, and those on the disk."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Write:
    """Bytes written at an offset; a gap before it is zeros."""

    offset: int
    data: bytes

    def apply(self, content: bytearray) -> None:
        """Make this change of the file's content."""
        content.extend(bytes(max(0, self.offset - len(content))))
        content[self.offset : self.offset + len(self.data)] = self.data


@dataclass(frozen=True, slots=True)
class Truncate:
    """The size is set: what is behind it goes, what is missing is zeros."""

    size: int

    def apply(self, content: bytearray) -> None:
        """Make this change of the file's content."""
        del content[self.size :]
        content.extend(bytes(self.size - len(content)))


@dataclass(eq=False, slots=True)
class CachedFile:
    """One file, whatever its names: `cached` is what is read; `pending` is not synced yet."""

    durable: bytearray = field(default_factory=bytearray)
    cached: bytearray = field(default_factory=bytearray)
    pending: list[Write | Truncate] = field(default_factory=list)

    def change(self, change: Write | Truncate) -> None:
        """Make the change in the cache; it reaches the disk with a sync, or some time later."""
        change.apply(self.cached)
        self.pending.append(change)

    def sync(self, reached: int) -> None:
        """Make the first `reached` pending changes durable; the others are dropped."""
        for change in self.pending[:reached]:
            change.apply(self.durable)
        self.pending.clear()

    def evicted(self) -> bytes:
        """What is read once the clean pages have left the cache: changes that a failed sync dropped are
        gone, those that are still to be written are there."""
        content = bytearray(self.durable)
        for change in self.pending:
            change.apply(content)
        return bytes(content)

    def after_power_failure(self, chance: random.Random) -> bytes:
        """What is durable and any prefix of the rest, the last write maybe in part or as zeros."""
        content = bytearray(self.durable)
        reached = chance.randrange(len(self.pending) + 1)
        for change in self.pending[:reached]:
            change.apply(content)
        torn = self.pending[reached] if reached < len(self.pending) else None
        if isinstance(torn, Write):
            Write(torn.offset, torn.data[: chance.randrange(len(torn.data) + 1)]).apply(content)
        if len(content) < len(self.cached) and chance.randrange(3) == 0:  # the size came, the bytes did not
            content.extend(bytes(len(self.cached) - len(content)))
        return bytes(content)


@dataclass(slots=True)
class OpenDescriptor:
    """A descriptor that a process holds; `file` is None for that of a directory."""

    file: CachedFile | None
    appends: bool = False
    position: int = 0  # bytes

    def write(self, data: bytes) -> None:
        """Write at the position, or at the end of a file that is open for appending."""
        if self.file is None:
            return
        offset = len(self.file.cached) if self.appends else self.position
        self.file.change(Write(offset, data))
        self.position = offset + len(data)


@dataclass(frozen=True, slots=True)
class NameChange:
    """One change of the folder: `name` is now of `file` (None: of none), and `gone` is no name any more."""

    name: str
    file: CachedFile | None
    gone: str | None = None

    def apply(self, names: dict[str, CachedFile]) -> None:
        """Make this change of the folder's names."""
        if self.gone is not None:
            names.pop(self.gone, None)
        if self.file is None:
            names.pop(self.name, None)
        else:
            names[self.name] = self.file


@dataclass(eq=False, slots=True)
class CachedDirectory:
    """One directory: `names` is what is listed; `pending` is not synced yet."""

    durable: dict[str, CachedFile] = field(default_factory=dict)
    names: dict[str, CachedFile] = field(default_factory=dict)
    pending: list[NameChange] = field(default_factory=list)

    @classmethod
    def of_folder(cls, folder: str) -> CachedDirectory:
        """The files that a folder holds now, all of them durable."""
        names = {}
        for path in Path(folder).iterdir():
            if path.is_file():
                content = path.read_bytes()
                names[str(path)] = CachedFile(bytearray(content), bytearray(content))
        return cls(dict(names), names)

    def change(self, change: NameChange) -> None:
        """Make the change in the cache; it reaches the disk with a sync, or some time later."""
        change.apply(self.names)
        self.pending.append(change)

    def sync(self, reached: int) -> None:
        """Make the first `reached` pending changes durable; the others are dropped."""
        for change in self.pending[:reached]:
            change.apply(self.durable)
        self.pending.clear()

    def after_power_failure(self, chance: random.Random) -> dict[str, bytes]:
        """The files by name: what is durable and any prefix of the other changes."""
        names = dict(self.durable)
        for change in self.pending[: chance.randrange(len(self.pending) + 1)]:
            change.apply(names)
        return {name: file.after_power_failure(chance) for name, file in names.items()}
