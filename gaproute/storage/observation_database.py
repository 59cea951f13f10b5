"""The SQLite database of observations: its table, statements and kinds of failure."""

import sqlite3
from contextlib import suppress
from pathlib import Path

from gaproute.errors import GaprouteError

LOCK_TIMEOUT_SECONDS = 0  # do not wait for SQLite's lock, which would delay requests in this thread
PRIMARY_CODE_MASK = 0xFF  # selects the primary result code of an extended one
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

CREATE_TABLE = (
    "CREATE TABLE IF NOT EXISTS facts "
    "(subject BLOB PRIMARY KEY, data BLOB, sum INTEGER, wall INTEGER) WITHOUT ROWID"
)
CHECK_COLUMNS = "SELECT subject, data, sum, wall FROM facts LIMIT 1"
SELECT_LATEST = "SELECT subject, data, sum FROM facts ORDER BY wall DESC LIMIT ?"
INSERT_ROW = "INSERT OR REPLACE INTO facts VALUES (?, ?, ?, ?)"
DELETE_OUTSIDE_TIME_RANGE = "DELETE FROM facts WHERE wall < ? OR wall > ?"


class DamagedFileError(GaprouteError, sqlite3.DatabaseError):
    """SQLite opens the file, but its integrity check fails; the text is the result of the check."""


def connect(path: Path, *, check: bool) -> sqlite3.Connection:
    """Open the database, or create it; `check`: check the integrity of the whole file.

    Errors: sqlite3.Error.
    """
    connection = sqlite3.connect(path, timeout=LOCK_TIMEOUT_SECONDS, isolation_level=None)
    try:
        connection.execute("PRAGMA journal_mode = WAL")
        connection.execute("PRAGMA synchronous = OFF")
        if check:
            _check_integrity(connection)
        connection.execute(CREATE_TABLE)
        connection.execute(CHECK_COLUMNS).fetchall()
    except BaseException:
        with suppress(sqlite3.Error):  # a second error must not hide the first one
            connection.close()
        raise
    return connection


def is_transient(error: sqlite3.Error) -> bool:
    """Return whether the failure has a cause other than damage to the file."""
    return getattr(error, "sqlite_errorcode", 0) & PRIMARY_CODE_MASK in TRANSIENT_CODES


def _check_integrity(connection: sqlite3.Connection) -> None:
    """Errors: DamagedFileError."""
    (health,), *_ = connection.execute("PRAGMA quick_check(1)")
    if health != "ok":
        raise DamagedFileError(health)
