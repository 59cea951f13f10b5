"""The cell table of a running gateway: from its file, from other gateways, or as it was kept on disk."""

from collections import Counter

from gaproute.config.cell_files import read_table
from gaproute.decisions.cells.change import TableChange
from gaproute.decisions.cells.errors import OtherFleetError, StaleVersionError, TableError
from gaproute.discovery.listing import FileWatch
from gaproute.shared.dissemination import DocumentError


class ContradictionError(TableError):
    """A table of the version that is held, but with other content."""


# Why a table of the file is refused, as the status counts it.
REASONS = {OtherFleetError: "other fleet", StaleVersionError: "older", ContradictionError: "contradicts"}
WRONG_FILE = "wrong file"


def change_between(before, after):
    """The change that leads from one table to the other."""
    rows = tuple(cell for cell in after.cells if before.by_name.get(cell.name) != cell)
    removed = tuple(name for name in before.by_name if name not in after.by_name)
    return TableChange(after.fleet, before.version, after.version, rows, removed)


class CellTableSource:
    """`adopted(table)` for each newer one, wherever it came from. `carrier`: what tells it to other gateways
    and hears it from them."""

    def __init__(self, loop, line, record, carrier, adopted):
        self.loop, self.line, self.record, self.carrier = loop, line, record, carrier
        self.refused = Counter()  # reason: how often
        self.watch = None
        carrier.on_table(adopted)

    @property
    def held(self):
        """The last good table, None before the first."""
        return self.carrier.table()

    def start(self):
        """Take what was kept on disk, then look into the file and listen to others."""
        self.carrier.start()
        line = self.line
        self.watch = FileWatch(self.loop, line.file, line.look, self.take, self._file_refused, read_table)

    def read(self):
        """Read the file at once."""
        self.watch.read()

    def take(self, table):
        """Hold the table and tell it, if it is newer than the one held; else it is refused."""
        held = self.held
        if held is not None and table.version == held.version and table.cells == held.cells:
            return
        try:
            self._check(table)
            self._publish(held, table)
        except (TableError, DocumentError) as wrong:
            self._refuse(REASONS.get(type(wrong), WRONG_FILE), [wrong])

    def _publish(self, held, table):
        """Tell what differs; the whole where that is most of it, or nothing is held."""
        change = None if held is None else change_between(held, table)
        if change is not None and len(change.rows) + len(change.removed) <= len(held.cells) // 2:
            self.carrier.publish_change(change)
        else:
            self.carrier.publish(table)

    def _check(self, table):
        held = self.held
        if table.fleet != self.line.fleet:
            raise OtherFleetError(self.line.fleet, table.fleet)
        if held is not None and table.version == held.version:
            raise ContradictionError(f"version {table.version} is held with other content")
        if held is not None and table.version < held.version:
            raise StaleVersionError(held.version, table.version)

    def _file_refused(self, mistakes):
        self._refuse(WRONG_FILE, mistakes)

    def _refuse(self, reason, mistakes):
        self.refused[reason] += 1
        for mistake in mistakes:
            self.record.event("error", "cell table refused", mistake=str(mistake))

    def refusals(self):
        """{reason: how often}, of the file and of what other gateways sent."""
        sent = {f"sent: {reason}": count for reason, count in self.carrier.disseminator.refused.items()}
        return dict(self.refused) | sent

    def stop(self):
        """Look at no file, and neither tell nor hear any more."""
        if self.watch is not None:
            self.watch.close()
        self.carrier.stop()
