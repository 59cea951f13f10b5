"""The cell table as the document that is disseminated."""

from gaproute.decisions.cells.change import TableChange, TableHolder, apply_change
from gaproute.decisions.cells.errors import TableError
from gaproute.decisions.cells.table import CellTable, Version
from gaproute.peers.tables import encoding
from gaproute.shared.dissemination import Change, DocumentError
from gaproute.shared.dissemination.messages import NOTHING


class TableDocument:
    """Keeps the holder's table; nothing else may change that.

    The holder must not trim: others are served from it, and all digests are of whole rows. Whoever wants less
    takes it from the tables that it is told.
    """

    def __init__(self, holder: TableHolder):
        if holder.trim is not None:
            raise ValueError("a holder that trims has no whole rows to serve")
        self.holder = holder
        self.fleet = holder.fleet
        self.digest = 0
        if holder.table is not None:
            self.digest = encoding.cells_digest(holder.table.cells)

    @property
    def version(self) -> Version:
        """The version held."""
        return NOTHING if self.holder.table is None else self.holder.table.version

    def apply(self, change: Change):
        """Take a change. Errors: DocumentError."""
        held = self.holder.table
        if held is None:
            raise DocumentError("a change without a table")
        try:
            told = encoding.decode_change(self.fleet, change.base, change.version, change.data)
            table = apply_change(held, told)
            self._take(table, encoding.digest_after(self.digest, held, told), change.digest)
        except TableError as fault:
            raise DocumentError("invalid change") from fault

    def replace(self, version: Version, digest: int, data: bytes):
        """Take a whole table. Errors: DocumentError."""
        try:
            table = encoding.decode_table(self.fleet, version, data)
            self._take(table, encoding.cells_digest(table.cells), digest)
        except TableError as fault:
            raise DocumentError("invalid table") from fault

    def whole(self) -> bytes:
        """The whole table, encoded."""
        return encoding.encode_table(self.holder.table)

    def _take(self, table: CellTable, digest, told):
        if digest != told:
            raise DocumentError("digest")
        self.holder.replace(table)
        self.digest = digest


def encode_table_change(document: TableDocument, change: TableChange) -> Change:
    """A change of the table held, as it is sent. Errors: TableError where it cannot be applied."""
    held = document.holder.table
    apply_change(held, change)
    digest = encoding.digest_after(document.digest, held, change)
    return Change(change.base, change.version, digest, encoding.encode_change(change))
