"""Stores a gateway's cell table on disk: reads it at the start, writes newer tables. Times are ns."""

from collections.abc import Callable
from pathlib import Path

from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination import Disseminator, DocumentError
from gaproute.shared.dissemination.messages import NO_VERSION
from gaproute.storage.cell_table_file import CellTableFile, StoredTable
from gaproute.units import SECOND

WRITE_INTERVAL = 60 * SECOND  # between two writes, as each waits for the disk
RETRY_INTERVAL = 5 * SECOND  # until a failed read or write is tried again


class TableStorage:
    """`path`: the file, None for none; `report(text)` is called with messages for operators."""

    def __init__(
        self,
        clock: Callable[[], int],
        path: str | Path | None,
        fleet: str,
        report: Callable[[str], object],
    ) -> None:
        self.file = None if path is None else CellTableFile(path, fleet, report)
        self.written = NO_VERSION  # the version on disk
        self.write_at = clock()  # when `write` is to be called next
        self._clock = clock

    def restore(self, disseminator: Disseminator) -> None:
        """Reads the table of the file, if there is a usable one."""
        stored = None if self.file is None else self.file.read(disseminator.document.version)
        if stored is not None:
            self._take(disseminator, stored)

    def write(self, disseminator: Disseminator) -> None:
        """Writes the current table if it is newer than that on disk.

        A file that could not be read at the start is read before it is overwritten.
        """
        if self.file is None:
            return
        if self.file.failed_reads:
            self._restore_late(disseminator, self.file)
        if self.file.failed_reads:
            self.write_at = self._clock() + RETRY_INTERVAL
            return
        document = disseminator.document
        if document.version <= self.written:
            return  # a table that comes after a quiet time is written in the next turn
        self.write_at = self._clock() + WRITE_INTERVAL
        term, number = document.version
        if self.file.write(StoredTable(document.fleet, term, number, document.digest, document.encode())):
            self.written = document.version
        else:
            self.write_at = self._clock() + RETRY_INTERVAL

    def _restore_late(self, disseminator: Disseminator, file: CellTableFile) -> None:
        """Reads the table that could not be read at the start, and takes it if it is newer than the current
        one.
        """
        stored = file.read()
        if stored is not None and (stored.term, stored.number) > disseminator.document.version:
            self._take(disseminator, stored)

    def _take(self, disseminator: Disseminator, stored: StoredTable) -> None:
        version = Version(stored.term, stored.number)
        try:
            disseminator.publish_document(self._clock(), version, stored.digest, stored.data)
        except DocumentError as reason:
            if self.file is not None:
                self.file.quarantine(str(reason))
            return
        self.written = version
