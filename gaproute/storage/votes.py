"""What a keeper voted, on disk: a file that is appended to, with a checksum for each record.

Not SQLite, though ledger/memory.py uses it and `synchronous = FULL` would sync as well: SQLite has checksums
in its write-ahead log only, and a frame there that went bad ends the log without a word, so that votes
committed after it are forgotten in silence and the keeper votes a second time; its pages have none at all.
Here each record has one, a bad one that was once synced is told from a tail torn by the crash
(ledger/records.py), and a keeper's log is small and read once. What no file can tell: that the last batch,
synced, went bad since, or that an older copy of the whole file was put back.

Whose file it is stands in its first record, which is the keeper's to write and to compare (its name, and the
number that its memory was given); a file of another gateway is then set aside by `aside`.

Errors: OSError. After one of `append` or `sync` all but `read`, `replace` and `aside` are refused: after a
failed fsync the kernel may hold as clean what never came to the disk, and only writing all anew, which `read`
and `replace` do, makes it durable.
"""

import errno
import fcntl
import os
import time
from pathlib import Path

from gaproute.shared.raft import UnusableDiskError
from gaproute.storage import files
from gaproute.storage.records import Bad, packed, parsed, whole


class Votes:
    """`open` before use. `told(text)` says what an operator should know. `torn`: tails cut off."""

    def __init__(self, path, told=print, wall=time.time_ns):
        self.path, self.told, self.wall = Path(path), told, wall
        self.file = self.lock = self.failed = None
        self.number = self.first = self.torn = 0

    def open(self):
        """Errors: OSError: the folder cannot be written, or another process holds the file."""
        try:
            self.lock = os.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, files.ONLY_OWNER)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            files.remove(f"{self.path}.new")  # a replacement that was not finished
        except OSError:
            self.close()
            raise
        return self

    def read(self):
        """The records, as they were appended; raises UnusableDiskError where one in the middle is not what
        was written. A torn tail is cut off. To be called before all else, and again after it failed. Errors:
        OSError.

        All is written anew before it is handed out: what is read may be in memory only, left there as clean
        by a sync that failed in a process before this one."""
        with _Noted(self):
            if self.lock is None:
                self.open()
            self._forget()
            try:
                data = files.read_whole(self.path)
            except FileNotFoundError:
                data = b""
            try:
                records, good, _ = parsed(data)
            except Bad as fault:
                raise UnusableDiskError(str(fault)) from fault
            self._put(records)
        if good < len(data):
            self.torn += 1
            self.told(
                f"{self.path}: a torn tail of {len(data) - good} bytes cut off, {len(records)} records stay"
            )
        return records

    def append(self, record):
        """Stands for good only when `sync` has come back."""
        self._usable()
        with _Noted(self):
            files.write_all(self.file, packed(self.number, self.first, bytes(record)))
            self.number += 1

    def sync(self):
        self._usable()
        with _Noted(self):
            os.fsync(self.file)
            self.first = self.number

    def replace(self, records):
        """All that stands there by `records`, at once and for good: written beside, synced, put in its
        place."""
        with _Noted(self):
            self._put(records)

    def _put(self, records):
        file = files.put_in_place(self.path, whole(map(bytes, records)))
        self._forget()
        self.file = file
        self.number = self.first = len(records) + 1  # the seal is one
        self.failed = None

    def aside(self, why):
        """Keeps what is there under another name for the operator; then there is nothing."""
        with _Noted(self):
            self._forget()
            aside = f"{self.path}.broken-{self.wall()}"
            os.rename(self.path, aside)
            self.told(f"{self.path}: {why}; set aside as {aside}; this keeper begins without a memory")
            files.sync_folder(self.path.parent)

    def _usable(self):
        if self.failed is not None or self.file is None:
            why = self.failed or "not read yet"
            raise OSError(getattr(why, "errno", errno.EBADF), f"{self.path}: not used since: {why}")

    def _forget(self):
        if self.file is not None:
            files.close(self.file)
        self.file, self.number, self.first = None, 0, 0

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
            if votes.failed is None:
                votes.told(
                    f"{votes.path}: {fault}; this keeper neither votes nor grants until all is written anew"
                )
            votes.failed = fault
