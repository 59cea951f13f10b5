"""Facts of a past life on disk, in SQLite; a file that is torn or corrupt is set aside, never fatal.

SQLite rather than LMDB: a mapped file that is cut short ends its reader with SIGBUS, which nothing can catch,
while SQLite reports it. Each row carries a checksum of its own, as SQLite has none. Nothing is synced: what a
crash of the machine loses is advice, and the checks above tell what it tore.

A row has its time by the monotonic clock with the boot that this clock belongs to, and by the wall clock for
when the machine was booted since. So a wall clock that is set makes no fact of this boot younger. The
column `wall`, by which rows are ordered and forgotten, goes by the monotonic clock from what the wall clock
read when the memory was made: a wall clock that is set meanwhile neither drops rows nor keeps them.
"""

import fcntl
import os
import sqlite3
import time
from pathlib import Path

import msgspec
import xxhash

BUSY = 0  # s to wait for a lock: none, a task may be waiting


class NoMemory(Exception):
    """The file cannot be used; the text says why."""


def this_boot():
    try:
        return Path("/proc/sys/kernel/random/boot_id").read_text().strip()
    except OSError:
        return ""  # unknown: the wall clock is believed


class Row(msgspec.Struct, array_like=True):
    at: int  # by the monotonic clock of the boot
    wall: int  # ns since 1970
    boot: str
    value: tuple


def _sum(key, data):
    return xxhash.xxh3_64_intdigest(key + data) - (1 << 63)  # as SQLite's signed integers


class Memory:
    """`open` before use. `told(text)` is called with each thing an operator should know of."""

    def __init__(self, path, told, clock=time.monotonic_ns, wall=time.time_ns, boot=None):
        self.path, self.told, self.clock, self.wall = Path(path), told, clock, wall
        self.offset = wall() - clock()  # ns
        self.boot = this_boot() if boot is None else boot
        self.base = self.lock = None
        self.torn = self.written = self.failed = 0

    def open(self):
        """Errors: NoMemory where the place cannot be written or another process holds it."""
        try:
            self.lock = os.open(f"{self.path}.lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
            fcntl.flock(self.lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as fault:
            self.close()
            raise NoMemory(f"{self.path}: {fault.strerror}") from fault
        try:
            self._connect()
        except sqlite3.Error as fault:
            self._set_aside(str(fault))
            try:
                self._connect()
            except sqlite3.Error as again:
                self.close()
                raise NoMemory(f"{self.path}: {again}") from again

    def _connect(self):
        self.base = base = sqlite3.connect(self.path, timeout=BUSY, isolation_level=None)
        base.execute("PRAGMA journal_mode = WAL")
        base.execute("PRAGMA synchronous = OFF")
        (health,), *_ = base.execute("PRAGMA quick_check(1)")
        if health != "ok":
            raise sqlite3.DatabaseError(health)
        base.execute(
            "CREATE TABLE IF NOT EXISTS facts "
            "(subject BLOB PRIMARY KEY, data BLOB, sum INTEGER, wall INTEGER) WITHOUT ROWID"
        )
        base.execute("SELECT subject, data, sum, wall FROM facts LIMIT 1").fetchall()

    def _set_aside(self, why):
        if self.base is not None:
            self.base.close()
            self.base = None
        aside = f"{self.path}.broken-{self.wall()}"
        for end in ("", "-wal", "-shm"):
            try:
                os.replace(f"{self.path}{end}", f"{aside}{end}")
            except FileNotFoundError:
                pass
            except OSError as fault:
                raise NoMemory(f"{self.path}: {why}; {fault.strerror}") from fault
        self.told(f"{self.path}: {why}; set aside as {aside}")

    def read(self, most):
        """[(subject, value, age in ns)], the latest first, `most` rows at most; rows that are torn are left
        out and counted. A row that claims to be of the future has an age below nought."""
        now, wall, found = self.clock(), self.wall(), []
        try:
            rows = self.base.execute(
                "SELECT subject, data, sum FROM facts ORDER BY wall DESC LIMIT ?", (most,)
            ).fetchall()
        except sqlite3.Error as fault:
            self._set_aside(str(fault))
            self._connect()
            return []
        for key, data, mark in rows:
            try:
                if mark != _sum(key, data):
                    raise ValueError
                subject = msgspec.msgpack.decode(key, type=tuple)
                row = msgspec.msgpack.decode(data, type=Row)
            except (ValueError, TypeError, msgspec.DecodeError):
                self.torn += 1
                continue
            same = self.boot and row.boot == self.boot
            found.append((subject, row.value, now - row.at if same else wall - row.wall))
        if self.torn:
            self.told(f"{self.path}: {self.torn} torn rows left out")
        return found

    def write(self, facts):
        """`facts`: [(subject, value, when by the monotonic clock)], in one transaction. A failure is counted
        and the facts are lost, which costs a restart some warmth and nothing else."""
        now, wall, rows = self.clock(), self.wall(), []
        for subject, value, at in facts:
            key = msgspec.msgpack.encode(subject)
            data = msgspec.msgpack.encode(Row(at, wall - (now - at), self.boot, value))
            rows.append((key, data, _sum(key, data), at + self.offset))
        self._change("INSERT OR REPLACE INTO facts VALUES (?, ?, ?, ?)", rows)

    def forget(self, age):
        """Drops what is older than `age`, and what claims to be of the future."""
        now = self.clock() + self.offset
        self._change("DELETE FROM facts WHERE wall < ? OR wall > ?", [(now - age, now + age)])

    def _change(self, statement, rows):
        if self.base is None or not rows:
            return
        try:
            self.base.execute("BEGIN IMMEDIATE")
            self.base.executemany(statement, rows)
            self.base.execute("COMMIT")
            self.written += len(rows)
        except sqlite3.Error as fault:
            self.failed += 1
            if self.failed == 1:
                self.told(f"{self.path}: not written: {fault}")
            try:
                if self.base.in_transaction:
                    self.base.execute("ROLLBACK")
            except sqlite3.Error:
                pass  # the connection is of no use; each later write is counted as failed

    def close(self):
        if self.base is not None:
            self.base.close()
            self.base = None
        if self.lock is not None:
            os.close(self.lock)
            self.lock = None
