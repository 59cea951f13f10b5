"""The persistent state of a Raft node on disk: an append-only file with a checksum for each record.

Not SQLite, though observation_store.py uses it and `synchronous = FULL` would sync as well: SQLite has
checksums in its write-ahead log only, and a damaged frame there ends the log silently. Votes committed after
it would be forgotten, and the node would vote a second time in a term; SQLite's pages have no checksum at
all. Here each record has one, a record damaged after its sync is distinguished from a tail that a crash tore
(log_records.py), and the log of a Raft node is small and read once. What no file can detect: that its last
synced batch went bad, or that an older copy of the whole file was put back.

The first record says whose file it is. The Raft node writes and compares it (its name and its incarnation)
and quarantines a file of another gateway.

Errors: OSError. After one from `append` or `sync` only `read`, `replace` and `quarantine` are accepted: after
a failed fsync the kernel may mark pages clean that never reached the disk, and only writing everything again,
as `read` and `replace` do, makes it durable.
"""

import errno
import os
import time
from collections.abc import Callable, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

from gaproute.shared.raft import UnusableDiskError
from gaproute.storage import files
from gaproute.storage.log_records import (
    CorruptRecordError,
    DecodedRecords,
    decode_records,
    encode_record,
    encode_replacement,
)


class RaftLogFile:
    """The file of one Raft node, locked against other processes. Call `open`, then `read`, before anything
    else.

    `report(text)` is called with messages for operators, once in an outage. `wall_clock` returns ns since
    1970 and only names quarantined files. `torn_tails` counts the tails that were cut off.
    """

    def __init__(
        self,
        path: str | Path,
        report: Callable[[str], object] = print,
        wall_clock: Callable[[], int] = time.time_ns,
    ) -> None:
        self.path = Path(path)
        self.report, self.wall_clock = report, wall_clock
        self.descriptor: int | None = None
        self.lock: int | None = None  # descriptor of the lock file
        self.failure: OSError | None = None  # the last failure since everything was written
        self.next_number = 0  # number of the next record
        self.batch_start = 0  # number of the first record that is not synced
        self.torn_tails = 0

    def open(self) -> "RaftLogFile":
        """Lock the file. Errors: OSError: the directory is not writable, or another process holds it."""
        try:
            self.lock = files.lock_file(self.path)
            files.remove_if_present(files.temporary_path(self.path))  # a replacement that was not finished
        except OSError:
            self.close()
            raise
        return self

    def read(self) -> list[bytes]:
        """Return the records in the order they were appended, after cutting off a torn tail.

        To be called before all else, and again after it failed. Errors: OSError; UnusableDiskError where a
        record that had been synced is not what was written.

        Everything is written again before it is returned: what is read may be in the page cache only, marked
        clean by a sync that failed in an earlier process.
        """
        with self._recording_failures():
            if self.lock is None:
                self.open()
            self._close_file()
            data = self._read_content()
            try:
                decoded = decode_records(data)
            except CorruptRecordError as error:
                raise UnusableDiskError(str(error)) from error
            self._replace_records(decoded.payloads)
        self._report_torn_tail(decoded, len(data))
        return decoded.payloads

    def append(self, record: bytes) -> None:
        """Append a record; it is durable only after `sync` returned. Errors: OSError."""
        descriptor = self._usable_descriptor()
        with self._recording_failures():
            files.write_all(descriptor, encode_record(self.next_number, self.batch_start, bytes(record)))
            self.next_number += 1

    def sync(self) -> None:
        """Make all appended records durable. Errors: OSError."""
        descriptor = self._usable_descriptor()
        with self._recording_failures():
            os.fsync(descriptor)
            self.batch_start = self.next_number

    def replace(self, records: Sequence[bytes]) -> None:
        """Replace all records by these, atomically and durably. Errors: OSError."""
        with self._recording_failures():
            self._replace_records(records)

    def quarantine(self, reason: str) -> None:
        """Rename the file, for the operator to inspect; afterwards there is none. Errors: OSError."""
        with self._recording_failures():
            self._close_file()
            target = files.quarantine_path(self.path, self.wall_clock())
            os.rename(self.path, target)
            self.report(f"{self.path}: {reason}; quarantined as {target}; this Raft node starts empty")
            files.sync_directory(self.path.parent)

    def close(self) -> None:
        """Close the file and release the lock."""
        self._close_file()
        if self.lock is not None:
            files.close(self.lock)
            self.lock = None

    def _read_content(self) -> bytes:
        try:
            return files.read_file(self.path)
        except FileNotFoundError:
            return b""

    def _replace_records(self, records: Sequence[bytes]) -> None:
        descriptor = files.replace_file(self.path, encode_replacement(map(bytes, records)))
        self._close_file()
        self.descriptor = descriptor
        self.next_number = self.batch_start = len(records) + 1  # the seal counts as one
        self.failure = None

    def _report_torn_tail(self, decoded: DecodedRecords, length: int) -> None:
        torn = length - decoded.valid_length
        if torn:
            self.torn_tails += 1
            record_count = len(decoded.payloads)
            self.report(f"{self.path}: a torn tail of {torn} bytes cut off, {record_count} records stay")

    def _usable_descriptor(self) -> int:
        if self.failure is None and self.descriptor is not None:
            return self.descriptor
        reason = self.failure or "not read yet"
        error_number = getattr(reason, "errno", errno.EBADF)
        raise OSError(error_number, f"{self.path}: not used until it is written again: {reason}")

    @contextmanager
    def _recording_failures(self) -> Iterator[None]:
        """Remember a failure, after which nothing is appended any more, and report the first one."""
        try:
            yield
        except OSError as error:
            if self.failure is None:
                self.report(
                    f"{self.path}: {error}; this Raft node neither votes nor grants leases until the whole "
                    "file is written again"
                )
            self.failure = error
            raise

    def _close_file(self) -> None:
        if self.descriptor is not None:
            files.close(self.descriptor)
        self.descriptor, self.next_number, self.batch_start = None, 0, 0
