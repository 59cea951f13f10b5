"""The last valid cell table on disk, which a gateway uses after its start until it receives a newer one.

The file consists of a magic number, a checksum of the encoded table and that table, and it is replaced
atomically. A file that is torn, has the table of another fleet or has no table is quarantined for the
operator, and the gateway starts without a table. Failures are counted and reported once in an outage, while
the gateway uses the table in memory. After a transient read failure the file is not overwritten until it was
read, since it may have a newer table than the other gateways.
"""

import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
import xxhash

from gaproute.errors import GaprouteError
from gaproute.storage import files

MAGIC = b"gaproute-table-1"
CHECKSUM_BYTES = 8
BODY_OFFSET = len(MAGIC) + CHECKSUM_BYTES
MAX_FILE_BYTES = 5 << 20  # the largest encoded table and its header
ANY_VERSION = (-1, -1)  # lower than the version of any table
MAX_FAILED_READS = 12  # in a row; then the file is quarantined, as it probably has a bad block

Count = Annotated[int, msgspec.Meta(ge=0, le=(1 << 63) - 1)]


class StoredTable(msgspec.Struct, array_like=True, frozen=True, forbid_unknown_fields=True):
    """An encoded cell table with its version, its fleet and the digest of its cells."""

    fleet: str
    term: Count
    number: Count
    digest: int
    data: bytes


class UnusableTableError(GaprouteError):
    """The file has no table that this gateway can use; the text gives the reason."""


@dataclass
class CellTableFileCounts:
    """Counts of operations on the file since the start of the process."""

    written: int = 0
    failed: int = 0  # reads, writes and renames
    quarantined: int = 0


class CellTableFile:
    """The cell table file of one gateway.

    `report(text)` is called with messages for operators, once in an outage. `wall_clock` returns ns since
    1970 and is used only to name quarantined files. `failed_reads` counts consecutive reads that failed for
    a transient reason; the caller should not write until it is 0.
    """

    def __init__(
        self,
        path: str | Path,
        fleet: str,
        report: Callable[[str], object],
        wall_clock: Callable[[], int] = time.time_ns,
    ) -> None:
        self.path, self.fleet = Path(path), fleet
        self.report, self.wall_clock = report, wall_clock
        self.counts = CellTableFileCounts()
        self.failed_reads = 0
        self.failing = False  # whether an outage was reported and has not ended yet

    def read(self, newest_known: tuple[int, int] = ANY_VERSION) -> StoredTable | None:
        """Return the stored table, or None if there is no usable one.

        A table older than `newest_known`, the version (term, number) of other gateways, is quarantined.
        """
        content = self._read_content()
        if content is None:
            return None
        try:
            table = self._decode(content)
            _check_version(table, newest_known)
        except UnusableTableError as error:
            self.quarantine(str(error))
            return None
        return table

    def write(self, table: StoredTable) -> bool:
        """Replace the stored table by this one. Returns whether the write succeeded and is durable."""
        body = msgspec.msgpack.encode(table)
        content = MAGIC + _checksum(body) + body
        try:
            if len(content) > MAX_FILE_BYTES:
                raise OSError(f"the table has {len(content)} bytes, expected {MAX_FILE_BYTES} at most")
            files.close(files.replace_file(self.path, content))
        except OSError as error:
            self._record_failure(str(error))
            return False
        self.counts.written += 1
        self.failing = False
        return True

    def quarantine(self, reason: str) -> None:
        """Rename an unusable file so that the operator can inspect it."""
        self.counts.quarantined += 1
        target = files.quarantine_path(self.path, self.wall_clock())
        try:
            os.rename(self.path, target)
        except OSError as error:
            self._record_failure(f"{reason}; not quarantined: {error}")
            return
        self.report(f"{self.path}: {reason}; quarantined as {target}, starting without a table")

    def _read_content(self) -> bytes | None:
        try:
            content = files.read_file(self.path, MAX_FILE_BYTES + 1)
        except FileNotFoundError:
            content = None
        except OSError as error:
            self._record_failed_read(error)
            return None
        self.failed_reads, self.failing = 0, False
        return content

    def _record_failed_read(self, error: OSError) -> None:
        self._record_failure(str(error))
        self.failed_reads = self.failed_reads + 1 if error.errno in files.TRANSIENT_ERRNOS else 0
        if self.failed_reads == MAX_FAILED_READS:
            self.failed_reads = 0
            self.quarantine(f"{MAX_FAILED_READS} reads in a row failed: {error}")

    def _decode(self, content: bytes) -> StoredTable:
        """Checks and decodes the content of the file. Errors: UnusableTableError."""
        if len(content) > MAX_FILE_BYTES:
            raise UnusableTableError(f"the file has more than {MAX_FILE_BYTES} bytes")
        if not content.startswith(MAGIC):
            raise UnusableTableError(
                f"the file is not a cell table: it does not begin with {MAGIC.decode()!r}"
            )
        body = content[BODY_OFFSET:]
        if content[len(MAGIC) : BODY_OFFSET] != _checksum(body):
            raise UnusableTableError("the file is torn or altered: its checksum differs")
        try:
            table = msgspec.msgpack.decode(body, type=StoredTable)
        except msgspec.DecodeError as error:
            raise UnusableTableError(f"the file is not a cell table: {error}") from None
        if table.fleet != self.fleet:
            raise UnusableTableError(
                f"the table is of fleet {table.fleet!r:.140}, but this gateway is of fleet {self.fleet!r}"
            )
        return table

    def _record_failure(self, text: str) -> None:
        self.counts.failed += 1
        if not self.failing:
            self.failing = True
            self.report(f"{self.path}: {text}; the table is not stored on disk")


def _check_version(table: StoredTable, newest_known: tuple[int, int]) -> None:
    """Checks that the table is not older than `newest_known`, the version (term, number) of other gateways.

    Errors: UnusableTableError.
    """
    if (table.term, table.number) < newest_known:
        term, number = newest_known
        raise UnusableTableError(
            f"the table has version {table.term}.{table.number}, but others hold version {term}.{number}"
        )


def _checksum(body: bytes) -> bytes:
    return xxhash.xxh3_64_digest(body)
