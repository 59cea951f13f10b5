"""Observations that survive a restart, in an SQLite database; a damaged file is quarantined, never fatal.

The store uses SQLite rather than LMDB: reading a truncated memory-mapped file ends the process with SIGBUS,
which cannot be caught, while SQLite reports an error. Each row has a checksum of its own, as SQLite has none
(observation_rows.py). Nothing is synced: a crash of the machine loses only observations, which the gateway
can do without, and the checksums show which rows are torn.

A transient failure (the disk is full, unresponsive or locked) does not quarantine the file: the connection is
closed and opened again after an exponential backoff, and the rows written before are still there.

Rows are ordered and deleted by the column `wall`: the monotonic clock plus the offset that the wall clock had
when the store object was created. So setting the wall clock later makes no row appear older or younger.
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

# The delay after the first failed attempt to use the disk, which doubles up to the maximum.
MIN_BACKOFF, MAX_BACKOFF = SECOND, 30 * SECOND
# Files are quarantined in this order, since a write-ahead log left behind would be replayed into the new file
# that replaces the damaged one.
FILE_SUFFIXES = ("-shm", "-wal", "")


class ObservationStoreError(GaprouteError):
    """The file cannot be used at present; the text gives its path and the reason."""


class ObservationStore:
    """The observation store of one gateway, locked against other processes. Call `open` before use; if that
    fails, later reads and writes try to open the store again.

    `report(text)` is called with messages for operators, once in an outage. Tests pass their own `clock` (ns,
    monotonic), `wall_clock` (ns since 1970) and `boot`. `written` counts written rows, `failed` counts failed
    writes, and `torn_rows` counts the rows that reads skipped.
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
        self.damage = ""  # the error that showed damage to the file since it was opened, or empty
        self.checked = False  # whether the whole file was checked, which is slow and done once in a process
        self.backoff = 0  # ns; 0: no attempt has failed since the last successful write
        self.retry_at = self.clock()

    def open(self) -> None:
        """Lock and open the file; this may be repeated after a failure.

        Errors: ObservationStoreError if the directory is not writable or another process holds the lock.
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
        """Open the store if it is closed and the backoff is over. Returns whether the store is open."""
        if self.connection is None and self.clock() >= self.retry_at:
            with suppress(ObservationStoreError):  # the outage has already been reported
                self.open()
        return self.connection is not None

    def read(self, limit: int) -> list[Observation]:
        """Return the latest observations, at most `limit`; none while the disk fails.

        Torn rows are skipped and counted.
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
            self.report(f"{self.path}: {self.torn_rows} torn rows were skipped")
        return observations

    def write(self, observations: Iterable[tuple[Subject, Value, int]]) -> bool:
        """Write tuples of subject, value and time (ns, monotonic clock) in one transaction.

        Returns whether the observations were written. A failure is counted. The caller should then write the
        observations again, as they would otherwise be missing after a restart.
        """
        clocks = ClockReadings(self.clock(), self.wall_clock(), self.boot)
        rows = [
            encode_row(subject, value, at, clocks, at + self.wall_offset)
            for subject, value, at in observations
        ]
        return self._execute_in_transaction(INSERT_ROW, rows)

    def delete_older_than(self, age: int) -> None:
        """Delete rows whose time is more than `age` (ns) in the past or in the future."""
        now = self.clock() + self.wall_offset
        self._execute_in_transaction(DELETE_OUTSIDE_TIME_RANGE, [(now - age, now + age)])

    def close(self) -> None:
        """Close the file and release the lock. The store may be opened again."""
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
            raise ObservationStoreError(f"{self.path}: cannot lock the file: {error.strerror}") from error

    def _connect_or_quarantine(self) -> None:
        try:
            if self.damage:
                raise DamagedFileError(self.damage)
            self.connection = connect(self.path, check=not self.checked)
        except sqlite3.Error as error:
            if is_transient(error):
                raise ObservationStoreError(f"{self.path}: cannot open the database: {error}") from error
            self._quarantine(str(error))
            self._connect_to_new_file()

    def _connect_to_new_file(self) -> None:
        try:
            self.connection = connect(self.path, check=not self.checked)
        except sqlite3.Error as error:
            raise ObservationStoreError(f"{self.path}: cannot create a new database: {error}") from error

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
        """Close the connection until the backoff is over, and report the first failure of an outage."""
        if not self.backoff:
            self.report(f"{self.path}: {error}; observations are not written until the disk works again")
        if not is_transient(error):
            self.damage = str(error)
        self._disconnect()
        self._back_off()

    def _back_off(self) -> None:
        self.backoff = min(max(MIN_BACKOFF, 2 * self.backoff), MAX_BACKOFF)
        self.retry_at = self.clock() + self.backoff

    def _disconnect(self) -> None:
        """Close the connection, which rolls back an open transaction."""
        if self.connection is not None:
            with suppress(sqlite3.Error):  # the connection is discarded in any case
                self.connection.close()
            self.connection = None
