"""Stores a gateway's cell table on disk: reads it at startup and writes newer versions. Times are ns."""

from collections.abc import Callable
from pathlib import Path

from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination import Disseminator, DocumentError
from gaproute.shared.dissemination.messages import NO_VERSION
from gaproute.storage.cell_table_file import CellTableFile, StoredTable
from gaproute.units import SECOND

WRITE_INTERVAL = 60 * SECOND  # between two writes, each of which blocks until the disk is done
RETRY_INTERVAL = 5 * SECOND  # before a failed read or write is repeated


class TableStorage:
    """Reads and writes the table file at `path`; None disables storage.

    `report(text)` is called with messages for operators.
    """

    def __init__(
        self,
        clock: Callable[[], int],
        path: str | Path | None,
        fleet: str,
        report: Callable[[str], object],
    ) -> None:
        self.file = None if path is None else CellTableFile(path, fleet, report)
        self.written_version = NO_VERSION  # version of the table on disk
        self.next_write_at = clock()  # when `write` must be called next
        self._clock = clock

    def restore(self, disseminator: Disseminator) -> None:
        """Publishes the table from the file, if the file has a usable one."""
        stored = None if self.file is None else self.file.read(disseminator.document.version)
        if stored is not None:
            self._publish_stored(disseminator, stored)

    def write(self, disseminator: Disseminator) -> None:
        """Writes the current table if it is newer than the table on disk.

        A file that could not be read at startup is read before it is overwritten, as its table may be newer.
        """
        if self.file is None:
            return
        if self.file.failed_reads:
            self._retry_restore(disseminator, self.file)
        if self.file.failed_reads:
            self.next_write_at = self._clock() + RETRY_INTERVAL
            return
        document = disseminator.document
        if document.version <= self.written_version:
            return  # `next_write_at` stays in the past, so a newer table is written in the next turn
        self.next_write_at = self._clock() + WRITE_INTERVAL
        term, number = document.version
        if self.file.write(StoredTable(document.fleet, term, number, document.digest, document.encode())):
            self.written_version = document.version
        else:
            self.next_write_at = self._clock() + RETRY_INTERVAL

    def _retry_restore(self, disseminator: Disseminator, file: CellTableFile) -> None:
        """Reads the file that could not be read at startup, and publishes its table if that is newer than the
        current one.
        """
        stored = file.read()
        if stored is not None and (stored.term, stored.number) > disseminator.document.version:
            self._publish_stored(disseminator, stored)

    def _publish_stored(self, disseminator: Disseminator, stored: StoredTable) -> None:
        version = Version(stored.term, stored.number)
        try:
            disseminator.publish_document(self._clock(), version, stored.digest, stored.data)
        except DocumentError as reason:
            if self.file is not None:
                self.file.quarantine(str(reason))
            return
        self.written_version = version
