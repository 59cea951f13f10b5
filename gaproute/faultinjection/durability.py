"""What a crash leaves of a file and of a directory: the changes on the disk, some of the page cache."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Write:
    """Bytes written at an offset; a gap between the end of the file and the offset is filled with zeros."""

    offset: int
    data: bytes

    def apply(self, content: bytearray) -> None:
        """Applies this change to the content of a file."""
        content.extend(bytes(max(0, self.offset - len(content))))
        content[self.offset : self.offset + len(self.data)] = self.data


@dataclass(frozen=True, slots=True)
class Truncate:
    """The size is set: bytes beyond it are dropped, missing ones are zeros."""

    size: int

    def apply(self, content: bytearray) -> None:
        """Applies this change to the content of a file."""
        del content[self.size :]
        content.extend(bytes(self.size - len(content)))


@dataclass(eq=False, slots=True)
class CachedFile:
    """One file, whatever its names.

    `durable`: its content on the disk; `cached`: the content that is read; `pending`: the changes that were
    made since the last fsync.
    """

    durable: bytearray = field(default_factory=bytearray)
    cached: bytearray = field(default_factory=bytearray)
    pending: list[Write | Truncate] = field(default_factory=list)

    def change(self, change: Write | Truncate) -> None:
        """Makes the change in the cache; it reaches the disk with an fsync, or some time later."""
        change.apply(self.cached)
        self.pending.append(change)

    def sync(self, reached: int) -> None:
        """Makes the first `reached` pending changes durable; the others are dropped."""
        for change in self.pending[:reached]:
            change.apply(self.durable)
        self.pending.clear()

    def evicted(self) -> bytes:
        """The content that is read once the clean pages were evicted from the cache.

        Changes that a failed fsync has dropped are lost then, pending ones are not: their pages are dirty.
        """
        content = bytearray(self.durable)
        for change in self.pending:
            change.apply(content)
        return bytes(content)

    def after_power_failure(self, chance: random.Random) -> bytes:
        """The content after a power failure: what is durable, and any prefix of the pending changes.

        Of the first write beyond that prefix, some bytes may be there, or zeros up to the cached size.
        """
        content = bytearray(self.durable)
        reached = chance.randrange(len(self.pending) + 1)
        for change in self.pending[:reached]:
            change.apply(content)
        torn = self.pending[reached] if reached < len(self.pending) else None
        if isinstance(torn, Write):
            Write(torn.offset, torn.data[: chance.randrange(len(torn.data) + 1)]).apply(content)
        if (
            len(content) < len(self.cached) and chance.randrange(3) == 0
        ):  # the size was written, the bytes were not
            content.extend(bytes(len(self.cached) - len(content)))
        return bytes(content)


@dataclass(slots=True)
class OpenDescriptor:
    """A descriptor that a process has open; `file`: None for the descriptor of a directory."""

    file: CachedFile | None
    appends: bool = False
    position: int = 0  # bytes

    def write(self, data: bytes) -> None:
        """Writes at the position, or at the end of a file that is open for appending."""
        if self.file is None:
            return
        offset = len(self.file.cached) if self.appends else self.position
        self.file.change(Write(offset, data))
        self.position = offset + len(data)


@dataclass(frozen=True, slots=True)
class NameChange:
    """One change of a directory: `name` now refers to `file` (None: it is removed), and `gone` is removed."""

    name: str
    file: CachedFile | None
    gone: str | None = None

    def apply(self, names: dict[str, CachedFile]) -> None:
        """Applies this change to the names of a directory."""
        if self.gone is not None:
            names.pop(self.gone, None)
        if self.file is None:
            names.pop(self.name, None)
        else:
            names[self.name] = self.file


@dataclass(eq=False, slots=True)
class CachedDirectory:
    """One directory. `names`: the files that are listed; `durable`, `pending`: as of `CachedFile`."""

    durable: dict[str, CachedFile] = field(default_factory=dict)
    names: dict[str, CachedFile] = field(default_factory=dict)
    pending: list[NameChange] = field(default_factory=list)

    @classmethod
    def of_folder(cls, folder: str) -> CachedDirectory:
        """The files that a folder has now, all of them durable."""
        names = {}
        for path in Path(folder).iterdir():
            if path.is_file():
                content = path.read_bytes()
                names[str(path)] = CachedFile(bytearray(content), bytearray(content))
        return cls(dict(names), names)

    def change(self, change: NameChange) -> None:
        """Makes the change in the cache; it reaches the disk with an fsync, or some time later."""
        change.apply(self.names)
        self.pending.append(change)

    def sync(self, reached: int) -> None:
        """Makes the first `reached` pending changes durable; the others are dropped."""
        for change in self.pending[:reached]:
            change.apply(self.durable)
        self.pending.clear()

    def after_power_failure(self, chance: random.Random) -> dict[str, bytes]:
        """The contents by name after a power failure: durable names, any prefix of the pending changes."""
        names = dict(self.durable)
        for change in self.pending[: chance.randrange(len(self.pending) + 1)]:
            change.apply(names)
        return {name: file.after_power_failure(chance) for name, file in names.items()}
