"""The last good cell table on disk, so that a gateway that starts serves by it until it hears a newer one.

One file, put in place whole: written beside, synced, renamed. It begins with a checksum over all the rest.
What is torn, of another fleet or no table is set aside for the operator, never fatal: the gateway starts
without one. Failures are counted and told once an outage; the table in memory serves on. A file that could
not be read for a moment may hold a newer table than others tell: it is to be read before it is written over.
"""

import os
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
import xxhash

from gaproute.storage import files

MAGIC = b"gaproute-table-1"
CHECKSUM_BYTES = 8
MAX_FILE_LENGTH = 5 << 20  # bytes: a whole encoded table and its head
ANY_VERSION = (-1, -1)
MAX_FAILED_READS = 12  # in turn, until the file is given up: a disk that answers has a bad place there

Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class StoredTable(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """An encoded table with what it is checked by."""

    fleet: str
    term: Count
    number: Count
    digest: int
    data: bytes


class UnusableTableError(Exception):
    """The file holds no table of this fleet; the text says why."""


@dataclass
class CellTableFileCounts:
    """What befell the file since the start."""

    written: int = 0
    failed: int = 0
    quarantined: int = 0


class CellTableFile:
    """`report(text)` is called with what an operator should know of, each outage once. `failed_reads`: reads
    that failed since the last that did not, for a transient reason; until it is 0 nothing should be
    written."""

    def __init__(self, path, fleet: str, report, wall_clock=time.time_ns):
        self.path, self.fleet, self.report, self.wall_clock = Path(path), fleet, report, wall_clock
        self.counts = CellTableFileCounts()
        self.failed_reads = 0
        self.failing = False

    def read(self, newest_known: tuple[int, int] = ANY_VERSION) -> StoredTable | None:
        """The table stored; None where none can be used. `newest_known`: the version that others hold."""
        content = self._read()
        if content is None:
            return None
        try:
            table = self._checked(content)
            if (table.term, table.number) < newest_known:
                raise UnusableTableError(
                    f"version {table.term}.{table.number}, others hold {newest_known[0]}.{newest_known[1]}"
                )
            return table
        except UnusableTableError as reason:
            self.quarantine(str(reason))
            return None

    def write(self, table: StoredTable) -> bool:
        """Keep this table in place of the one before; whether it stands on disk."""
        content = msgspec.msgpack.encode(table)
        content = MAGIC + _checksum(content) + content
        try:
            if len(content) > MAX_FILE_LENGTH:
                raise OSError(f"a table of {len(content)} bytes is more than {MAX_FILE_LENGTH}")
            files.close(files.replace_file(self.path, content))
        except OSError as fault:
            self._failed(fault)
            return False
        self.counts.written += 1
        self.failing = False
        return True

    def quarantine(self, reason: str):
        """Keep what is there under another name: it cannot be used."""
        self.counts.quarantined += 1
        aside = f"{self.path}.broken-{self.wall_clock()}"
        try:
            os.rename(self.path, aside)
        except OSError as fault:
            self._failed(f"{reason}; not quarantined: {fault}")
            return
        self.report(f"{self.path}: {reason}; quarantined as {aside}, starting without a table")

    def _read(self) -> bytes | None:
        try:
            content = files.read_file(self.path, MAX_FILE_LENGTH + 1)
        except FileNotFoundError:
            content = None
        except OSError as fault:
            self._failed(fault)
            self.failed_reads = self.failed_reads + 1 if fault.errno in files.TRANSIENT_ERRNOS else 0
            if self.failed_reads == MAX_FAILED_READS:
                self.failed_reads = 0
                self.quarantine(f"not read {MAX_FAILED_READS} times: {fault}")
            return None
        self.failed_reads, self.failing = 0, False
        return content

    def _checked(self, content):
        if len(content) > MAX_FILE_LENGTH:
            raise UnusableTableError(f"more than {MAX_FILE_LENGTH} bytes")
        if not content.startswith(MAGIC):
            raise UnusableTableError("no cell table")
        head = len(MAGIC) + CHECKSUM_BYTES
        body = content[head:]
        if content[len(MAGIC) : head] != _checksum(body):
            raise UnusableTableError("torn or altered: the checksum differs")
        try:
            table = msgspec.msgpack.decode(body, type=StoredTable)
        except msgspec.DecodeError as fault:
            raise UnusableTableError(f"no cell table: {fault}") from None
        if table.fleet != self.fleet:
            raise UnusableTableError(f"of fleet {table.fleet!r:.140}, this gateway is of {self.fleet!r}")
        return table

    def _failed(self, fault):
        self.counts.failed += 1
        if not self.failing:
            self.failing = True
            self.report(f"{self.path}: {fault}; the table is not stored on disk")


def _checksum(content):
    return xxhash.xxh3_64_digest(content)
