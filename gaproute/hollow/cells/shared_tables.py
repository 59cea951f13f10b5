"""What gateways of a process share of tables, which never change: the tables, and the peers they name."""

from dataclasses import replace

from gaproute.peers.tables import CellTableTransport
from gaproute.peers.tables.document import TableDocument
from gaproute.shared.dissemination.cell_peers import candidates


class SharedTableDocument(TableDocument):
    """`tables`: {(version, digest): table}, of those that any gateway has read and checked."""

    def __init__(self, holder, tables):
        super().__init__(holder)
        self.tables = tables

    def apply(self, change):
        """Takes a change. Errors: DocumentError."""
        known = self.tables.get((change.version, change.digest))
        if known is None or change.base != self.version:
            super().apply(change)
            self._note()
        else:
            self._take(known, change.digest, change.digest)

    def replace(self, version, digest, data):
        """Takes a whole table. Errors: DocumentError."""
        known = self.tables.get((version, digest))
        if known is None or version <= self.version:
            super().replace(version, digest, data)
            self._note()
        else:
            self._take(known, digest, digest)

    def _note(self):
        self.tables[self.version, self.digest] = self.holder.table


class SharedCellTableTransport(CellTableTransport):
    """`named`: {(version, digest): candidates that the table names}, of all gateways that share them."""

    def __init__(self, named, *environment):
        super().__init__(*environment)
        self.named = named

    def candidates(self, near):
        """As of `CellTableTransport`."""
        table, document = self.holder.table, self.disseminator.document
        if table is None or self.cell:
            return super().candidates(near)
        key = document.version, document.digest
        if key not in self.named:
            self.named[key] = candidates(table, self.cell, (), ())
        named = self.named[key]
        gateways = max(1, len(near)) * named.gateways
        return replace(named, neighbours=near, configured=self.configured, gateways=gateways)
