"""A rung of gateways that go by cells: the same number of cells in full at every size, the others with the
transport of the cell table alone.

Figures are of the gateways played in full; those of the others begin with `table_only`.

- CPU: of the gateway's own callbacks, by the loop that each has (`MeteredLoop`); reading what the network
  brings is part of it, the simulation's own cost and garbage collections are not.
- Memory: of a gateway's own objects (`reachable_memory.py`); the process's resident memory beside it, of all
  gateways together.
- Rest: nothing happens. Day: a row of the table changes as often as the configuration does on a day.
- Times: until all gateways of the fleet have a change; a death, a newcomer: by the own cell.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any, NamedTuple

from benchmarks.scale.base_rung import CALM, SECOND, BaseRung, Condition, Counters, Growth
from benchmarks.scale.limits import MEGABYTE, Limits
from benchmarks.scale.reachable_memory import reachable_bytes
from benchmarks.scale.size import CHANGES_A_SECOND
from gaproute.decisions.cells.version import Version
from gaproute.hollow.cells import CELL_PARTS, CellFleet
from gaproute.hollow.cells.metered_loop import MeteredLoop
from gaproute.shared.membership import Membership, MemberState

SETTLE = 20  # simulated seconds before the counting: each has sent each of its cell its demand
KILLED_CELL, KILLED_PLACE = 1, 4  # the gateway that dies: of a cell played in full, none of its entries
SEEDS = 3  # that a newcomer knows
FINE_STEP = SECOND // 50  # between checks whether all have a change
WEIGHED = 33  # gateways whose memory is counted


class CpuPercent(NamedTuple):
    """CPU of gateways' own callbacks, in % of a core."""

    mean: float
    busiest: float


class CellGrowth(Growth):
    """With CPU time."""

    def last_counters(self) -> list[Counters]:
        """The counters at the end, of each gateway."""
        return [self.after[name] for name in self.names]

    def cpu(self) -> CpuPercent:
        """CPU of the gateways' own callbacks."""
        spent = [self.after[name]["cpu"] - self.before[name]["cpu"] for name in self.names]
        percent = [100 * each / (self.span * SECOND) for each in spent]
        return CpuPercent(sum(percent) / len(percent), max(percent))


class SpanGrowth(NamedTuple):
    """How counters grew in a span."""

    full: CellGrowth  # of the gateways played in full
    others: CellGrowth


class CellRung(BaseRung):
    """`full_cells`: cells played in full; `hosts`: of each cell."""

    fleet: CellFleet

    def __init__(self, size: int, seed: int, limits: Limits, *, full_cells: int, hosts: int) -> None:
        super().__init__(size, limits)
        self.seed, self.full_cells, self.hosts = seed, full_cells, hosts
        self.changes = 0

    def make_fleet(self) -> CellFleet:
        """The fleet."""
        return CellFleet(self.size, seed=self.seed, hosts=self.hosts, full_cells=self.full_cells)

    def measure(self) -> None:
        """Take all figures. Errors: `LimitReachedError`."""
        self.run(SETTLE)
        self.figures["full_gateways"] = len(self.fleet.full_gateways())
        self.measure_rest()
        self.measure_day()
        self.measure_memory()
        self.measure_change()
        self.measure_death()
        self.measure_newcomer()

    # Spans

    def measure_rest(self) -> None:
        """Nothing happens."""
        full, others = self.growth_in(lambda: self.run(CALM))
        self.figures |= full.rates(CELL_PARTS)
        self.figures["bytes_per_s"], self.figures["busiest_bytes_per_s"] = full.bytes_sent()
        self.figures["cpu_percent"], self.figures["busiest_cpu_percent"] = full.cpu()
        for part in CELL_PARTS:
            entries = [counters[f"{part}.entries"] for counters in full.last_counters()]
            self.figures[f"{part}_entries"] = sum(entries) / len(entries)
        if others.names:
            self.figures["table_only_bytes_per_s"] = others.bytes_sent().mean
            self.figures["table_only_cpu_percent"] = others.cpu().mean

    def measure_day(self) -> None:
        """Rows of the table change."""
        full, _ = self.growth_in(self.play_changes)
        self.figures["day_bytes_per_s"], self.figures["day_busiest_bytes_per_s"] = full.bytes_sent()
        self.figures["day_cpu_percent"], self.figures["day_busiest_cpu_percent"] = full.cpu()
        self.figures["day_tables_bytes_per_s"] = full.rate("tables.bytes")

    def play_changes(self) -> None:
        """Play the span, with a changed row as often as a day has changes."""
        end = self.fleet.loop.time + CALM * SECOND
        for _ in range(round(CALM * CHANGES_A_SECOND)):
            self.publish()
            self.run(1 / CHANGES_A_SECOND)
        self.run(max(0, end - self.fleet.loop.time) / SECOND)

    def growth_in(self, play: Callable[[], None]) -> SpanGrowth:
        """How counters grow while a span of `CALM` is played."""
        before = self.counters()
        play()
        after, full = self.counters(), {gateway.name for gateway in self.fleet.full_gateways()}
        others = [name for name in before if name not in full]
        return SpanGrowth(CellGrowth(before, after, full, CALM), CellGrowth(before, after, others, CALM))

    def counters(self) -> dict[str, dict[str, float]]:
        """As of any rung, with the CPU time of the gateway's own callbacks."""
        return {
            name: counters | {"cpu": self._cpu_time(name)} for name, counters in super().counters().items()
        }

    def _cpu_time(self, name: str) -> int:
        loop = self.fleet.gateways[name].loop
        assert isinstance(loop, MeteredLoop)
        return loop.cpu_time

    # State and times

    def measure_memory(self) -> None:
        """Of gateways in full, and of the process."""
        fleet = self.fleet
        shared: list[Any] = [fleet, fleet.loop, fleet.network, fleet.plan, fleet.rows, fleet.shared_tables]
        shared += [fleet.shared_candidates, fleet.initial_table, *fleet.configurations]
        sizes = [reachable_bytes(gateway, shared) / MEGABYTE for gateway in fleet.full_gateways()[:WEIGHED]]
        self.figures["memory_mb"], self.figures["memory_most_mb"] = sum(sizes) / len(sizes), max(sizes)
        self.figures["resident_mb"] = self.resident_megabytes()

    def publish(self) -> Version:
        """Publish another number of hosts in a row; the version."""
        self.changes += 1
        cell = self.fleet.chance.below(self.fleet.plan.cells)
        return self.fleet.publish(cell, self.hosts - 1 - self.changes % 2)

    def measure_change(self) -> None:
        """A row changes."""
        version = self.publish()
        known_at = self.run_until(lambda: self.fleet.all_have_version(version), FINE_STEP)
        self.figures["change_known_s"] = known_at

    def memberships_of(self, cell: int) -> list[Membership]:
        """The memberships of a cell's gateways."""
        return [gateway.parts["membership"].membership for gateway in self.fleet.gateways_of_cell(cell)]

    def measure_death(self) -> None:
        """A gateway ends: seconds until its cell holds it dead."""
        name = self.fleet.plan.gateways(KILLED_CELL)[KILLED_PLACE].name
        self.fleet.kill(name)
        others = self.memberships_of(KILLED_CELL)
        self.figures["death_known_s"] = self.run_until(
            lambda: all(other.members[name].state >= MemberState.DEAD for other in others)
        )

    def measure_newcomer(self) -> None:
        """One that nobody configured, without a table, starts.

        Seconds until it has the table and the hosts that it wants, and until its cell knows it.
        """
        newcomer = self.fleet.start_newcomer(SEEDS)
        own = newcomer.parts["membership"].membership
        others = [other for other in self.memberships_of(0) if other is not own]
        tables, hosts, began = newcomer.parts["tables"], newcomer.parts["hosts"], self.fleet.loop.time
        conditions: Mapping[str, Condition] = {
            "newcomer_table_s": lambda: tables.transport.table() is not None,
            "newcomer_hosts_s": lambda: hosts.is_ready,
            "newcomer_known_s": lambda: all(newcomer.name in other.members for other in others),
        }
        for figure, condition in conditions.items():
            reached = self.run_until(condition)
            self.figures[figure] = None if reached is None else self.seconds_since(began)
