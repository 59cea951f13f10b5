"""Helpers of the tests of the observation store: clocks, a filled store and an SQLite that fails."""

import sqlite3

from helpers import SECOND

WARM_SUBJECT = ("warm", "x", "f")
LOAD_OBSERVATION = (("load",), (5,), 99 * SECOND)

OUTAGES = [
    (sqlite3.SQLITE_IOERR_WRITE, "disk I/O error"),
    (sqlite3.SQLITE_FULL, "database or disk is full"),
    (sqlite3.SQLITE_CANTOPEN, "unable to open database file"),
]


class ManualClocks:
    def __init__(self, now=100 * SECOND, wall=10**18):
        self.now, self.wall = now, wall


def write_store(open_store, *observations, **options):
    store = open_store(**options)
    store.write(observations or [(WARM_SUBJECT, (4, 0), 99 * SECOND)])
    store.close()


class SqliteDisk:
    """A disk under SQLite: while `fault` is set, opening a connection or executing a statement raises it."""

    def __init__(self, monkeypatch):
        self.fault = None
        disk, connect = self, sqlite3.connect

        class Connection(sqlite3.Connection):
            """A connection that raises the fault of the disk, if any, before each statement."""

            def execute(self, *args):
                disk.raise_fault()
                return super().execute(*args)

            def executemany(self, *args):
                disk.raise_fault()
                return super().executemany(*args)

        def connect_to_disk(*args, **options):
            disk.raise_fault()
            return connect(*args, **options, factory=Connection)

        monkeypatch.setattr(sqlite3, "connect", connect_to_disk)

    def set_fault(self, code, text):
        self.fault = sqlite3.OperationalError(text)
        self.fault.sqlite_errorcode = code

    def raise_fault(self):
        if self.fault is not None:
            raise self.fault
