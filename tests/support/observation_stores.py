"""Helpers of the tests of the observation store: clocks, stores that were written, a SQLite that fails."""

import sqlite3

from helpers import SECOND

WARM = ("warm", "x", "f")
LATER = (("load",), (5,), 99 * SECOND)

OUTAGES = [
    (sqlite3.SQLITE_IOERR_WRITE, "disk I/O error"),
    (sqlite3.SQLITE_FULL, "database or disk is full"),
    (sqlite3.SQLITE_CANTOPEN, "unable to open database file"),
]


class Clocks:
    def __init__(self, now=100 * SECOND, wall=10**18):
        self.now, self.wall = now, wall


def written(store, *facts, **options):
    made = store(**options)
    made.write(facts or [(WARM, (4, 0), 99 * SECOND)])
    made.close()


class SqliteDisk:
    """Under SQLite: while `fault` is set, whatever is done on a connection or to make one raises it."""

    def __init__(self, monkeypatch):
        self.fault = None
        disk, connect = self, sqlite3.connect

        class Connection(sqlite3.Connection):
            """One that asks the disk before each statement."""

            def execute(self, *args):
                disk.check()
                return super().execute(*args)

            def executemany(self, *args):
                disk.check()
                return super().executemany(*args)

        def connect_to_disk(*args, **options):
            disk.check()
            return connect(*args, **options, factory=Connection)

        monkeypatch.setattr(sqlite3, "connect", connect_to_disk)

    def fails(self, code, text):
        self.fault = sqlite3.OperationalError(text)
        self.fault.sqlite_errorcode = code

    def check(self):
        if self.fault is not None:
            raise self.fault
