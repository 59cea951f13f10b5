"""What happens to calls and loads when cells, zones and regions fail and come back.

All gateways are played in full. A play has a quiet minute, the failure, and the time after its end; figures
are counts by the second.
"""

from collections import Counter
from random import Random

from benchmarks.fleet.clock import SECOND
from benchmarks.scale.cells.evenness import Popularity
from benchmarks.scale.cells.fleet import Shape, region_of, table
from benchmarks.scale.cells.world import IDEMPOTENT, NON_IDEMPOTENT, World

SHAPE = Shape(26, 20, 39, entries=3)
FUNCTIONS, EXPONENT = 3_000, 0.9
RATE = 300.0  # calls a second in all
PURE_SHARE = 0.5
KEEP_ALIVE = 600 * SECOND
NEWS = 2 * SECOND  # until gateways are told of a host that is gone
QUIET, FAILED, AFTER = 60, 60, 90  # seconds of a play's three parts
HOME = "cell0"  # the cell that fails; zone0 and region0 are where it lies


class Failure:
    """How one failure begins and ends; the parts are cells, zones or a region."""

    def __init__(self, world, cells, zones=()):
        self.world, self.cells, self.zones = world, cells, set(zones)

    def hosts(self):
        """The hosts of the cells that fail."""
        return [self.world.hosts[name] for cell in self.cells for name in self.world.members[cell]]

    def nodes(self):
        """The gateways of the zones that fail."""
        return [node for node in self.world.nodes.values() if node.zone in self.zones]

    def tell(self):
        """Gateways are told which hosts are up."""
        for node in self.world.nodes.values():
            for cell in self.cells:
                if cell in node.gateway.wanted():
                    self.world.list_cell(node, cell)


class Gone(Failure):
    """The hosts end, and in whole zones the gateways too; they come back cold."""

    def begin(self):
        """Everything stops."""
        for host in self.hosts():
            host.fail()
        for node in self.nodes():
            node.up = False
        self.world.clock.at(self.world.clock.now + NEWS, self.tell)

    def end(self):
        """Everything is back, with no copies; gateways go on with what they knew."""
        for host in self.hosts():
            host.back()
        for node in self.nodes():
            node.up, node.held = True, {}
            node.gateway.recorder.attempts.clear()
            node.housekeep_anew()
        self.world.clock.at(self.world.clock.now + NEWS, self.tell)


class Mute(Failure):
    """The hosts take calls and never answer; the list shows them as active."""

    def begin(self):
        """Answers cease."""
        for host in self.hosts():
            host.mute = True

    def end(self):
        """The processes are replaced: cold."""
        for host in self.hosts():
            host.mute = False
            host.fail()
            host.back()


class Slow(Failure):
    """The hosts take eight times as long."""

    def begin(self):
        """They crawl."""
        for host in self.hosts():
            host.slow = 8.0

    def end(self):
        """They are well; their copies stand."""
        for host in self.hosts():
            host.slow = 1.0


class Cut(Failure):
    """Nothing passes between the zones and the rest; both sides go on."""

    def begin(self):
        """The net is cut."""
        self.world.cut_off(self.zones)

    def end(self):
        """The net is whole."""
        self.world.cut.clear()


def failure_of(kind, world):
    """A failure by its name."""
    zones = [f"zone{zone}" for zone in range(world.shape.zones) if region_of(zone, world.shape) == "region0"]
    of_zone = [cell.name for cell in world.table.cells if cell.zone == "zone0"]
    of_region = [cell.name for cell in world.table.cells if cell.zone in zones]
    return {
        "cell gone": lambda: Gone(world, [HOME]),
        "cell silent": lambda: Mute(world, [HOME]),
        "cell slow": lambda: Slow(world, [HOME]),
        "zone gone": lambda: Gone(world, of_zone, ["zone0"]),
        "zone silent": lambda: Cut(world, of_zone, ["zone0"]),
        "region gone": lambda: Gone(world, of_region, zones),
        "region alone": lambda: Cut(world, of_region, zones),
    }[kind]()


KINDS = ("cell gone", "cell silent", "cell slow", "zone gone", "zone silent", "region gone", "region alone")


def play(kind, seed=1, shape=SHAPE, rate=RATE, spans=(QUIET, FAILED, AFTER), functions=FUNCTIONS):
    """One play: {part: {what: figure}}."""
    random = Random(seed)
    made = table(shape)
    world = World(shape, made, range(shape.gateways), KEEP_ALIVE, seed)
    popularity = Popularity(functions, EXPONENT, random)
    nodes = list(world.nodes.values())
    failure = failure_of(kind, world)
    ended, begun = Counter(), Counter()  # (second, side of the caller, ending), by when the call did

    def call():
        node = random.choice(nodes)
        if node.up:
            side = "inside" if node.zone in failure.zones else "outside"
            second = world.clock.now // SECOND

            def done(ending, found):
                ended[world.clock.now // SECOND, side, ending] += 1
                begun[second, side, ending] += 1

            track = IDEMPOTENT if random.random() < PURE_SHARE else NON_IDEMPOTENT
            world.call(node, popularity.draw(), track, done=done)
        world.clock.at(world.clock.now + int(random.expovariate(rate) * SECOND), call)

    quiet, failed, after = spans
    world.clock.at(0, call)
    world.clock.at(quiet * SECOND, failure.begin)
    world.clock.at((quiet + failed) * SECOND, failure.end)
    world.clock.run((quiet + failed + after) * SECOND)
    parts = {
        "before": (quiet - min(30, quiet // 2), quiet),
        "failed, first 10 s": (quiet, quiet + 10),
        "failed, then": (quiet + 10, quiet + failed),
        "back, first 10 s": (quiet + failed, quiet + failed + 10),
        "back, then": (quiet + failed + 10, quiet + failed + after),
    }
    result = {name: part(world, ended, begun, *span) for name, span in parts.items()}
    result["breaches"] = len(world.breaches)
    return result


def part(world, ended, begun, begin, end):
    """Figures of one part of a play. A call that is lost ends `CALL_TIME` after it began at the latest."""
    seconds = [world.by_second.get(second, {}) for second in range(begin, end)]

    def rate(what):
        return round(sum(each.get(what, 0) for each in seconds) / len(seconds), 2)

    def share(calls, side):
        counts = {
            ending: sum(calls[second, side, ending] for second in range(begin, end))
            for ending in ("delivered", "declined", "scrapped")
        }
        total = sum(counts.values())
        return {ending: round(count / total, 4) for ending, count in counts.items()} if total else None

    return {
        "calls a second": rate("calls"),
        "loads a second": rate("loads"),
        "most loads in a second": max((each.get("loads", 0) for each in seconds), default=0),
        "cold answers a second": rate("cold"),
        "outside": share(ended, "outside"),
        "inside": share(ended, "inside"),
        "outside, of the calls begun": share(begun, "outside"),
        "inside, of the calls begun": share(begun, "inside"),
    }
