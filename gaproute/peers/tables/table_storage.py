"""The cell table of a gateway on disk: read at the start, written as newer tables come. Times are in ns."""

from collections.abc import Callable
from pathlib import Path

from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination import Disseminator, DocumentError
from gaproute.shared.dissemination.bounds import SECOND
from gaproute.shared.dissemination.messages import NOTHING
from gaproute.storage.cell_table_file import CellTableFile, StoredTable

WRITE_INTERVAL = 60 * SECOND  # between two writes: each waits for the disk
RETRY_INTERVAL = 5 * SECOND  # until a read or write that failed is tried again


class TableStorage:
    """`path`: the file, None for none; `report(text)` is called with what an operator should know."""

    def __init__(
        self,
        clock: Callable[[], int],
        path: str | Path | None,
        fleet: str,
        report: Callable[[str], object],
    ) -> None:
        self.file = None if path is None else CellTableFile(path, fleet, report)
        self.written = NOTHING  # the version on disk
        self.write_at = clock()  # when `write` is to be called
        self._clock = clock

    def restore(self, disseminator: Disseminator) -> None:
        """Takes the table of the file, where there is one that can be used."""
        stored = None if self.file is None else self.file.read(disseminator.document.version)
        if stored is not None:
            self._take(disseminator, stored)

    def write(self, disseminator: Disseminator) -> None:
        """Writes the current table, if it is newer than that on disk.

        A file that could not be read at the start is read before it is written over.
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
            return  # what is new after a quiet time is written in the next turn
        self.write_at = self._clock() + WRITE_INTERVAL
        term, number = document.version
        if self.file.write(StoredTable(document.fleet, term, number, document.digest, document.whole())):
            self.written = document.version
        else:
            self.write_at = self._clock() + RETRY_INTERVAL

    def _restore_late(self, disseminator: Disseminator, file: CellTableFile) -> None:
        """What could not be read at the start: taken if it is newer than what came meanwhile."""
        stored = file.read()
        if stored is not None and (stored.term, stored.number) > disseminator.document.version:
            self._take(disseminator, stored)

    def _take(self, disseminator: Disseminator, stored: StoredTable) -> None:
        version = Version(stored.term, stored.number)
        try:
            disseminator.publish_whole(self._clock(), version, stored.digest, stored.data)
        except DocumentError as reason:
            if self.file is not None:
                self.file.quarantine(str(reason))
            return
        self.written = version
