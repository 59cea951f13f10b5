"""The cell table of a running gateway, read from its file, from other gateways, or from the copy on disk."""

from collections import Counter
from collections.abc import Callable, Iterable

from gaproute.config.cell_files import read_complete_cell_table
from gaproute.config.directives.fleet import CellsLine
from gaproute.decisions.cells.change import TableChange
from gaproute.decisions.cells.errors import OtherFleetError, StaleVersionError, TableError
from gaproute.decisions.cells.table import CellTable
from gaproute.discovery.file_watch import FileWatch
from gaproute.loop import Loop
from gaproute.peers.tables import CellTableTransport
from gaproute.shared.dissemination import DocumentError
from gaproute.telemetry.record import GatewayRecord


class ContradictionError(TableError):
    """A table has the version of the current table but different content."""


# The reasons for which a table in the file is rejected, as the status names them
REJECTION_REASONS: dict[type[Exception], str] = {
    OtherFleetError: "other fleet",
    StaleVersionError: "older",
    ContradictionError: "contradicts",
}
INVALID_FILE = "wrong file"


def change_between(before: CellTable, after: CellTable) -> TableChange:
    """Returns the change that turns the table `before` into the table `after`."""
    rows = tuple(cell for cell in after.cells if before.by_name.get(cell.name) != cell)
    removed = tuple(name for name in before.by_name if name not in after.by_name)
    return TableChange(after.fleet, before.version, after.version, rows, removed)


class CellTableSource:
    """Calls `on_table(table)` for each newer table from the file or from another gateway.

    `transport` disseminates the table among the gateways. `rejected_files` counts by reason how often the
    content of the file was rejected.
    """

    def __init__(
        self,
        loop: Loop,
        cells_line: CellsLine,
        record: GatewayRecord,
        transport: CellTableTransport,
        on_table: Callable[[CellTable], None],
    ) -> None:
        self.loop, self.cells_line, self.record, self.transport = loop, cells_line, record, transport
        self.rejected_files: Counter[str] = Counter()
        self.watch: FileWatch | None = None
        transport.add_table_callback(on_table)

    @property
    def table(self) -> CellTable | None:
        """The current table; None before the first one."""
        return self.transport.table()

    def start(self) -> None:
        """Loads the table stored on disk, then watches the file and receives tables of other gateways."""
        self.transport.start()
        line = self.cells_line
        self.watch = FileWatch(
            self.loop, line.file, line.look, self._publish_newer, self._reject_file, read_complete_cell_table
        )

    def reload(self) -> None:
        """Reads the file now, without waiting for a change."""
        if self.watch is not None:
            self.watch.read()

    def rejection_counts(self) -> dict[str, int]:
        """Counts of rejected tables, by reason, from the file and from other gateways."""
        sent = {f"sent: {reason}": count for reason, count in self.transport.disseminator.rejections.items()}
        return dict(self.rejected_files) | sent

    def stop(self) -> None:
        """Stops watching the file, and stops sending and receiving tables."""
        if self.watch is not None:
            self.watch.close()
        self.transport.stop()

    def _publish_newer(self, table: CellTable) -> None:
        """Adopts and disseminates the file's table if it is newer than the current one, or rejects it."""
        current = self.table
        if current is not None and table.version == current.version and table.cells == current.cells:
            return
        try:
            self._check_adoptable(table, current)
            self._publish(table, current)
        except (TableError, DocumentError) as error:
            self._reject(REJECTION_REASONS.get(type(error), INVALID_FILE), [error])

    def _check_adoptable(self, table: CellTable, current: CellTable | None) -> None:
        if table.fleet != self.cells_line.fleet:
            raise OtherFleetError(self.cells_line.fleet, table.fleet)
        if current is None:
            return
        if table.version == current.version:
            raise ContradictionError(
                f"the current table has the same version {table.version} and different content"
            )
        if table.version < current.version:
            raise StaleVersionError(current.version, table.version)

    def _publish(self, table: CellTable, current: CellTable | None) -> None:
        """Sends the change since the current table, or the whole table if there is none or more than half of
        its cells differ.
        """
        if current is not None:
            change = change_between(current, table)
            if len(change.rows) + len(change.removed) <= len(current.cells) // 2:
                self.transport.publish_change(change)
                return
        self.transport.publish(table)

    def _reject_file(self, mistakes: Iterable[object]) -> None:
        self._reject(INVALID_FILE, mistakes)

    def _reject(self, reason: str, mistakes: Iterable[object]) -> None:
        self.rejected_files[reason] += 1
        for mistake in mistakes:
            self.record.event("error", "cell_table_rejected", error=str(mistake))
