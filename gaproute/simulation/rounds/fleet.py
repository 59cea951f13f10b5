"""The fleet of a maintenance run and the rounds that are asked for, drawn from the run's seed."""

from dataclasses import dataclass

from gaproute.maintenance import MaintenanceHost, RoundSpec
from gaproute.simulation.rounds.kinds import RunKind
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.units import SECOND

COPY_SLOTS = 4  # of each host
MAX_INITIAL_COPIES = 3  # of a host, so that a slot is free
COPY_PERCENT = 55  # chance of a function to be warm at a host
CHOSEN_PERCENT = 70  # chance of a host to be in a round
PATIENT_DEADLINE = 3600 * SECOND  # by which a round is to end: no run takes so long
SHORT_DEADLINE = 220 * SECOND  # within a run


@dataclass(frozen=True, slots=True)
class DrawnFleet:
    """Hosts by name, and the functions that each has warm at the beginning."""

    zones: tuple[str, ...]
    functions: tuple[str, ...]
    hosts: dict[str, MaintenanceHost]
    copies: dict[str, tuple[str, ...]]


def draw_fleet(random: SeededRandom, size: int) -> DrawnFleet:
    """A fleet of `size` hosts in two or three zones of two racks each."""
    zones = tuple(f"z{number}" for number in range(random.between(2, 3)))
    functions = tuple(f"f{number}" for number in range(random.between(3, 5)))
    hosts = {}
    for number in range(size):
        zone = zones[number % len(zones)]
        rack = f"{zone}r{number // len(zones) % 2}"
        kind, lanes = random.choice(("a", "b")), random.choice((4, 8))
        host = MaintenanceHost(f"h{number}", zone, rack, kind, lanes, COPY_SLOTS)
        hosts[host.name] = host
    copies: dict[str, list[str]] = {name: [] for name in hosts}
    for function in functions:
        for name in hosts:
            if len(copies[name]) < MAX_INITIAL_COPIES and random.below(100) < COPY_PERCENT:
                copies[name].append(function)
    return DrawnFleet(zones, functions, hosts, {name: tuple(each) for name, each in copies.items()})


def draw_demand(random: SeededRandom, fleet: DrawnFleet) -> dict[str, int]:
    """Lanes in use by function: a part of its warm lanes, and of all lanes of the fleet."""
    all_lanes = sum(host.lanes for host in fleet.hosts.values())
    most = all_lanes * random.between(10, 45) // 100 // len(fleet.functions)
    demand = {}
    for function in fleet.functions:
        warm = sum(host.lanes for host in fleet.hosts.values() if function in fleet.copies[host.name])
        demand[function] = max(1, min(warm * random.between(15, 60) // 100, most))
    return demand


def draw_round(
    random: SeededRandom, fleet: DrawnFleet, kind: RunKind, number: int, out_time: int
) -> RoundSpec:
    """The `number`th round; where there are two, each has every other host. `out_time`: ns."""
    chosen = [name for name in fleet.hosts if random.below(100) < CHOSEN_PERCENT] or list(fleet.hosts)
    if kind.has_two_rounds:
        chosen = [name for place, name in enumerate(fleet.hosts) if place % 2 == number]
    return RoundSpec(
        name=f"round{number}",
        hosts=tuple(chosen),
        max_absence=out_time,
        max_away=min(len(chosen), random.between(1, 3)),
        deadline=SHORT_DEADLINE if kind.includes(RunKind.NEVER_BACK) else PATIENT_DEADLINE,
        one_away_per=random.choice(("", "", "rack", "zone")),
        margin=random.choice((100, 250, 400)),
        zone_share=random.choice((0, 0, 300)),
        survivable_failure=random.choice(("host", "host", "host", "", "rack")),
        exclusive_groups=(tuple(chosen[:2]),) if len(chosen) > 1 and random.below(3) == 0 else (),
    )
