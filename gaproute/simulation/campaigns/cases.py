"""The hard cases of campaigns, each a script with a seed."""

from typing import NamedTuple

from gaproute.simulation.campaigns.gateway import SimulatedGateway
from gaproute.simulation.fault_schedule import ScheduledFault
from gaproute.simulation.simulation import START

MILLI, SECOND = 1_000_000, 1_000_000_000

AT, LONG = 6 * SECOND, 9 * SECOND  # when a fault begins; a cut that outlasts every permit


def none(play):
    return ()


class Case(NamedTuple):
    """`acts`: [(true time, what(play, world))]; `tasks`: of a step, so many that weights move every few
    seconds."""

    name: str
    faults: object = none
    acts: tuple = ()
    two: bool = False
    store: bool = False
    gateways: int = 6
    hosts: int = 8
    tasks: int = 240
    floor: int = 1  # lanes of each host that are never taken
    liars: bool = False  # hosts answer by their newest copy, whatever was named


def zone_cut(play):
    """Gateways, hosts and the one keeper of a zone hear each other only."""
    who = tuple(play.numbers[name] for name in play.numbers if play.zones[name] == "b")
    return (ScheduledFault("part", AT, AT + LONG, who),)


def seven_of_ten(play):
    gone = play.gateways[: len(play.gateways) * 7 // 10]
    return tuple(ScheduledFault("crash", AT, AT + SECOND, (play.numbers[name],)) for name in gone)


def half_of_hosts(play):
    gone = list(play.hosts)[::2]
    return tuple(ScheduledFault("crash", AT, AT + 2 * SECOND, (play.numbers[name],)) for name in gone)


def noise(play):
    """Loss, doubling and late words all the time, gateways that stand still or are killed."""
    chance = play.chance
    faults = [
        ScheduledFault("lose", SECOND, play.end, (), 30_000),
        ScheduledFault("double", SECOND, play.end, (), 50_000),
    ]
    now = 5 * SECOND
    while now < play.end - 2 * SECOND:
        who = (play.numbers[chance.of(play.gateways)],)
        kind = chance.of(("crash", "pause", "slow", "hold", "cut"))
        one, other = play.numbers[chance.of(play.gateways)], play.numbers[chance.of(list(play.hosts))]
        faults.append(
            ScheduledFault(
                kind,
                now,
                now + chance.between(200, 1500) * MILLI,
                (one, other) if kind in ("hold", "cut") else () if kind == "slow" else who,
                300 * MILLI if kind == "slow" else 0,
            )
        )
        now += chance.between(500, 2500) * MILLI
    return tuple(faults)


def move(play, world):
    """The trainer has new weights, done or not."""
    for name in play.campaigns:
        play.versions[name] += 1
        world.ask(play.gateways[0], SimulatedGateway.moved, name, play.versions[name])


def kill_leader(play, world):
    """Weights have just moved on when the keeper that leads ends; it starts again after 2 s."""
    move(play, world)
    for name in play.keepers:
        seat = world.seats[name]
        if seat.actor is not None and seat.actor.is_leader:
            world.crash(seat)
            world.push(world.now + 2 * SECOND, START, seat, None, None)
            return


CASES = {
    case.name: case
    for case in (
        Case("plain"),
        Case("leader killed", acts=((AT, kill_leader),)),
        Case("fast weights", acts=tuple((AT + step * SECOND // 5, move) for step in range(4))),
        Case("zone cut", zone_cut),
        Case("seven of ten", seven_of_ten, gateways=10),
        Case("half of hosts", half_of_hosts),
        Case("two campaigns", two=True, tasks=160),
        Case("slow store", store=True, tasks=900),
        Case("noise", noise),
        Case("liars", liars=True),
    )
}
