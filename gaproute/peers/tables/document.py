"""The cell table as a document that is disseminated."""

from gaproute.decisions.cells.change import TableChange, TableHolder, apply_change
from gaproute.decisions.cells.errors import TableError
from gaproute.decisions.cells.table import CellTable
from gaproute.decisions.cells.version import Version
from gaproute.peers.tables import encoding
from gaproute.shared.dissemination import Change, DocumentError
from gaproute.shared.dissemination.messages import NO_VERSION


class TableDocument:
    """Stores the current table in a holder, which nothing else may change.

    The holder must not trim rows: other gateways are served from it, and all digests are of complete rows.
    Callers that need smaller rows get the table in callbacks.
    """

    def __init__(self, holder: TableHolder) -> None:
        if holder.trim is not None:
            raise ValueError("a holder that trims has no whole rows to serve")
        self.holder = holder
        self.fleet = holder.fleet
        self.digest = 0
        if holder.table is not None:
            self.digest = encoding.cells_digest(holder.table.cells)

    @property
    def version(self) -> Version:
        """The current version."""
        return NO_VERSION if self.holder.table is None else self.holder.table.version

    def apply(self, change: Change) -> None:
        """Applies a change. Errors: DocumentError."""
        current = self.holder.table
        if current is None:
            raise DocumentError("a change without a table")
        try:
            decoded = encoding.decode_change(self.fleet, change.base, change.version, change.data)
            table = apply_change(current, decoded)
            self._take(table, encoding.digest_after(self.digest, current, decoded), change.digest)
        except TableError as fault:
            raise DocumentError("invalid change") from fault

    def replace(self, version: Version, digest: int, data: bytes) -> None:
        """Takes over a complete table. Errors: DocumentError."""
        try:
            table = encoding.decode_table(self.fleet, version, data)
            self._take(table, encoding.cells_digest(table.cells), digest)
        except TableError as fault:
            raise DocumentError("invalid table") from fault

    def encode(self) -> bytes:
        """The complete table, encoded. Errors: DocumentError if there is none."""
        if self.holder.table is None:
            raise DocumentError("no table")
        return encoding.encode_table(self.holder.table)

    def _take(self, table: CellTable, digest: int, expected: int) -> None:
        if digest != expected:
            raise DocumentError("digest")
        self.holder.replace(table)
        self.digest = digest


def encode_table_change(current: CellTable | None, digest: int, change: TableChange) -> Change:
    """Encodes a change of the current table, which has that digest.

    Errors: TableError where it cannot be applied.
    """
    if current is None:
        raise TableError("a change without a table")
    apply_change(current, change)
    digest_after = encoding.digest_after(digest, current, change)
    return Change(change.base, change.version, digest_after, encoding.encode_change(change))
