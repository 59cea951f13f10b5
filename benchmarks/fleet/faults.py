"""What goes wrong in a play: words that are not heard, or late, or nonsense; hosts and gateways that go and
come. Each takes the world, its watch and a chance, and is named on the command line."""

from benchmarks.fleet.clock import MILLI, SECOND
from benchmarks.fleet.hosts import Host
from benchmarks.fleet.world import ZONES
from gaproute import interface as face
from gaproute.decisions.chance import Chance

DEAF = 0.3  # of the gateways
LATE = 2 * SECOND  # the most that a word is late
PARTS = 10  # so many parts of the fleet hear a late word at one moment each
TWICE = 3  # one word in so many is heard twice
NONSENSE = 100 * MILLI  # between the words of a gateway that tells nonsense
JOIN, JOINED, BATCH = 3 * SECOND, 10 * SECOND, 500 * MILLI  # six in ten hosts are replaced in between
REPLACED = 0.6
CUT, LISTED, BACK = 4 * SECOND, 5 * SECOND, 7 * SECOND  # a zone is lost, leaves the list, is back cold
HEAL = 6 * SECOND  # two halves hear each other from then on
RESTART = 6 * SECOND  # seven tenths of the gateways
RESTARTED = 0.7


def deaf(world, watch, chance):
    """Three in ten gateways hear nothing."""
    world.hears = lambda world, teller, other, words: other.place >= DEAF * len(world.gateways)


def silent(world, watch, chance):
    """No gateway hears any other."""
    world.hears = lambda world, teller, other, words: other is teller


def oneway(world, watch, chance):
    """One half hears all, the other only itself."""
    half = len(world.gateways) // 2
    world.hears = lambda world, teller, other, words: other.place < half or teller.place >= half


def late(world, watch, chance):
    """Words come up to two seconds late, some of them twice."""

    def hears(world, teller, other, words):
        if other.place < PARTS:
            for _ in range(1 + (chance.below(TWICE) == 0)):
                world.clock.at(world.clock.now + chance.below(LATE), hand_over, other.place, words)
        return False

    def hand_over(part, words):
        for other in world.gateways[part::PARTS]:
            other.gateway.peer_message_received(world.clock.now, words)

    world.hears = hears


def nonsense(world, watch, chance):
    """One gateway tells each tenth of a second of some host that it idles, or that it is full."""

    def tell():
        teller = world.gateways[0]
        name = f"h{chance.below(len(world.hosts))}"
        words = teller.gateway.sharing.codec.encode(
            name, face.Report(cpu_busy=float(chance.below(2)), memory_busy=0.2)
        )
        if words is not None:
            world.tell(teller, words)
        world.clock.at(world.clock.now + NONSENSE, tell)

    world.clock.at(0, tell)


def join(world, watch, chance):
    """Six in ten hosts are replaced by new, cold ones within seven seconds."""
    old = [name for name in world.hosts if chance.below(1000) < 1000 * REPLACED]
    steps = (JOINED - JOIN) // BATCH

    def replace(names):
        fresh = []
        for name in names:
            host = world.hosts[name]
            host.lose()
            fresh.append(name + "n")
            world.hosts[name + "n"] = Host(host.zone, host.size, world.clock.now)
        world.list_anew()
        watch.event(fresh)

    for step in range(steps):
        world.clock.at(JOIN + step * BATCH, replace, old[step::steps])


def zone(world, watch, chance):
    """A zone is lost; it leaves the list a second later, and is back cold."""
    names = [name for name, host in world.hosts.items() if host.zone == ZONES - 1]

    def back():
        for name in names:
            world.hosts[name].back(world.clock.now)
        world.list_anew()
        watch.event(names)

    for name in names:
        world.clock.at(CUT, world.hosts[name].lose)
    world.clock.at(LISTED, world.list_anew)
    world.clock.at(BACK, back)


def heal(world, watch, chance):
    """Two halves do not hear each other, then do."""
    half = len(world.gateways) // 2
    world.hears = lambda world, teller, other, words: (
        world.clock.now >= HEAL or (other.place < half) == (teller.place < half)
    )
    world.clock.at(HEAL, lambda: watch.event(world.hosts))


def restart(world, watch, chance):
    """Seven in ten gateways are killed and start anew at one moment."""

    def all_of():
        for place in range(int(RESTARTED * len(world.gateways))):
            world.restart(place)
        watch.event(world.hosts)

    world.clock.at(RESTART, all_of)


def none(world, watch, chance):
    """All is well."""


FAULTS = {
    each.__name__: each for each in (none, deaf, silent, oneway, late, nonsense, join, zone, heal, restart)
}
WEIGHTS = {
    "uneven": lambda gateways: [
        10 * 30 if place % 10 == 0 else 1 if place % 10 == 1 else 30 for place in range(gateways)
    ]
}
SIZES = {"sizes": (0.5, 1.0, 2.0)}
THIRD = ("third",)
KINDS = (*FAULTS, *WEIGHTS, *SIZES, *THIRD)


def chance_of(seed):
    return Chance(seed + 1_000_003)
