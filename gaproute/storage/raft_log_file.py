"""What a keeper voted, on disk: a file that is appended to, with a checksum for each record.

Not SQLite, though ledger/memory.py uses it and `synchronous = FULL` would sync as well: SQLite has checksums
in its write-ahead log only, and a frame there that went bad ends the log without a word, so that votes
committed after it are forgotten in silence and the keeper votes a second time; its pages have none at all.
Here each record has one, a bad one that was once synced is told from a tail torn by the crash
(ledger/records.py), and a keeper's log is small and read once. What no file can tell: that the last batch,
synced, went bad since, or that an older copy of the whole file was put back.

Whose file it is stands in its first record, which is the keeper's to write and to compare (its name, and the
number that its memory was given); a file of another gateway is then quarantined by `quarantine`.

Errors: OSError. After one of `append` or `sync` all but `read`, `replace` and `quarantine` are refused:
after a failed fsync the kernel may hold as clean what never came to the disk, and only writing all anew,
which `read` and `replace` do, makes it durable.
"""

import errno
import fcntl
import os
import time
from pathlib import Path

from gaproute.shared.raft import Lost
from gaproute.storage import files
from gaproute.storage.log_records import CorruptRecordError, decode_records, encode_record, encode_replacement


class RaftLogFile:
    """`open` before use. `report(text)` says what an operator should know. `torn_tails`: tails cut off."""

    def __init__(self, path, report=print, wall_clock=time.time_ns):
        self.path, self.report, self.wall_clock = Path(path), report, wall_clock
        self.descriptor = self.lock = self.failure = None
        self.next_number = self.batch_start = self.torn_tails = 0

    def open(self):
        """Errors: OSError: the folder cannot be written, or another process holds the file."""
        try:
            self.lock = os.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, files.OWNER_ONLY)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            files.remove_if_present(f"{self.path}.new")  # a replacement that was not finished
        except OSError:
            self.close()
            raise
        return self

    def read(self):
        """The records, as they were appended; Lost(why) where one in the middle is not what was written. A
        torn tail is cut off. To be called before all else, and again after it failed. Errors: OSError.

        All is written anew before it is handed out: what is read may be in memory only, left there as clean
        by a sync that failed in a process before this one."""
        with _Noted(self):
            if self.lock is None:
                self.open()
            self._forget()
            try:
                data = files.read_file(self.path)
            except FileNotFoundError:
                data = b""
            try:
                records, good, _ = decode_records(data)
            except CorruptRecordError as fault:
                return Lost(str(fault))
            self._put(records)
        if good < len(data):
            self.torn_tails += 1
            self.report(
                f"{self.path}: a torn tail of {len(data) - good} bytes cut off, {len(records)} records stay"
            )
        return records

    def append(self, record):
        """Stands for good only when `sync` has come back."""
        self._usable()
        with _Noted(self):
            files.write_all(self.descriptor, encode_record(self.next_number, self.batch_start, bytes(record)))
            self.next_number += 1

    def sync(self):
        self._usable()
        with _Noted(self):
            os.fsync(self.descriptor)
            self.batch_start = self.next_number

    def replace(self, records):
        """All that stands there by `records`, at once and for good: written beside, synced, put in its
        place."""
        with _Noted(self):
            self._put(records)

    def _put(self, records):
        file = files.replace_file(self.path, encode_replacement(map(bytes, records)))
        self._forget()
        self.descriptor = file
        self.next_number = self.batch_start = len(records) + 1  # the seal is one
        self.failure = None

    def quarantine(self, why):
        """Keeps what is there under another name for the operator; then there is nothing."""
        with _Noted(self):
            self._forget()
            target = f"{self.path}.broken-{self.wall_clock()}"
            os.rename(self.path, target)
            self.report(f"{self.path}: {why}; quarantined as {target}; this Raft node starts empty")
            files.sync_directory(self.path.parent)

    def _usable(self):
        if self.failure is not None or self.descriptor is None:
            why = self.failure or "not read yet"
            raise OSError(
                getattr(why, "errno", errno.EBADF), f"{self.path}: not used until it is written again: {why}"
            )

    def _forget(self):
        if self.descriptor is not None:
            files.close(self.descriptor)
        self.descriptor, self.next_number, self.batch_start = None, 0, 0

    def close(self):
        self._forget()
        if self.lock is not None:
            files.close(self.lock)
            self.lock = None


class _Noted:
    """Keeps the first failure, after which nothing is appended any more; says it once."""

    def __init__(self, votes):
        self.votes = votes

    def __enter__(self):
        return self

    def __exit__(self, kind, fault, trace):
        votes = self.votes
        if isinstance(fault, OSError):
            if votes.failure is None:
                votes.report(
                    f"{votes.path}: {fault}; this Raft node neither votes nor grants leases until the "
                    "whole file is written again"
                )
            votes.failure = fault
