"""Whether calls of a rare function meet at one copy, from gateways that never heard of each other.

All of the fleet's gateways call, each with its own count of what it saw; those that are entries of cells are
played in full and decide within their cells. Beside the rare functions others keep the hosts busy.
"""

from collections import Counter
from random import Random

from benchmarks.fleet.clock import MILLI, SECOND
from benchmarks.scale.cells.fleet import Shape, bare_cell, place, table, with_entries
from benchmarks.scale.cells.world import CALL_TIME, IDEMPOTENT, World
from gaproute import interface as face
from gaproute.decisions.cells.choice import CellSelector
from gaproute.decisions.cells.demand import Demand, FleetScope
from gaproute.decisions.cells.entries import EntrySelector, ForwardAttempt, Forwarded
from gaproute.decisions.cells.health import CellHealth
from gaproute.decisions.cells.homes import HomeCells
from gaproute.decisions.cells.loads import CellLoads
from gaproute.decisions.cells.table import split_cell
from gaproute.decisions.chance import Chance

RARE_EVERY = 60 * SECOND  # between two calls of a rare function in the whole fleet
MAX_CELLS_TRIED = 3


class Callers:
    """Gateways of which only the choice of a cell is played, each by its own count of arrivals."""

    def __init__(self, world, made, old_made=None, old_share=0.0, random=None):
        self.world, self.random = world, random or Random(1)
        self.tables = [made, old_made or made]
        self.old_share = old_share
        self.choosers = {}  # (region, which table): CellSelector, whose demand is that of the caller at hand
        self.callers = {}  # number: (Demand, EntrySelector, which table)

    def call(self, number, function, done):
        """A call that comes to the gateway of that number; `done(found)` once, None where it failed."""
        now = self.world.clock.now
        stands = place(number, self.world.shape)
        if stands.name in self.world.nodes:
            node = self.world.nodes[stands.name]
            self.world.call(node, function, done=lambda ending, found: done(found))
            return
        demand, entries, which = self._caller(number, stands)
        chooser = self._chooser(stands, which)
        chooser.demand = demand
        demand.record_arrival(now, function)
        choices = [
            choice for _, choice in zip(range(MAX_CELLS_TRIED), chooser.cells(now, function), strict=False)
        ]
        self._forward(
            stands, entries, self.tables[which], function, [choice.cell for choice in choices], done
        )

    def _caller(self, number, stands):
        if number not in self.callers:
            shape = self.world.shape
            scope = FleetScope(shape.gateways, shape.gateways // shape.regions, self.world.keep_alive)
            which = int(self.random.random() < self.old_share)
            self.callers[number] = Demand(0, scope), EntrySelector(stands.name), which
        return self.callers[number]

    def _chooser(self, stands, which):
        key = stands.region, which
        if key not in self.choosers:
            homes = HomeCells(self.tables[which], regions=(stands.region,))
            health = CellHealth(stands.name, Chance(1), stands)
            health.adopt(self.tables[which])
            self.choosers[key] = CellSelector(
                stands, homes, None, CellLoads(), health, Chance(len(self.choosers))
            )
        return self.choosers[key]

    def _forward(self, stands, entries, made, function, names, done):
        """To an entry of the first cell; what is declined goes on to the next."""
        if not names:
            done(None)
            return
        entry = entries.pick(self.world.clock.now, made.by_name[names[0]])
        node = self.world.nodes.get(entry.name) if entry is not None else None

        def finish(ending, why, found):
            if ending == "delivered":
                done(found)
            else:
                self.world.count(f"entry {ending}")
                self._forward(stands, entries, made, function, names[1:], done)

        if node is None or not node.up:
            self._forward(stands, entries, made, function, names[1:], done)
            return
        self.world.counts["serial"] += 1
        wish = ForwardAttempt(entry, 0, Forwarded(names[0], 1))
        task = face.Request(f"c{self.world.counts['serial']}>", 0, CALL_TIME, function, 1, None, IDEMPOTENT)
        delay = self.world.delay(stands.zone, node.zone)
        self.world.clock.at(self.world.clock.now + delay, node.take, task, finish, wish.forwarded)


class Meetings:
    """Counts of calls that a copy could have awaited, and of those that found one."""

    def __init__(self, keep_alive):
        self.keep_alive = keep_alive
        self.last = {}  # function: when it last ran
        self.counts = Counter()

    def called(self, now, function, measured):
        """A call begins; returns what its end is told to."""
        last = self.last.get(function)
        allowed = measured and last is not None and now - last < self.keep_alive
        self.last[function] = now

        def done(found):
            if measured:
                self.counts["calls"] += 1
            if allowed:
                self.counts["allowed"] += 1
                self.counts["found"] += found is face.Found.WARM
                self.counts["failed"] += found is None

        return done


def two_tables(shape):
    """The table before and the one now: a cell added, one lost and one split between them."""
    rows = with_entries([bare_cell(number, shape) for number in range(shape.cells + 1)], shape)
    before = table(shape, 1, rows[:-1])
    *kept, old = rows[1:]
    return before, table(shape, 2, [*kept[1:], old, *split_cell(kept[0], "split", kept[0].entries)])


def play(shape, functions, keep_alive, seconds, warm_up, old_share=0.0, background=0.0, seed=1):
    """One play. `background`: calls a second of 200 functions that are called often."""
    random = Random(seed)
    before, now_table = two_tables(shape)
    numbers = sorted({int(entry.name[7:]) for cell in now_table.cells for entry in cell.entries})
    world = World(shape, now_table, numbers, keep_alive, seed)
    callers = Callers(world, now_table, before, old_share, random)
    meetings = Meetings(keep_alive)

    def rare(function):
        now = world.clock.now
        done = meetings.called(now, function, now >= warm_up * SECOND)
        callers.call(random.randrange(shape.gateways), function, done)
        world.clock.at(now + int(random.expovariate(1) * RARE_EVERY), rare, function)

    def busy():
        callers.call(random.randrange(shape.gateways), f"busy{random.randrange(200)}", lambda found: None)
        world.clock.at(world.clock.now + int(random.expovariate(background) * SECOND), busy)

    for number in range(functions):
        world.clock.at(random.randrange(RARE_EVERY), rare, f"rare{number}")
    if background:
        world.clock.at(MILLI, busy)
    world.clock.run(seconds * SECOND)
    allowed = max(1, meetings.counts["allowed"])
    return {
        "share that found a standing copy": round(meetings.counts["found"] / allowed, 4),
        "calls that keep-alive allowed": meetings.counts["allowed"],
        "calls that failed": meetings.counts["failed"],
        "loads": world.counts["loads"],
        "runs": world.counts["runs"],
        "full gateways": len(world.nodes),
        "mean hosts busy": round(
            sum(host.busy / host.capacity for host in world.hosts.values()) / len(world.hosts), 3
        ),
    }


SHAPE = Shape(64, 20, 16_000, entries=8)
