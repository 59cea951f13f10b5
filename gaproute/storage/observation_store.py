"""Facts of a past life on disk, in SQLite; a file that is torn or corrupt is set aside, never fatal.

SQLite rather than LMDB: a mapped file that is cut short ends its reader with SIGBUS, which nothing can catch,
while SQLite reports it. Each row carries a checksum of its own, as SQLite has none. Nothing is synced: what a
crash of the machine loses is advice, and the checks above tell what it tore.

A failure that passes (the disk is full, does not answer, is locked) is no reason to set a file aside: the
connection is dropped, and made anew after a pause that grows. What was written before is still there then.

A row has its time by the monotonic clock with the boot that this clock belongs to, and by the wall clock for
when the machine was booted since. So a wall clock that is set makes no fact of this boot younger. The
column `wall`, by which rows are ordered and forgotten, goes by the monotonic clock from what the wall clock
read when the memory was made: a wall clock that is set meanwhile neither drops rows nor keeps them.
"""

import contextlib
import fcntl
import os
import sqlite3
import time
from pathlib import Path

import msgspec
import xxhash

from gaproute.storage import files

MILLI, SECOND = 1_000_000, 1_000_000_000

LOCK_TIMEOUT = 0  # s to wait for a lock: none, a task may be waiting
MIN_BACKOFF, MAX_BACKOFF = SECOND, 30 * SECOND  # between attempts at a disk that fails: doubled each time
PRIMARY_CODE = 0xFF  # of SQLite's extended result codes: what kind of failure it is
TRANSIENT_CODES = frozenset(
    {
        sqlite3.SQLITE_FULL,
        sqlite3.SQLITE_IOERR,
        sqlite3.SQLITE_CANTOPEN,
        sqlite3.SQLITE_BUSY,
        sqlite3.SQLITE_LOCKED,
        sqlite3.SQLITE_NOMEM,
        sqlite3.SQLITE_READONLY,
        sqlite3.SQLITE_PERM,
        sqlite3.SQLITE_PROTOCOL,
    }
)


class ObservationStoreError(Exception):
    """The file cannot be used; the text says why."""


def boot_id():
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""  # unknown: the wall clock is believed


class Row(msgspec.Struct, array_like=True):
    at: int  # by the monotonic clock of the boot
    wall: int  # ns since 1970
    boot: str
    value: tuple


class DamagedFileError(sqlite3.DatabaseError):
    """SQLite opens the file and its own check finds it damaged; the text says where."""


def is_transient(fault):
    """Whether a failure of SQLite's says nothing of the file itself."""
    return getattr(fault, "sqlite_errorcode", 0) & PRIMARY_CODE in TRANSIENT_CODES


def _sum(key, data):
    return xxhash.xxh3_64_intdigest(key + data) - (1 << 63)  # as SQLite's signed integers


class ObservationStore:
    """`open` before use; where that failed a later write tries it again. `report(text)` is called with each
    thing an operator should know of. `failed`: writes that came to nothing."""

    def __init__(self, path, report, clock=time.monotonic_ns, wall_clock=time.time_ns, boot=None):
        self.path, self.report, self.clock, self.wall_clock = Path(path), report, clock, wall_clock
        self.wall_offset = wall_clock() - clock()  # ns
        self.boot = boot_id() if boot is None else boot
        self.connection = self.lock = None
        self.torn_rows = self.written = self.failed = 0
        self.damage = ""  # what was found wrong with the file since it was opened
        self.checked = False  # whether the whole file was looked at: once a process, it takes a while
        self.backoff, self.retry_at = 0, self.clock()  # 0: no attempt failed since the last write

    def open(self):
        """Errors: ObservationStoreError where the place cannot be written or another process holds it. It may
        be tried again."""
        try:
            self._take_lock()
            self._connect_or_quarantine()
        except ObservationStoreError:
            self.close()
            self._back_off()
            raise
        self.damage, self.checked = "", True

    def _take_lock(self):
        if self.lock is not None:
            return
        try:
            self.lock = os.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, files.OWNER_ONLY)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as fault:
            raise ObservationStoreError(f"{self.path}: {fault.strerror}") from fault

    def _connect_or_quarantine(self):
        try:
            if self.damage:
                raise DamagedFileError(self.damage)
            self._connect()
        except sqlite3.Error as fault:
            if is_transient(fault):
                raise ObservationStoreError(f"{self.path}: {fault}") from fault
            self._quarantine(str(fault))
            try:
                self._connect()
            except sqlite3.Error as again:
                raise ObservationStoreError(f"{self.path}: {again}") from again

    def _connect(self):
        self.connection = connection = sqlite3.connect(self.path, timeout=LOCK_TIMEOUT, isolation_level=None)
        connection.execute("PRAGMA journal_mode = WAL")
        connection.execute("PRAGMA synchronous = OFF")
        if not self.checked:
            (health,), *_ = connection.execute("PRAGMA quick_check(1)")
            if health != "ok":
                raise DamagedFileError(health)
        connection.execute(
            "CREATE TABLE IF NOT EXISTS facts "
            "(subject BLOB PRIMARY KEY, data BLOB, sum INTEGER, wall INTEGER) WITHOUT ROWID"
        )
        connection.execute("SELECT subject, data, sum, wall FROM facts LIMIT 1").fetchall()

    def _quarantine(self, why):
        self._disconnect()
        aside = f"{self.path}.broken-{self.wall_clock()}"
        for end in ("-shm", "-wal", ""):  # the log first: behind another file it would be played into that
            try:
                os.replace(f"{self.path}{end}", f"{aside}{end}")
            except FileNotFoundError:
                pass
            except OSError as fault:
                raise ObservationStoreError(f"{self.path}: {why}; {fault.strerror}") from fault
        self.report(f"{self.path}: {why}; quarantined as {aside}")

    def ready(self):
        """Whether it can be written to; opens it where it is not open and the pause since the last attempt
        is over."""
        if self.connection is None and self.clock() >= self.retry_at:
            with contextlib.suppress(ObservationStoreError):  # put off, and told before
                self.open()
        return self.connection is not None

    def _back_off(self):
        self.backoff = min(max(MIN_BACKOFF, 2 * self.backoff), MAX_BACKOFF)
        self.retry_at = self.clock() + self.backoff

    def read(self, limit):
        """[(subject, value, age in ns)], the latest first, `limit` rows at most; rows that are torn are left
        out and counted. A row that claims to be of the future has an age below nought. Nothing while the
        disk fails."""
        now, wall, found = self.clock(), self.wall_clock(), []
        if not self.ready():
            return found
        try:
            rows = self.connection.execute(
                "SELECT subject, data, sum FROM facts ORDER BY wall DESC LIMIT ?", (limit,)
            ).fetchall()
        except sqlite3.Error as fault:
            self._note_outage(fault)
            return []
        for key, data, mark in rows:
            try:
                if mark != _sum(key, data):
                    raise ValueError
                subject = msgspec.msgpack.decode(key, type=tuple)
                row = msgspec.msgpack.decode(data, type=Row)
            except (ValueError, TypeError, msgspec.DecodeError):
                self.torn_rows += 1
                continue
            same = self.boot and row.boot == self.boot
            found.append((subject, row.value, now - row.at if same else wall - row.wall))
        if self.torn_rows:
            self.report(f"{self.path}: {self.torn_rows} torn rows left out")
        return found

    def write(self, facts):
        """`facts`: [(subject, value, when by the monotonic clock)], in one transaction; whether they are
        written. A failure is counted; the facts it lost are to be written again, and cost a restart some
        warmth where they are not."""
        now, wall, rows = self.clock(), self.wall_clock(), []
        for subject, value, at in facts:
            key = msgspec.msgpack.encode(subject)
            data = msgspec.msgpack.encode(Row(at, wall - (now - at), self.boot, value))
            rows.append((key, data, _sum(key, data), at + self.wall_offset))
        return self._change("INSERT OR REPLACE INTO facts VALUES (?, ?, ?, ?)", rows)

    def forget(self, age):
        """Drops what is older than `age`, and what claims to be of the future."""
        now = self.clock() + self.wall_offset
        self._change("DELETE FROM facts WHERE wall < ? OR wall > ?", [(now - age, now + age)])

    def _change(self, statement, rows):
        if not rows:
            return True
        if not self.ready():
            self.failed += 1
            return False
        try:
            self.connection.execute("BEGIN IMMEDIATE")
            self.connection.executemany(statement, rows)
            self.connection.execute("COMMIT")
        except sqlite3.Error as fault:
            self.failed += 1
            self._note_outage(fault)
            return False
        self.written += len(rows)
        self.backoff = 0
        return True

    def _note_outage(self, fault):
        """The connection failed: it is made anew after a pause. Told once an outage."""
        if not self.backoff:
            self.report(f"{self.path}: {fault}; nothing is written until it answers again")
        if not is_transient(fault):
            self.damage = str(fault)
        self._disconnect()
        self._back_off()

    def _disconnect(self):
        """Closing rolls back what was not committed."""
        if self.connection is not None:
            try:
                self.connection.close()
            except sqlite3.Error:
                pass  # it is of no use any more
            self.connection = None

    def close(self):
        """May be opened again."""
        self._disconnect()
        if self.lock is not None:
            files.close(self.lock)
            self.lock = None
