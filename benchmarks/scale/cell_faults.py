"""Faults in a fleet of cells, of which the first few are played in full: scenarios of `faults.py`.

Figures are of the gateways in full; those that name the fleet are of all. Routes of calls are sampled
once a second by each gateway in full (`gaproute/hollow/cells/route_sampler.py`): whether an entry gateway is
there is looked up without the network, so that regions that lose each other do not show in them.
"""

from benchmarks.scale.base_rung import STEP
from benchmarks.scale.watched import Watched
from gaproute.hollow.cells import CELL_PARTS, CellFleet
from gaproute.shared.membership import MemberState

FULL = 3  # cells played in full
HOSTS = 256  # of a cell
LOST_ZONE = 1  # one of its cells is played in full
SETTLE, CALM = 20, 10  # simulated seconds
GONE = 60  # simulated seconds that a zone is away
PARTED = 600  # simulated seconds that regions do not hear each other
PUBLISHED = 10  # rows that change meanwhile
LONG = 120  # simulated seconds until which something is waited for
LAG = 400_000_000  # ns by which a slow gateway is late
WITHOUT_DEMAND = {name: CELL_PARTS[name] for name in ("membership", "tables", "hosts")}  # for long plays


class WatchedCells(Watched):
    """`told`: as of `CellFleet`."""

    COUNTED = ("membership.suspicions", "membership.refused", "demand.refused", "tables.refused")

    def __init__(self, size, seed, **told):
        self.size, self.fleet, self.published = (
            size,
            CellFleet(size, seed=seed, hosts=HOSTS, full_cells=FULL, **told),
            0,
        )
        self.fleet.run(SETTLE)

    def gateways(self):
        """Those in full."""
        return {gateway.name: gateway for gateway in self.fleet.full_gateways()}

    def whole(self):
        """Whether all in full hold the running gateways of their cell alive."""
        plan, running = self.fleet.plan, self.fleet.gateways
        return all(
            other.name in held.members and held.members[other.name].state == MemberState.ALIVE
            for name, held in self.members().items()
            for other in plan.gateways(plan.cell_of(name))
            if other.name != name and other.name in running
        )

    def alike(self):
        """Whether the gateways in full have all hosts of the cells that they know."""
        return all(
            len(decisions.hosts_by_id) == HOSTS
            for gateway in self.gateways().values()
            for decisions in gateway.parts["hosts"].decisions.gateways()
        )

    def ready(self):
        """Whether all gateways in full have table and hosts."""
        return all(gateway.parts["hosts"].is_ready for gateway in self.gateways().values())

    def publish(self):
        """Changes a row; the version."""
        self.published += 1
        return self.fleet.publish(self.published % self.fleet.plan.cells, HOSTS - 1 - self.published % 2)

    def published_rows(self):
        """Changes some rows, a second apart; the last version."""
        for _ in range(PUBLISHED):
            version = self.publish()
            self.fleet.run(1)
        return version

    def holding(self, version):
        """The share of the whole fleet's gateways that hold the version."""
        versions = [gateway.parts["tables"].version for gateway in self.fleet.gateways.values()]
        return round(sum(held >= version for held in versions) / len(versions), 4)

    def all_hold(self, version):
        """Simulated seconds until all of the fleet hold the version."""
        return self.fleet.run_until(lambda: self.fleet.all_have_version(version), LONG, STEP // 5)

    def ways(self):
        """Calls without any way, and tries at entries that were gone, so far."""
        totals = self.fleet.totals(self.gateways().values())
        return {figure: totals[f"hosts.{figure}"] for figure in ("calls", "failed", "unreached")}


def cells_zone_gone(size, seed):
    """A thirteenth of the cells' gateways ends; a minute later all are back at once, without a table."""
    watched = WatchedCells(size, seed)
    fleet, figures = watched.fleet, {"calm_bytes_per_s": watched.bytes_per_second(CALM)}
    lost = fleet.rows_of_zone(LOST_ZONE)
    for row in lost:
        fleet.kill(row.name)
    figures["lost_gateways"] = len(lost)
    before = watched.ways()
    version = watched.published_rows()
    figures["others_hold_s"] = watched.all_hold(version)
    fleet.run(GONE - PUBLISHED)
    after = watched.ways()
    figures |= {f"{name}_while_gone": after[name] - before[name] for name in after}
    for row in lost:
        fleet.start(row, has_table=False)
    watched.healing(
        figures,
        whole_again_s=watched.whole,
        fleet_holds_again_s=lambda: fleet.all_have_version(version),
        ready_again_s=watched.ready,
    )
    return watched.ended(figures)


def cells_parted(size, seed):
    """Five regions lose each other for ten minutes, rows change in one, and they find each other again."""
    watched = WatchedCells(size, seed, part_factories=WITHOUT_DEMAND)
    fleet, figures = watched.fleet, {"calm_bytes_per_s": watched.bytes_per_second(CALM)}
    region = {row.name: fleet.network.region(row.name) for row in fleet.rows}
    fleet.network.blocked = lambda sender, receiver: region[sender] != region[receiver]
    version = watched.published_rows()
    fleet.run(PARTED - PUBLISHED - CALM)
    figures["parted_bytes_per_s"] = watched.bytes_per_second(CALM)
    figures["parted_fleet_share_holding"] = watched.holding(version)
    figures["parted_held_dead"] = watched.wrongly_dead()
    fleet.network.blocked = None
    watched.healing(
        figures, fleet_holds_s=lambda: fleet.all_have_version(version), whole_again_s=watched.whole
    )
    return watched.ended(figures)


def cells_slow_hundredth(size, seed):
    """One gateway in a hundred runs 0.4 s late in all that it does, for a minute, while rows change."""
    slow = {f"gateway-{number}" for number in range(size) if number % 100 == 50}
    watched = WatchedCells(size, seed, lag=lambda name: LAG if name in slow else 0)
    figures = {"slow_gateways": len(slow), "slow_in_full": len(slow & watched.gateways().keys())}
    figures["bytes_per_s"] = watched.bytes_per_second(GONE)
    figures["fleet_holds_s"] = watched.all_hold(watched.published_rows())
    figures["held_dead"] = watched.wrongly_dead()
    return watched.ended(figures)


class DifferingLists:
    """Every second gateway of a cell reads the cell's list without a tenth of the hosts, while `differ`."""

    def __init__(self):
        self.differ, self.shorter = True, {}

    def __call__(self, plan, name, cell):
        rows = plan.host_rows(cell)
        if not self.differ or int(name.rpartition("-")[2]) // plan.cells % 2 == 0:
            return rows
        if cell not in self.shorter:
            self.shorter[cell] = tuple(row for place, row in enumerate(rows) if place % 10)
        return self.shorter[cell]


def cells_differing_lists(size, seed):
    """Half of each cell's gateways read its host list without a tenth of the hosts for a minute."""
    lists = DifferingLists()
    watched = WatchedCells(size, seed, host_rows_for=lists)
    figures = {"alike_before": watched.alike(), "bytes_per_s": watched.bytes_per_second(GONE - SETTLE)}
    figures["demand_refused"] = watched.fleet.totals()["demand.refused"]
    lists.differ = False
    figures["alike_s"] = watched.fleet.run_until(watched.alike, LONG)
    figures["held_dead"] = watched.wrongly_dead()
    return watched.ended(figures)


SCENARIOS = (cells_zone_gone, cells_parted, cells_slow_hundredth, cells_differing_lists)
