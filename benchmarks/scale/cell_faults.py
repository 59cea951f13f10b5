"""Faults in a fleet of cells, of which the first few are played in full: scenarios of `faults.py`.

Figures are of the gateways in full; those that name the fleet are of all. Routes of calls are sampled
once a second by each gateway in full (`gaproute/hollow/cells/route_sampler.py`): whether an entry gateway is
there is looked up without the network, so that regions that are cut off from each other do not show in them.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, ClassVar

from benchmarks.scale.watched import Figures, WatchedFleet
from gaproute.decisions.cells.version import Version
from gaproute.hollow import HollowGateway
from gaproute.hollow.cells import CELL_PARTS, CellFleet, CellPlan
from gaproute.hollow.simulation.fleet import STEP
from gaproute.interface import ListedHost
from gaproute.shared.membership import Membership, MemberState

FULL = 3  # cells played in full
HOSTS = 256  # of a cell
LOST_ZONE = 1  # one of its cells is played in full
SETTLE, CALM = 20, 10  # simulated seconds
GONE = 60  # simulated seconds that a zone is away
PARTED = 600  # simulated seconds that regions do not hear each other
PUBLISHED = 10  # rows that change meanwhile
LONG = 120  # simulated seconds until which something is waited for
LAG = 400_000_000  # ns by which a slow gateway runs late
SLOW_EACH, SLOW_NUMBER = 100, 50  # gateways 50, 150, ... are slow
LEFT_OUT_EACH = 10  # one host in so many is not in the shorter list
ROUTES = ("calls", "failed", "unreached")
# For long plays.
WITHOUT_DEMAND = {name: CELL_PARTS[name] for name in ("membership", "tables", "hosts")}


class WatchedCellFleet(WatchedFleet):
    """Looks at the gateways played in full. `options`: as of `CellFleet`."""

    COUNTED: ClassVar[tuple[str, ...]] = (
        "membership.suspicions",
        "membership.refused",
        "demand.refused",
        "tables.refused",
    )
    fleet: CellFleet

    def __init__(self, size: int, seed: int, **options: Any) -> None:
        self.size, self._published = size, 0
        self.fleet = CellFleet(size, seed=seed, hosts=HOSTS, full_cells=FULL, **options)
        self.fleet.run(SETTLE)

    def gateways(self) -> dict[str, HollowGateway]:
        """Those in full."""
        return {gateway.name: gateway for gateway in self.fleet.full_gateways()}

    def all_consider_all_alive(self) -> bool:
        """Whether all in full consider the running gateways of their cell alive."""
        plan, running = self.fleet.plan, self.fleet.gateways
        return all(
            _considers_alive(membership, other.name)
            for name, membership in self.memberships().items()
            for other in plan.gateways(plan.cell_of(name))
            if other.name != name and other.name in running
        )

    def all_have_hosts(self) -> bool:
        """Whether the gateways in full have all hosts of the cells that they know."""
        return all(
            len(decisions.hosts_by_id) == HOSTS
            for gateway in self.gateways().values()
            for decisions in gateway.parts["hosts"].decisions.gateways()
        )

    def all_ready(self) -> bool:
        """Whether all gateways in full have table and hosts."""
        return all(gateway.parts["hosts"].is_ready for gateway in self.gateways().values())

    def publish(self) -> Version:
        """Change a row; the version."""
        self._published += 1
        cell = self._published % self.fleet.plan.cells
        return self.fleet.publish(cell, HOSTS - 1 - self._published % 2)

    def publish_rows(self) -> Version:
        """Change some rows, a second apart; the last version."""
        for _ in range(PUBLISHED):
            version = self.publish()
            self.fleet.run(1)
        return version

    def share_with(self, version: Version) -> float:
        """The share of the whole fleet's gateways that have the version."""
        gateways = self.fleet.gateways.values()
        versions: list[Version] = [gateway.parts["tables"].version for gateway in gateways]
        return round(sum(present >= version for present in versions) / len(versions), 4)

    def run_until_all_have(self, version: Version) -> float | None:
        """Simulated seconds until all of the fleet have the version."""
        return self.fleet.run_until(lambda: self.fleet.all_have_version(version), LONG, STEP // 5)

    def route_counts(self) -> dict[str, int]:
        """Calls, those without any route, and attempts at entries that were gone, so far."""
        totals = self.fleet.totals(self.gateways().values())
        return {figure: totals[f"hosts.{figure}"] for figure in ROUTES}


def _considers_alive(membership: Membership, name: str) -> bool:
    return name in membership.members and membership.members[name].state == MemberState.ALIVE


def cells_zone_gone(size: int, seed: int) -> Figures:
    """A thirteenth of the cells' gateways ends; a minute later all are back at once, without a table."""
    watched = WatchedCellFleet(size, seed)
    fleet = watched.fleet
    figures: Figures = {"calm_bytes_per_s": watched.bytes_per_second(CALM)}
    lost = fleet.rows_of_zone(LOST_ZONE)
    for row in lost:
        fleet.kill(row.name)
    figures["lost_gateways"] = len(lost)
    before = watched.route_counts()
    version = watched.publish_rows()
    figures["others_hold_s"] = watched.run_until_all_have(version)
    fleet.run(GONE - PUBLISHED)
    after = watched.route_counts()
    figures |= {f"{name}_while_gone": after[name] - before[name] for name in after}
    for row in lost:
        fleet.start(row, has_table=False)
    watched.measure_healing(
        figures,
        whole_again_s=watched.all_consider_all_alive,
        fleet_holds_again_s=lambda: fleet.all_have_version(version),
        ready_again_s=watched.all_ready,
    )
    return watched.finish(figures)


def cells_parted(size: int, seed: int) -> Figures:
    """Five regions are cut off from each other for ten minutes while rows change in one."""
    watched = WatchedCellFleet(size, seed, part_factories=WITHOUT_DEMAND)
    fleet = watched.fleet
    figures: Figures = {"calm_bytes_per_s": watched.bytes_per_second(CALM)}
    region = {row.name: fleet.network.region(row.name) for row in fleet.rows}
    fleet.network.blocked = lambda sender, receiver: region[sender] != region[receiver]
    version = watched.publish_rows()
    fleet.run(PARTED - PUBLISHED - CALM)
    figures["parted_bytes_per_s"] = watched.bytes_per_second(CALM)
    figures["parted_fleet_share_holding"] = watched.share_with(version)
    figures["parted_held_dead"] = watched.wrongly_dead()
    fleet.network.blocked = None
    watched.measure_healing(
        figures,
        fleet_holds_s=lambda: fleet.all_have_version(version),
        whole_again_s=watched.all_consider_all_alive,
    )
    return watched.finish(figures)


def cells_slow_hundredth(size: int, seed: int) -> Figures:
    """One gateway in a hundred runs 0.4 s late in all that it does, for a minute, while rows change."""
    slow = {f"gateway-{number}" for number in range(SLOW_NUMBER, size, SLOW_EACH)}
    watched = WatchedCellFleet(size, seed, lag=lambda name: LAG if name in slow else 0)
    figures: Figures = {
        "slow_gateways": len(slow),
        "slow_in_full": len(slow & watched.gateways().keys()),
        "bytes_per_s": watched.bytes_per_second(GONE),
    }
    figures["fleet_holds_s"] = watched.run_until_all_have(watched.publish_rows())
    figures["held_dead"] = watched.wrongly_dead()
    return watched.finish(figures)


class DifferingLists:
    """While `differ`, every second gateway of a cell reads the cell's list without a tenth of the hosts."""

    def __init__(self) -> None:
        self.differ = True
        self._shorter: dict[str, Sequence[ListedHost]] = {}  # by cell

    def host_rows(self, plan: CellPlan, gateway: str, cell: str) -> Sequence[ListedHost]:
        """The list that the gateway reads of a cell."""
        rows = plan.host_rows(cell)
        number_in_cell = int(gateway.rpartition("-")[2]) // plan.cells
        if not self.differ or number_in_cell % 2 == 0:
            return rows
        if cell not in self._shorter:
            self._shorter[cell] = tuple(row for place, row in enumerate(rows) if place % LEFT_OUT_EACH)
        return self._shorter[cell]


def cells_differing_lists(size: int, seed: int) -> Figures:
    """Half of each cell's gateways read its host list without a tenth of the hosts for a minute."""
    lists = DifferingLists()
    watched = WatchedCellFleet(size, seed, host_rows_for=lists.host_rows)
    figures: Figures = {
        "alike_before": watched.all_have_hosts(),
        "bytes_per_s": watched.bytes_per_second(GONE - SETTLE),
    }
    figures["demand_refused"] = watched.fleet.totals()["demand.refused"]
    lists.differ = False
    figures["alike_s"] = watched.fleet.run_until(watched.all_have_hosts, LONG)
    figures["held_dead"] = watched.wrongly_dead()
    return watched.finish(figures)


SCENARIOS = (cells_zone_gone, cells_parted, cells_slow_hundredth, cells_differing_lists)
