"""The peers that a cell table names, as candidates for the partial view."""

from collections.abc import Iterable

from gaproute.decisions.cells.table import CellTable
from gaproute.shared.dissemination.messages import Peer
from gaproute.shared.dissemination.partial_view import Candidates


def candidates_from_table(
    table: CellTable | None, own_cell: str, neighbours: Iterable[Peer], configured: Iterable[Peer]
) -> Candidates:
    """The peers with which this gateway may exchange messages.

    `neighbours`: gateways of the own cell that are known by other means than the table.
    """
    own = {peer.name: peer for peer in neighbours}
    if table is None:
        return Candidates(tuple(own.values()), {}, tuple(configured))
    entries: dict[str, list[Peer]] = {}  # by zone, in the other cells
    for cell in table.cells:
        for entry in cell.entries:
            peer = Peer(entry.name, entry.address)
            if cell.name == own_cell:
                own.setdefault(peer.name, peer)
            else:
                entries.setdefault(cell.zone, []).append(peer)
    gateways = max(1, len(own)) * len(table.cells)
    by_zone = {zone: tuple(peers) for zone, peers in entries.items()}
    return Candidates(tuple(own.values()), by_zone, tuple(configured), gateways)
