"""A table document whose tables, which never change, are shared by the gateways of a process."""

from gaproute.peers.tables.document import TableDocument


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
