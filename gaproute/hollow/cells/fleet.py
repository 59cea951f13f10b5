"""A fleet of hollow gateways in cells, on the simulated clock."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from functools import partial

from gaproute.decisions.cells.change import TableChange
from gaproute.decisions.cells.table import EntryGateway
from gaproute.decisions.cells.version import Version
from gaproute.hollow.cells.environment import CellGatewayEnvironment
from gaproute.hollow.cells.metered_loop import MeteredLoop
from gaproute.hollow.cells.network import CellNetwork
from gaproute.hollow.cells.part_sets import CELL_PARTS, TABLE_PARTS
from gaproute.hollow.cells.plan import FLEET, HOSTS, ZONES, CellPlan
from gaproute.hollow.cells.pulls import SimulatedPullClient, SimulatedPullServer
from gaproute.hollow.cells.shared_tables import SharedCandidates, SharedCellTables
from gaproute.hollow.gateway import HollowGateway
from gaproute.hollow.parts import PartFactory
from gaproute.hollow.simulation import GatewayLoop, GatewayRow, SimulatedFleet, SimulatedLoop
from gaproute.hollow.simulation.fleet import MAX_SEED
from gaproute.hollow.simulation.network import SimulatedDatagrams, SimulatedRaftTransport
from gaproute.interface import ListedHost
from gaproute.peers.tables import encoding
from gaproute.shared.dissemination import Peer
from gaproute.storage.cell_table_file import StoredTable

SEEDS = 4  # configured peers outside the own cell

HostRowsOf = Callable[[CellPlan, str, str], Sequence[ListedHost]]  # takes plan, gateway and cell


def planned_host_rows(plan: CellPlan, gateway: str, cell: str) -> Sequence[ListedHost]:
    """The host list of the plan, the same for every gateway."""
    return plan.host_rows(cell)


class CellFleet(SimulatedFleet):
    """`size` gateways in cells of `hosts` hosts each.

    `full_cells`: so many cells have gateways with the parts of `part_factories`, the others with the cell
    table alone; None for all. `lag`: as of `SimulatedFleet`. `host_rows_for(plan, gateway, cell)` is the host
    list of a cell that the gateway reads, `make_loop(loop, lag)` makes each gateway's loop.
    """

    network: CellNetwork

    def __init__(
        self,
        size: int,
        *,
        seed: int = 1,
        hosts: int = HOSTS,
        full_cells: int | None = None,
        part_factories: Mapping[str, PartFactory] = CELL_PARTS,
        lag: Callable[[str], int] | None = None,
        host_rows_for: HostRowsOf = planned_host_rows,
        make_loop: Callable[[SimulatedLoop, int], GatewayLoop] = MeteredLoop,
    ) -> None:
        super().__init__(size, seed=seed, part_factories=part_factories, hosts=1, lag=lag)
        self.plan = CellPlan(self.rows, hosts)
        self.full_cells = self.plan.cells if full_cells is None else min(full_cells, self.plan.cells)
        self.network = CellNetwork(self.loop, self.plan)
        self.initial_table = self._stored_table()
        self.shared_tables: SharedCellTables = {}
        self.shared_candidates: SharedCandidates = {}
        self._make_loop, self._host_rows_for = make_loop, host_rows_for

    def _stored_table(self) -> StoredTable:
        """The first table, as it is on the disks of the gateways."""
        table = self.plan.table()
        digest, data = encoding.cells_digest(table.cells), encoding.encode_table(table)
        return StoredTable(FLEET, *table.version, digest, data)

    def start(
        self, row: GatewayRow, known: Sequence[GatewayRow] | None = None, *, has_table: bool = True
    ) -> HollowGateway:
        """Start a gateway; one that runs is left as it is.

        `known`: the gateways that it is configured with, by default those of its cell. `has_table`: whether
        the first table is on its disk.
        """
        running = self.gateways.get(row.name)
        if running is not None:
            return running
        cell = self.plan.cell_of(row.name)
        environment = self._environment(row, self.initial_table if has_table else None)
        gateway = HollowGateway(environment, self.part_factories if cell < self.full_cells else TABLE_PARTS)
        self.gateways[row.name] = gateway
        gateway.start(self.plan.gateways(cell) if known is None else known)
        return gateway

    def _environment(self, row: GatewayRow, stored_table: StoredTable | None) -> CellGatewayEnvironment:
        return CellGatewayEnvironment(
            loop=self._make_loop(self.loop, self.lag(row.name)),
            name=row.name,
            address=row.where,
            configuration=self.configurations[0],
            seed=self.chance.below(MAX_SEED),
            open_datagrams=partial(SimulatedDatagrams, self.network, row.name),
            open_raft_transport=partial(SimulatedRaftTransport, self.network),
            open_raft_disk=self._open_disk,
            wall_clock=self.wall_clock,
            location=self.plan.location(row.name),
            fleet_name=FLEET,
            seeds=tuple(Peer(*self.rows[self.chance.below(len(self.rows))]) for _ in range(SEEDS)),
            stored_table=stored_table,
            open_pull_server=partial(SimulatedPullServer, self.network, row.name),
            open_pull_client=partial(SimulatedPullClient, self.network),
            host_rows=partial(self._host_rows_for, self.plan, row.name),
            is_entry_reachable=self.is_entry_reachable,
            shared_tables=self.shared_tables,
            shared_candidates=self.shared_candidates,
        )

    def is_entry_reachable(self, entry: EntryGateway, cell: str) -> bool:
        """Whether the entry gateway runs and knows the cell; one with the table alone is taken to know it."""
        gateway = self.gateways.get(entry.name)
        if gateway is None or gateway.environment.address != entry.address:
            return False
        hosts = gateway.parts.get("hosts")
        return hosts is None or cell in hosts.cellular.local.gateways

    def start_newcomer(self, seeds: int) -> HollowGateway:
        """Start a gateway that nobody has configured, without a table, in the first cell.

        It gets the next number of that cell, and knows the first `seeds` gateways of the cell.
        """
        number = len(self.rows)
        while self.plan.cell_of(f"gateway-{number}"):  # the first cell is always played in full
            number += 1
        row = GatewayRow(f"gateway-{number}", self.address(number))
        return self.start(row, self.plan.gateways(0)[:seeds], has_table=False)

    # Who is where

    def full_gateways(self) -> list[HollowGateway]:
        """The running gateways with all parts."""
        return [gateway for gateway in self.gateways.values() if "hosts" in gateway.parts]

    def gateways_of_cell(self, cell: int) -> list[HollowGateway]:
        """The running gateways of a cell."""
        return [gateway for name, gateway in self.gateways.items() if self.plan.cell_of(name) == cell]

    def rows_of_zone(self, zone: int) -> list[GatewayRow]:
        """The rows of a zone's gateways."""
        return [row for row in self.rows if self.plan.cell_of(row.name) % ZONES == zone]

    # The table

    def publish(self, cell: int, hosts: int) -> Version:
        """Publish another number of hosts for a cell, from the first gateway; the new version."""
        transport = self.gateways[self.rows[0].name].parts["tables"].transport
        current: Version = transport.table().version
        version = current._replace(number=current.number + 1)
        change = TableChange(FLEET, current, version, (self.plan.table_row(cell, hosts),))
        transport.publish_change(change)
        return version

    def all_have_version(self, version: Version) -> bool:
        """Whether every gateway's table is of that version or a later one."""
        return all(gateway.parts["tables"].version >= version for gateway in self.gateways.values())
