"""The cell table as a document for `gaproute.shared.dissemination`."""

from gaproute.decisions.cells.change import TableChange, TableHolder, apply_change
from gaproute.decisions.cells.errors import TableError
from gaproute.decisions.cells.table import CellTable
from gaproute.decisions.cells.version import Version
from gaproute.peers.tables import encoding
from gaproute.shared.dissemination import Change, DocumentError
from gaproute.shared.dissemination.messages import NO_VERSION


class TableDocument:
    """Stores the current table in a holder, which nothing else may change.

    The holder must not trim rows, because other gateways are served from it and digests cover complete rows.
    Code that needs trimmed rows trims the table that it gets in a callback.
    """

    def __init__(self, holder: TableHolder) -> None:
        if holder.trim is not None:
            raise ValueError(
                "TableDocument requires a TableHolder with complete rows, but the given one trims its rows"
            )
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
        """Applies a change. Raises DocumentError."""
        current = self.holder.table
        if current is None:
            raise DocumentError("a change without a table")
        try:
            decoded = encoding.decode_change(self.fleet, change.base, change.version, change.data)
            table = apply_change(current, decoded)
            self._replace_table(table, encoding.digest_after(self.digest, current, decoded), change.digest)
        except TableError as fault:
            raise DocumentError("invalid change") from fault

    def replace(self, version: Version, digest: int, data: bytes) -> None:
        """Replaces the table with a complete one. Raises DocumentError."""
        try:
            table = encoding.decode_table(self.fleet, version, data)
            self._replace_table(table, encoding.cells_digest(table.cells), digest)
        except TableError as fault:
            raise DocumentError("invalid table") from fault

    def encode(self) -> bytes:
        """Encodes the complete table. Raises DocumentError if there is none."""
        if self.holder.table is None:
            raise DocumentError("no table")
        return encoding.encode_table(self.holder.table)

    def _replace_table(self, table: CellTable, digest: int, expected_digest: int) -> None:
        if digest != expected_digest:
            raise DocumentError("digest")
        self.holder.replace(table)
        self.digest = digest


def encode_table_change(current: CellTable | None, digest: int, change: TableChange) -> Change:
    """Encodes a change of the table `current`, whose digest is `digest`.

    Raises TableError if the change cannot be applied.
    """
    if current is None:
        raise TableError("cannot encode a change: there is no current table to apply it to")
    apply_change(current, change)
    digest_after = encoding.digest_after(digest, current, change)
    return Change(change.base, change.version, digest_after, encoding.encode_change(change))
