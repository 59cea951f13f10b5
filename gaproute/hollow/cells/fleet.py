"""A fleet of hollow gateways that go by cells, on the simulated clock."""

import time
from functools import partial

from gaproute.decisions.cells.change import TableChange
from gaproute.hollow.cells.environment import CellGatewayEnvironment
from gaproute.hollow.cells.part_sets import CELL_PARTS, TABLE_PARTS
from gaproute.hollow.cells.plan import FLEET, HOSTS, REGIONS, ZONES, CellPlan
from gaproute.hollow.cells.pulls import SimulatedPullClient, SimulatedPullServer
from gaproute.hollow.gateway import HollowGateway
from gaproute.hollow.simulation import GatewayLoop, GatewayRow, SimulatedFleet, SimulatedNetwork
from gaproute.hollow.simulation.network import FAR, NEAR, SimulatedDatagrams, SimulatedRaftTransport
from gaproute.peers.tables import encoding
from gaproute.shared.dissemination import Peer
from gaproute.storage.cell_table_file import StoredTable

SEEDS = 4  # configured peers outside the own cell


class MeteredLoop(GatewayLoop):
    """Counts the CPU time that the gateway's own calls take."""

    __slots__ = ("spent",)

    def __init__(self, shared, lag=0):
        super().__init__(shared, lag)
        self.spent = 0

    def at(self, when, call, *args):
        """Calls it then, and counts."""
        return super().at(when, self._metered, call, args)

    def _metered(self, call, args):
        began = time.thread_time_ns()
        call(*args)
        self.spent += time.thread_time_ns() - began


class CellNetwork(SimulatedNetwork):
    """Regions are those of the gateways' cells; `givers`: who answers pulls, by address."""

    def __init__(self, loop, plan):
        super().__init__(loop)
        self.plan, self.givers = plan, {}

    def region(self, name):
        """The number of the gateway's region."""
        return self.plan.cell_of(name) % ZONES % REGIONS

    def way(self, one, other):
        """Nanoseconds one way between two gateways (names)."""
        return NEAR if self.region(one) == self.region(other) else FAR

    def parted(self, one, other):
        """Whether nothing gets from the one to the other or back."""
        return self.blocked is not None and (self.blocked(one, other) or self.blocked(other, one))


class CellFleet(SimulatedFleet):
    """`full`: so many cells have gateways with the parts of `makers`, the others such with the table alone;
    None: all. `hosts`: of a cell. `lag`: as of `SimulatedFleet`. `rows_for(plan, name, cell)`: the host list
    of a cell that the gateway reads, by default that of the plan. `make_loop`: makes each gateway's loop."""

    def __init__(
        self,
        size,
        seed=1,
        hosts=HOSTS,
        full=None,
        makers=CELL_PARTS,
        lag=None,
        rows_for=None,
        make_loop=MeteredLoop,
    ):
        super().__init__(size, seed, makers, hosts=1, lag=lag)
        self.plan = CellPlan(self.rows, hosts)
        self.full = self.plan.cells if full is None else min(full, self.plan.cells)
        self.make_loop = make_loop
        self.rows_for = rows_for or (lambda plan, name, cell: plan.host_rows(cell))
        self.network = CellNetwork(self.loop, self.plan)
        table = self.plan.table()
        digest, data = encoding.cells_digest(table.cells), encoding.encode_table(table)
        self.kept = StoredTable(FLEET, *table.version, digest, data)
        self.shared_tables, self.shared_candidates = {}, {}

    def start(self, row, known=None, kept=True):
        """Starts a gateway. `known`: those that it is configured with, its cell's by default; `kept`: whether
        its disk has the first table."""
        if row.name in self.gateways:
            return self.gateways[row.name]
        full = self.plan.cell_of(row.name) < self.full
        environment = CellGatewayEnvironment(
            loop=self.make_loop(self.loop, self.lag(row.name)),
            name=row.name,
            address=row.where,
            configuration=self.configurations[0],
            seed=self.chance.below(1 << 30),
            open_datagrams=partial(SimulatedDatagrams, self.network, row.name),
            open_carrier=partial(SimulatedRaftTransport, self.network),
            open_votes=self._disk,
            wall=self.wall,
            place=self.plan.place(row.name),
            fleet_name=FLEET,
            seeds=tuple(Peer(*self.rows[self.chance.below(len(self.rows))]) for _ in range(SEEDS)),
            kept=self.kept if kept else None,
            open_giver=partial(SimulatedPullServer, self.network, row.name),
            open_puller=partial(SimulatedPullClient, self.network),
            host_rows=partial(self.rows_for, self.plan, row.name),
            reach=self.reach,
            shared_tables=self.shared_tables,
            shared_candidates=self.shared_candidates,
        )
        gateway = HollowGateway(environment, self.makers if full else TABLE_PARTS)
        self.gateways[row.name] = gateway
        gateway.start(self.plan.gateways(self.plan.cell_of(row.name)) if known is None else known)
        return gateway

    def reach(self, entry, cell):
        """Whether the entry gateway is there and knows the cell; one with the table alone is taken to."""
        gateway = self.gateways.get(entry.name)
        if gateway is None or gateway.environment.address != entry.address:
            return False
        hosts = gateway.parts.get("hosts")
        return hosts is None or cell in hosts.cellular.local.gateways

    def newcomer(self, seeds):
        """A gateway that nobody has configured starts in the first cell that has room by the numbers, knowing
        the first `seeds` of its cell, without a table."""
        row = GatewayRow(f"gateway-{len(self.rows)}", self.address(len(self.rows)))
        while self.plan.cell_of(row.name):  # the first cell is always played in full
            number = int(row.name.rpartition("-")[2]) + 1
            row = GatewayRow(f"gateway-{number}", self.address(number))
        return self.start(row, self.plan.gateways(0)[:seeds], kept=False)

    # Who is where

    def fully(self):
        """The gateways with all parts."""
        return [gateway for gateway in self.gateways.values() if "hosts" in gateway.parts]

    def of_cell(self, cell):
        """The running gateways of a cell."""
        return [gateway for name, gateway in self.gateways.items() if self.plan.cell_of(name) == cell]

    def of_zone(self, zone):
        """The rows of a zone's gateways."""
        return [row for row in self.rows if self.plan.cell_of(row.name) % ZONES == zone]

    # The table

    def publish(self, cell, hosts):
        """Another number of hosts in a cell's row, told by the first gateway; returns the new version."""
        carrier = self.gateways[self.rows[0].name].parts["tables"].carrier
        held = carrier.table()
        version = held.version._replace(number=held.version.number + 1)
        change = TableChange(FLEET, held.version, version, (self.plan.row(cell, hosts),))
        carrier.publish_change(change)
        return version

    def all_hold(self, version):
        """Whether every gateway's table is of that version or a later one."""
        return all(gateway.parts["tables"].version >= version for gateway in self.gateways.values())
