"""A rung of gateways that go by cells: the same number of cells in full at every size, the others with the
table's carrier alone.

Figures are of the gateways played in full; those of the others begin with `table_only`.

- CPU: of the gateway's own calls, by the loop that each has (`MeteredLoop`); reading what the net brings is
  in it, the simulation's own cost and garbage collections are not.
- Memory: of a gateway's own objects (`held.py`); the process's resident memory beside it, all gateways in it.
- Rest: nothing happens. Day: a row of the table changes as often as the configuration does on a day.
- Times: until a change is held by all gateways of the fleet; a death, a newcomer: by the own cell.
"""

from benchmarks.scale.base_rung import CALM, SECOND, BaseRung, Growth
from benchmarks.scale.held import held_bytes
from benchmarks.scale.limits import MEGABYTE
from benchmarks.scale.size import CHANGES_A_SECOND
from gaproute.hollow.cells import CELL_PARTS, CellFleet
from gaproute.shared.membership import MemberState

SETTLE = 20  # simulated seconds before the counting: each has told each of its cell its demand
KNOWN_CELL, KNOWN_PLACE = 1, 4  # the gateway that dies: of a cell played in full, none of its entries
SEEDS = 3  # that a newcomer knows
FINE = SECOND // 50  # between looks whether all hold a change
WEIGHED = 33  # gateways whose memory is counted


class CellRung(BaseRung):
    """`full`: cells played in full; `hosts`: of each cell."""

    def __init__(self, size, seed, limits, full, hosts):
        super().__init__(size, limits)
        self.seed, self.full, self.hosts = seed, full, hosts
        self.changes = 0

    def made(self):
        """The fleet."""
        return CellFleet(self.size, seed=self.seed, hosts=self.hosts, full_cells=self.full)

    def measure(self):
        """Takes all figures. Errors: Stopped."""
        self.run(SETTLE)
        self.figures["full_gateways"] = len(self.fleet.full_gateways())
        self.rest()
        self.day()
        self.memory()
        self.change()
        self.death()
        self.newcomer()

    # Spans

    def rest(self):
        """Nothing happens."""
        full, others = self.span(lambda: self.run(CALM))
        self.figures |= full.rates(CELL_PARTS)
        self.figures["bytes_per_s"], self.figures["busiest_bytes_per_s"] = full.bytes()
        self.figures["cpu_percent"], self.figures["busiest_cpu_percent"] = full.cpu()
        for part in CELL_PARTS:
            entries = [counters[f"{part}.entries"] for counters in full.counters()]
            self.figures[f"{part}_entries"] = sum(entries) / len(entries)
        if others.names:
            self.figures["table_only_bytes_per_s"], _ = others.bytes()
            self.figures["table_only_cpu_percent"], _ = others.cpu()

    def day(self):
        """Rows of the table change."""
        full, _ = self.span(self.changing)
        self.figures["day_bytes_per_s"], self.figures["day_busiest_bytes_per_s"] = full.bytes()
        self.figures["day_cpu_percent"], self.figures["day_busiest_cpu_percent"] = full.cpu()
        self.figures["day_tables_bytes_per_s"] = full.rate("tables.bytes")

    def changing(self):
        """Plays the span, with a changed row as often as a day has changes."""
        end = self.fleet.loop.time + CALM * SECOND
        for _ in range(round(CALM * CHANGES_A_SECOND)):
            self.publish()
            self.run(1 / CHANGES_A_SECOND)
        self.run(max(0, end - self.fleet.loop.time) / SECOND)

    def span(self, play):
        """(growth of the gateways in full, growth of the others) while a span of `CALM` is played."""
        before = self.each()
        play()
        after, full = self.each(), {gateway.name for gateway in self.fleet.full_gateways()}
        others = [name for name in before if name not in full]
        return CellGrowth(before, after, full, CALM), CellGrowth(before, after, others, CALM)

    def each(self):
        """As of any rung, with the CPU time of the gateway's own calls."""
        return {
            name: counters | {"cpu": self.fleet.gateways[name].loop.cpu_time}
            for name, counters in super().each().items()
        }

    # State and times

    def memory(self):
        """Of gateways in full, and of the process."""
        fleet = self.fleet
        shared = (fleet, fleet.loop, fleet.network, fleet.plan, fleet.rows)
        shared += (fleet.shared_tables, fleet.shared_candidates, fleet.initial_table, *fleet.configurations)
        held = [held_bytes(gateway, shared) / MEGABYTE for gateway in fleet.full_gateways()[:WEIGHED]]
        self.figures["memory_mb"], self.figures["memory_most_mb"] = sum(held) / len(held), max(held)
        self.figures["resident_mb"] = self.resident()

    def publish(self):
        """Another number of hosts in a row; the version."""
        self.changes += 1
        cell = self.fleet.chance.below(self.fleet.plan.cells)
        return self.fleet.publish(cell, self.hosts - 1 - self.changes % 2)

    def change(self):
        """A row changes."""
        version = self.publish()
        self.figures["change_known_s"] = self.until(lambda: self.fleet.all_have_version(version), FINE)

    def death(self):
        """A gateway ends: seconds until its cell holds it dead."""
        name = self.fleet.plan.gateways(KNOWN_CELL)[KNOWN_PLACE].name
        self.fleet.kill(name)
        cell = [gateway.parts["membership"].membership for gateway in self.fleet.gateways_of_cell(KNOWN_CELL)]
        self.figures["death_known_s"] = self.until(
            lambda: all(held.members[name].state >= MemberState.DEAD for held in cell)
        )

    def newcomer(self):
        """One that nobody configured, without a table, starts: seconds until it has the table and the hosts
        that it wants, and until its cell knows it."""
        comer = self.fleet.start_newcomer(SEEDS)
        cell = [gateway.parts["membership"].membership for gateway in self.fleet.gateways_of_cell(0)]
        others = [held for held in cell if held is not comer.parts["membership"].membership]
        tables, hosts, began = comer.parts["tables"], comer.parts["hosts"], self.fleet.loop.time
        for figure, holds in (
            ("newcomer_table_s", lambda: tables.transport.table() is not None),
            ("newcomer_hosts_s", lambda: hosts.is_ready),
            ("newcomer_known_s", lambda: all(comer.name in held.members for held in others)),
        ):
            reached = self.until(holds)
            self.figures[figure] = None if reached is None else self.since(began)


class CellGrowth(Growth):
    """With CPU time."""

    def counters(self):
        """The counters at the end, of each gateway."""
        return [self.after[name] for name in self.names]

    def cpu(self):
        """CPU of a gateway's own calls in % of a core, the mean and the greatest."""
        spent = [self.after[name]["cpu"] - self.before[name]["cpu"] for name in self.names]
        percent = [100 * each / (self.span * SECOND) for each in spent]
        return sum(percent) / len(percent), max(percent)
