"""The persistent state of a Raft node on disk: an append-only file with a checksum for each record.

The file is not an SQLite database, although observation_store.py uses SQLite and `synchronous = FULL` would
sync, too. SQLite has checksums only in its write-ahead log, and a damaged frame silently ends that log: votes
committed after the frame would be lost, and the node could vote twice in a term. Its pages have no checksums
at all. Here each record has a checksum, and a record damaged after its sync is distinguished from a torn tail
(log_records.py). The log of a Raft node is small and read once. The file cannot detect that its last synced
batch was damaged, or that an older copy of the whole file was restored.

The first record identifies the Raft node by its name and incarnation. The node writes and compares this
record, and quarantines the file of another gateway.

Errors: OSError. After a failed `append` or `sync`, only `read`, `replace` and `quarantine` are accepted:
after a failed fsync the kernel may mark pages clean that never reached the disk, so the data is durable only
after everything was written again, as `read` and `replace` do.
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
    """The log file of one Raft node, locked against other processes. Call `open` and `read` before the other
    methods.

    `report(text)` is called with messages for operators, once in an outage. `wall_clock` returns ns since
    1970 and is used only to name quarantined files. `torn_tails` counts the torn tails that were removed.
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
        self.failure: OSError | None = None  # the last failure since the whole file was written
        self.next_number = 0  # number of the next record
        self.batch_start = 0  # number of the first record that is not synced yet
        self.torn_tails = 0

    def open(self) -> "RaftLogFile":
        """Lock the file. Errors: OSError if the directory is not writable or another process has the lock."""
        try:
            self.lock = files.lock_file(self.path)
            files.remove_if_present(files.temporary_path(self.path))  # left by an unfinished replacement
        except OSError:
            self.close()
            raise
        return self

    def read(self) -> list[bytes]:
        """Return the records in the order in which they were appended, without a torn tail.

        Has to be called before the other methods, and again after a failure. Errors: OSError;
        UnusableDiskError if a synced record is not what was written.

        All records are written again before they are returned: they may exist only in the page cache, marked
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
        """Append a record, which is durable only after `sync` returned. Errors: OSError."""
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
        """Replace all records by `records`, atomically and durably. Errors: OSError."""
        with self._recording_failures():
            self._replace_records(records)

    def quarantine(self, reason: str) -> None:
        """Rename the file so that the operator can inspect it; no log file is left. Errors: OSError."""
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
        self.next_number = self.batch_start = len(records) + 1  # the seal counts as a record
        self.failure = None

    def _report_torn_tail(self, decoded: DecodedRecords, length: int) -> None:
        torn = length - decoded.valid_length
        if torn:
            self.torn_tails += 1
            record_count = len(decoded.payloads)
            self.report(
                f"{self.path}: a torn tail of {torn} bytes was removed, {record_count} records remain"
            )

    def _usable_descriptor(self) -> int:
        if self.failure is None and self.descriptor is not None:
            return self.descriptor
        reason = self.failure or "the file has not been read yet"
        error_number = getattr(reason, "errno", errno.EBADF)
        raise OSError(error_number, f"{self.path}: the file is not used until it is written again: {reason}")

    @contextmanager
    def _recording_failures(self) -> Iterator[None]:
        """Store a failure, which blocks `append` and `sync`, and report the first failure of an outage."""
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
