"""Cell tables, and the peers that they name, shared by the gateways of one process: neither ever changes."""

from __future__ import annotations

from dataclasses import replace

from gaproute.decisions.cells.change import TableHolder
from gaproute.decisions.cells.table import CellTable
from gaproute.decisions.cells.version import Version
from gaproute.peers.ports import EventLog, TimerLoop
from gaproute.peers.tables import CellTableChannels, CellTableSettings, CellTableTransport
from gaproute.peers.tables.document import TableDocument
from gaproute.shared.dissemination import Change, Peer
from gaproute.shared.dissemination.cell_peers import candidates_from_table
from gaproute.shared.dissemination.partial_view import Candidates
from gaproute.shared.randomness import RandomSource

TableKey = tuple[Version, int]  # version and digest
SharedCellTables = dict[TableKey, CellTable]
SharedCandidates = dict[TableKey, Candidates]


class SharedTableDocument(TableDocument):
    """`tables`: those that any gateway of the process has read and checked."""

    def __init__(self, holder: TableHolder, tables: SharedCellTables) -> None:
        super().__init__(holder)
        self._tables = tables

    def apply(self, change: Change) -> None:
        """Take a change. Errors: DocumentError."""
        known = self._tables.get((change.version, change.digest))
        if known is None or change.base != self.version:
            super().apply(change)
            self._share()
        else:
            self._take(known, change.digest, change.digest)

    def replace(self, version: Version, digest: int, data: bytes) -> None:
        """Take a whole table. Errors: DocumentError."""
        known = self._tables.get((version, digest))
        if known is None or version <= self.version:
            super().replace(version, digest, data)
            self._share()
        else:
            self._take(known, digest, digest)

    def _share(self) -> None:
        assert self.holder.table is not None
        self._tables[self.version, self.digest] = self.holder.table


class SharedCellTableTransport(CellTableTransport):
    """`shared_candidates`: the candidates that each table names, for all gateways of the process."""

    def __init__(
        self,
        loop: TimerLoop,
        settings: CellTableSettings,
        channels: CellTableChannels,
        random: RandomSource,
        record: EventLog,
        *,
        shared_candidates: SharedCandidates,
    ) -> None:
        super().__init__(loop, settings, channels, random, record)
        self._shared_candidates = shared_candidates

    def candidates(self, near: tuple[Peer, ...]) -> Candidates:
        """As of `CellTableTransport`."""
        table, document = self.holder.table, self.disseminator.document
        if table is None or self.cell:
            return super().candidates(near)
        key = document.version, document.digest
        if key not in self._shared_candidates:
            self._shared_candidates[key] = candidates_from_table(table, self.cell, (), ())
        named = self._shared_candidates[key]
        gateways = max(1, len(near)) * named.gateway_count
        return replace(named, neighbours=near, configured=self.configured, gateway_count=gateways)
