"""The cell table of a running gateway: from its file, from other gateways, or as it was stored on disk."""

from collections import Counter
from collections.abc import Callable, Iterable

from gaproute.config.cell_files import read_table
from gaproute.config.directives.fleet import CellsLine
from gaproute.decisions.cells.change import TableChange
from gaproute.decisions.cells.errors import OtherFleetError, StaleVersionError, TableError
from gaproute.decisions.cells.table import CellTable
from gaproute.discovery.file_watch import FileWatch
from gaproute.loop import Loop
from gaproute.peers.tables import CellTableTransport
from gaproute.shared.dissemination import DocumentError
from gaproute.telemetry.record import Record


class ContradictionError(TableError):
    """A table of the version that is held, but with other content."""


# Why a table of the file is rejected, as the status counts it.
REASONS: dict[type[Exception], str] = {
    OtherFleetError: "other fleet",
    StaleVersionError: "older",
    ContradictionError: "contradicts",
}
WRONG_FILE = "wrong file"


def change_between(before: CellTable, after: CellTable) -> TableChange:
    """The change that leads from one table to the other."""
    rows = tuple(cell for cell in after.cells if before.by_name.get(cell.name) != cell)
    removed = tuple(name for name in before.by_name if name not in after.by_name)
    return TableChange(after.fleet, before.version, after.version, rows, removed)


class CellTableSource:
    """Calls `on_table(table)` for each newer one, wherever it came from.

    `carrier` disseminates it among the gateways. `rejected` counts by reason the tables of the file that
    were not taken.
    """

    def __init__(
        self,
        loop: Loop,
        line: CellsLine,
        record: Record,
        carrier: CellTableTransport,
        on_table: Callable[[CellTable], None],
    ) -> None:
        self.loop, self.line, self.record, self.carrier = loop, line, record, carrier
        self.rejected: Counter[str] = Counter()
        self.watch: FileWatch | None = None
        carrier.on_table(on_table)

    @property
    def table(self) -> CellTable | None:
        """The last good table, None before the first."""
        return self.carrier.table()

    def start(self) -> None:
        """Takes what was stored on disk, then looks into the file and listens to others."""
        self.carrier.start()
        line = self.line
        self.watch = FileWatch(
            self.loop, line.file, line.look, self._publish_newer, self._file_rejected, read_table
        )

    def reload(self) -> None:
        """Reads the file at once."""
        if self.watch is not None:
            self.watch.read()

    def rejections(self) -> dict[str, int]:
        """{reason: how often}, of the file and of what other gateways sent."""
        sent = {f"sent: {reason}": count for reason, count in self.carrier.disseminator.rejections.items()}
        return dict(self.rejected) | sent

    def stop(self) -> None:
        """Looks at no file, and neither sends nor receives any more."""
        if self.watch is not None:
            self.watch.close()
        self.carrier.stop()

    def _publish_newer(self, table: CellTable) -> None:
        """Takes the file's table and disseminates it, if it is newer than the one held; else rejects it."""
        held = self.table
        if held is not None and table.version == held.version and table.cells == held.cells:
            return
        try:
            self._check(table, held)
            self._publish(table, held)
        except (TableError, DocumentError) as error:
            self._reject(REASONS.get(type(error), WRONG_FILE), [error])

    def _check(self, table: CellTable, held: CellTable | None) -> None:
        if table.fleet != self.line.fleet:
            raise OtherFleetError(self.line.fleet, table.fleet)
        if held is None:
            return
        if table.version == held.version:
            raise ContradictionError(f"version {table.version} is held with other content")
        if table.version < held.version:
            raise StaleVersionError(held.version, table.version)

    def _publish(self, table: CellTable, held: CellTable | None) -> None:
        """Sends what differs; the whole where that is most of it, or nothing is held."""
        if held is not None:
            change = change_between(held, table)
            if len(change.rows) + len(change.removed) <= len(held.cells) // 2:
                self.carrier.publish_change(change)
                return
        self.carrier.publish(table)

    def _file_rejected(self, mistakes: Iterable[object]) -> None:
        self._reject(WRONG_FILE, mistakes)

    def _reject(self, reason: str, mistakes: Iterable[object]) -> None:
        self.rejected[reason] += 1
        for mistake in mistakes:
            self.record.event("error", "cell_table_rejected", error=str(mistake))
