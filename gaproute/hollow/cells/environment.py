"""What the parts of a gateway in a fleet of cells are made with, beside what every hollow gateway has."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.table import EntryGateway
from gaproute.hollow.cells.pulls import SimulatedPullClient, SimulatedPullServer
from gaproute.hollow.cells.shared_tables import SharedCandidates, SharedCellTables
from gaproute.hollow.environment import GatewayEnvironment, PartLoop
from gaproute.interface import ListedHost
from gaproute.shared.dissemination import Peer
from gaproute.storage.cell_table_file import StoredTable


@dataclass(kw_only=True)
class CellGatewayEnvironment(GatewayEnvironment):
    """The surroundings of a gateway in a fleet of cells.

    `seeds` are configured peers outside the own cell. `stored_table` is the table on the gateway's disk, None
    for none. `open_pull_server(address)` and `open_pull_client(loop, name)` make what answers pulls of tables
    and what pulls. `host_rows(cell)` returns a cell's host list. `is_entry_reachable(entry, cell)` says
    whether the entry gateway runs and knows the cell. Gateways of a process share tables and the peers that
    they name.
    """

    location: GatewayLocation
    fleet_name: str
    seeds: tuple[Peer, ...]
    stored_table: StoredTable | None
    open_pull_server: Callable[[str], SimulatedPullServer]
    open_pull_client: Callable[[PartLoop, str], SimulatedPullClient]
    host_rows: Callable[[str], Sequence[ListedHost]]
    is_entry_reachable: Callable[[EntryGateway, str], bool]
    shared_tables: SharedCellTables
    shared_candidates: SharedCandidates
