"""Observations of an earlier run on disk, in SQLite; a damaged file is quarantined and never fatal.

SQLite rather than LMDB: a mapped file that is cut short ends its reader with SIGBUS, which cannot be caught,
while SQLite reports it. Each row carries a checksum of its own, as SQLite has none (observation_rows.py).
Nothing is synced: a crash of the machine loses only advice, and the checksums show which rows it tore.

A transient failure (the disk is full, does not answer, is locked) is no reason to quarantine a file: the
connection is closed and opened again after an exponential backoff. What was written before is still there.

The column `wall`, by which rows are ordered and deleted, is the monotonic clock plus its offset from the wall
clock when the store was made: setting the wall clock meanwhile makes no row seem older or younger.
"""

import os
import sqlite3
import time
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from pathlib import Path

from gaproute.errors import GaprouteError
from gaproute.storage import files
from gaproute.storage.observation_database import (
    DELETE_OUTSIDE_TIME_RANGE,
    INSERT_ROW,
    SELECT_LATEST,
    DamagedFileError,
    connect,
    is_transient,
)
from gaproute.storage.observation_rows import (
    ClockReadings,
    Observation,
    Subject,
    TornRowError,
    Value,
    boot_id,
    decode_row,
    encode_row,
)
from gaproute.units import SECOND

# Between two attempts at a disk that fails: the first pause, and the limit up to which it is doubled
MIN_BACKOFF, MAX_BACKOFF = SECOND, 30 * SECOND
# Quarantined in this order: a write-ahead log that is left alone would be replayed into the file that takes
# the place of the damaged one.
FILE_SUFFIXES = ("-shm", "-wal", "")


class ObservationStoreError(GaprouteError):
    """The file cannot be used now; the text says which file and why."""


class ObservationStore:
    """The store of one gateway, locked against other processes. Call `open` before use; where that failed a
    later write opens it.

    `report(text)` is called with messages for operators, once in an outage. `clock` (ns, monotonic),
    `wall_clock` (ns since 1970) and `boot` are handed in by tests. `written` counts rows, `failed` writes
    that failed, `torn_rows` rows left out by reads.
    """

    def __init__(
        self,
        path: str | Path,
        report: Callable[[str], object],
        clock: Callable[[], int] = time.monotonic_ns,
        wall_clock: Callable[[], int] = time.time_ns,
        boot: str | None = None,
    ) -> None:
        self.path, self.report = Path(path), report
        self.clock, self.wall_clock = clock, wall_clock
        self.wall_offset = wall_clock() - clock()  # ns
        self.boot = boot_id() if boot is None else boot
        self.connection: sqlite3.Connection | None = None
        self.lock: int | None = None  # descriptor of the lock file
        self.torn_rows = self.written = self.failed = 0
        self.damage = ""  # what was found wrong with the file since it was opened
        self.checked = False  # whether the complete file was checked: once for each process, as it takes long
        self.backoff = 0  # ns; 0: no attempt has failed since the last write
        self.retry_at = self.clock()

    def open(self) -> None:
        """Lock and open the file; it may be called again after it failed.

        Errors: ObservationStoreError where the place is not writable or another process holds the file.
        """
        try:
            self._acquire_lock()
            self._connect_or_quarantine()
        except ObservationStoreError:
            self.close()
            self._back_off()
            raise
        self.damage, self.checked = "", True

    def ensure_open(self) -> bool:
        """Return whether it can be written to, after opening it where the backoff is over."""
        if self.connection is None and self.clock() >= self.retry_at:
            with suppress(ObservationStoreError):  # the outage was reported already
                self.open()
        return self.connection is not None

    def read(self, limit: int) -> list[Observation]:
        """Return the latest observations, `limit` of them at most; none while the disk fails.

        Torn rows are left out and counted.
        """
        clocks = ClockReadings(self.clock(), self.wall_clock(), self.boot)
        if not self.ensure_open() or self.connection is None:
            return []
        try:
            rows = self.connection.execute(SELECT_LATEST, (limit,)).fetchall()
        except sqlite3.Error as error:
            self._record_outage(error)
            return []
        observations = []
        for subject, data, checksum in rows:
            try:
                observations.append(decode_row(subject, data, checksum, clocks))
            except TornRowError:
                self.torn_rows += 1
        if self.torn_rows:
            self.report(f"{self.path}: {self.torn_rows} torn rows left out")
        return observations

    def write(self, observations: Iterable[tuple[Subject, Value, int]]) -> bool:
        """Write (subject, value, time by the monotonic clock in ns) in one transaction.

        Returns whether they are written. A failure is counted; the caller should write them again, as they
        would be missing after a restart.
        """
        clocks = ClockReadings(self.clock(), self.wall_clock(), self.boot)
        rows = [
            encode_row(subject, value, at, clocks, at + self.wall_offset)
            for subject, value, at in observations
        ]
        return self._execute_in_transaction(INSERT_ROW, rows)

    def delete_older_than(self, age: int) -> None:
        """Delete rows older than `age` (ns), and those whose time is further than that in the future."""
        now = self.clock() + self.wall_offset
        self._execute_in_transaction(DELETE_OUTSIDE_TIME_RANGE, [(now - age, now + age)])

    def close(self) -> None:
        """Close the file and release the lock. It may be opened again."""
        self._disconnect()
        if self.lock is not None:
            files.close(self.lock)
            self.lock = None

    def _acquire_lock(self) -> None:
        if self.lock is not None:
            return
        try:
            self.lock = files.lock_file(self.path)
        except OSError as error:
            raise ObservationStoreError(f"{self.path}: not locked: {error.strerror}") from error

    def _connect_or_quarantine(self) -> None:
        try:
            if self.damage:
                raise DamagedFileError(self.damage)
            self.connection = connect(self.path, check=not self.checked)
        except sqlite3.Error as error:
            if is_transient(error):
                raise ObservationStoreError(f"{self.path}: not opened: {error}") from error
            self._quarantine(str(error))
            self._connect_to_new_file()

    def _connect_to_new_file(self) -> None:
        try:
            self.connection = connect(self.path, check=not self.checked)
        except sqlite3.Error as error:
            raise ObservationStoreError(f"{self.path}: no new file: {error}") from error

    def _quarantine(self, reason: str) -> None:
        self._disconnect()
        target = files.quarantine_path(self.path, self.wall_clock())
        for suffix in FILE_SUFFIXES:
            try:
                os.replace(f"{self.path}{suffix}", f"{target}{suffix}")
            except FileNotFoundError:
                continue
            except OSError as error:
                text = f"{self.path}: {reason}; not quarantined: {error.strerror}"
                raise ObservationStoreError(text) from error
        self.report(f"{self.path}: {reason}; quarantined as {target}")

    def _execute_in_transaction(self, statement: str, rows: Sequence[tuple[object, ...]]) -> bool:
        if not rows:
            return True
        if not self.ensure_open() or self.connection is None:
            self.failed += 1
            return False
        try:
            self.connection.execute("BEGIN IMMEDIATE")
            self.connection.executemany(statement, rows)
            self.connection.execute("COMMIT")
        except sqlite3.Error as error:
            self.failed += 1
            self._record_outage(error)
            return False
        self.written += len(rows)
        self.backoff = 0
        return True

    def _record_outage(self, error: sqlite3.Error) -> None:
        """Close the connection, to be opened again after the backoff. Reported once in an outage."""
        if not self.backoff:
            self.report(f"{self.path}: {error}; nothing is written until it answers again")
        if not is_transient(error):
            self.damage = str(error)
        self._disconnect()
        self._back_off()

    def _back_off(self) -> None:
        self.backoff = min(max(MIN_BACKOFF, 2 * self.backoff), MAX_BACKOFF)
        self.retry_at = self.clock() + self.backoff

    def _disconnect(self) -> None:
        """Close the connection, which rolls back what was not committed."""
        if self.connection is not None:
            with suppress(sqlite3.Error):  # the connection is not used any more
                self.connection.close()
            self.connection = None
