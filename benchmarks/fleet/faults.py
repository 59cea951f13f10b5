"""What goes wrong in a play: messages that are lost, late or senseless; hosts and gateways that go and come.

Each fault is a function of the world, its observer and seeded chance. The command line takes its name.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from benchmarks.fleet.clock import MILLI, SECOND
from benchmarks.fleet.gateways import FleetGateway
from benchmarks.fleet.hosts import FleetHost
from benchmarks.fleet.measures import PlayObserver
from benchmarks.fleet.world import ZONES, FleetWorld
from gaproute import interface as face
from gaproute.decisions.chance import RandomGenerator

DEAF_SHARE = 0.3  # of the gateways
MAX_LATENESS = 2 * SECOND  # of a message
LATE_GROUPS = 10  # so many groups of gateways get a late message at one moment each
DUPLICATE_EACH = 3  # one late message in so many comes twice
SENSELESS_INTERVAL = 100 * MILLI  # between the messages of a gateway that reports nonsense
JOIN_BEGIN, JOIN_END, JOIN_STEP = 3 * SECOND, 10 * SECOND, 500 * MILLI  # when hosts are replaced
REPLACED_SHARE = 0.6  # of the hosts
ZONE_DOWN, ZONE_UNLISTED, ZONE_BACK = 4 * SECOND, 5 * SECOND, 7 * SECOND
HEALED_AT = 6 * SECOND  # two halves hear each other from then on
RESTART_AT = 6 * SECOND
RESTARTED_SHARE = 0.7  # of the gateways
CHANCE_SALT = 1_000_003  # the chance of faults is another than that of the traffic

PlayFault = Callable[[FleetWorld, PlayObserver, RandomGenerator], None]


def none(world: FleetWorld, observer: PlayObserver, chance: RandomGenerator) -> None:
    """All is well."""


def deaf(world: FleetWorld, observer: PlayObserver, chance: RandomGenerator) -> None:
    """Three in ten gateways receive no messages."""
    world.delivery_filter = lambda world, sender, receiver, payload: (
        receiver.number >= DEAF_SHARE * len(world.gateways)
    )


def silent(world: FleetWorld, observer: PlayObserver, chance: RandomGenerator) -> None:
    """No gateway hears any other."""
    world.delivery_filter = lambda world, sender, receiver, payload: receiver is sender


def oneway(world: FleetWorld, observer: PlayObserver, chance: RandomGenerator) -> None:
    """One half hears all, the other only itself."""
    half = len(world.gateways) // 2
    world.delivery_filter = lambda world, sender, receiver, payload: (
        receiver.number < half or sender.number >= half
    )


def late(world: FleetWorld, observer: PlayObserver, chance: RandomGenerator) -> None:
    """Messages come up to two seconds late, some of them twice."""

    def deliver_later(
        world: FleetWorld, sender: FleetGateway, receiver: FleetGateway, payload: bytes
    ) -> bool:
        if receiver.number < LATE_GROUPS:  # the first gateway of its group
            for _ in range(1 + (chance.below(DUPLICATE_EACH) == 0)):
                world.clock.after(chance.below(MAX_LATENESS), deliver, receiver.number, payload)
        return False

    def deliver(group: int, payload: bytes) -> None:
        for receiver in world.gateways[group::LATE_GROUPS]:
            receiver.gateway.peer_message_received(world.clock.now, payload)

    world.delivery_filter = deliver_later


def nonsense(world: FleetWorld, observer: PlayObserver, chance: RandomGenerator) -> None:
    """One gateway reports each tenth of a second of some host that it is idle, or that it is full."""

    def report() -> None:
        sender = world.gateways[0]
        host = f"h{chance.below(len(world.hosts))}"
        senseless = face.HostLoadReport(cpu_busy=float(chance.below(2)), memory_busy=0.2)
        payload = sender.gateway.report_sharing.codec.encode(host, senseless)
        if payload is not None:
            world.broadcast(sender, payload)
        world.clock.after(SENSELESS_INTERVAL, report)

    world.clock.at(0, report)


def join(world: FleetWorld, observer: PlayObserver, chance: RandomGenerator) -> None:
    """Six in ten hosts are replaced by new ones, which warm up, within seven seconds."""
    old = [name for name in world.hosts if chance.below(1000) < 1000 * REPLACED_SHARE]
    steps = (JOIN_END - JOIN_BEGIN) // JOIN_STEP

    def replace(names: Iterable[str]) -> None:
        new_names = []
        for name in names:
            host = world.hosts[name]
            host.go_down()
            new_names.append(name + "n")
            world.hosts[name + "n"] = FleetHost(host.zone, host.size, world.clock.now)
        world.publish_host_list()
        observer.event(new_names)

    for step in range(steps):
        world.clock.at(JOIN_BEGIN + step * JOIN_STEP, replace, old[step::steps])


def zone(world: FleetWorld, observer: PlayObserver, chance: RandomGenerator) -> None:
    """A zone goes down; it leaves the list a second later, and is back, warming up."""
    names = [name for name, host in world.hosts.items() if host.zone == ZONES - 1]

    def come_back() -> None:
        for name in names:
            world.hosts[name].come_back(world.clock.now)
        world.publish_host_list()
        observer.event(names)

    for name in names:
        world.clock.at(ZONE_DOWN, world.hosts[name].go_down)
    world.clock.at(ZONE_UNLISTED, world.publish_host_list)
    world.clock.at(ZONE_BACK, come_back)


def heal(world: FleetWorld, observer: PlayObserver, chance: RandomGenerator) -> None:
    """Two halves do not hear each other, then do."""
    half = len(world.gateways) // 2
    world.delivery_filter = lambda world, sender, receiver, payload: (
        world.clock.now >= HEALED_AT or (receiver.number < half) == (sender.number < half)
    )
    world.clock.at(HEALED_AT, lambda: observer.event(world.hosts))


def restart(world: FleetWorld, observer: PlayObserver, chance: RandomGenerator) -> None:
    """Seven in ten gateways are killed and start again at one moment."""

    def restart_share() -> None:
        for number in range(int(RESTARTED_SHARE * len(world.gateways))):
            world.restart(number)
        observer.event(world.hosts)

    world.clock.at(RESTART_AT, restart_share)


def uneven_weights(gateways: int) -> list[int]:
    """One gateway in ten gets ten times the traffic of most, and one in ten a thirtieth."""
    usual = 30
    by_digit = {0: 10 * usual, 1: 1}
    return [by_digit.get(number % 10, usual) for number in range(gateways)]


FAULTS: dict[str, PlayFault] = {
    fault.__name__: fault for fault in (none, deaf, silent, oneway, late, nonsense, join, zone, heal, restart)
}
# Kinds of plays that are faults of none, but of an unusual fleet or traffic.
WEIGHTS: dict[str, Callable[[int], list[int]]] = {"uneven": uneven_weights}
SIZES: dict[str, tuple[float, ...]] = {"sizes": (0.5, 1.0, 2.0)}
ONE_THIRD_SAME = ("third",)
KINDS = (*FAULTS, *WEIGHTS, *SIZES, *ONE_THIRD_SAME)


def fault_chance(seed: int) -> RandomGenerator:
    """The chance of a play's faults."""
    return RandomGenerator(seed + CHANCE_SALT)
