"""The hard cases of campaigns: the fleet, the faults and what is done from outside in a run of each."""

from collections.abc import Callable
from typing import NamedTuple, TypeAlias

from gaproute.shared.raft import RaftNode
from gaproute.simulation.campaigns.fleet import CampaignFleet, FleetSize
from gaproute.simulation.campaigns.scene import HostBehaviour
from gaproute.simulation.campaigns.trainer import Trainer
from gaproute.simulation.events import Start
from gaproute.simulation.fault_schedule import FaultKind, ScheduledFault
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.simulation.simulation import Simulation
from gaproute.units import MILLI, SECOND

FAULT_AT = 6 * SECOND
LONG_CUT = 9 * SECOND  # outlasts every lease
CUT_ZONE = "b"

Faults: TypeAlias = tuple[ScheduledFault, ...]
FaultMaker: TypeAlias = Callable[[CampaignFleet, SeededRandom, int], Faults]  # the int: the run's end, ns


class Act(NamedTuple):
    """Something that is done from outside once, at the true time `at`, ns."""

    at: int
    act: Callable[[Trainer, Simulation], None]


def no_faults(fleet: CampaignFleet, random: SeededRandom, end: int) -> Faults:
    """None."""
    return ()


class Case(NamedTuple):
    """`name` is what results and tests call it."""

    name: str
    faults: FaultMaker = no_faults
    acts: tuple[Act, ...] = ()
    size: FleetSize = FleetSize()
    behaviour: HostBehaviour = HostBehaviour()


def cut_zone(fleet: CampaignFleet, random: SeededRandom, end: int) -> Faults:
    """The gateways, the hosts and the one Raft node of a zone hear each other only."""
    targets = tuple(fleet.numbers[name] for name in fleet.numbers if fleet.zones[name] == CUT_ZONE)
    return (ScheduledFault(FaultKind.PARTITION, FAULT_AT, FAULT_AT + LONG_CUT, targets),)


def crash_gateways(fleet: CampaignFleet, random: SeededRandom, end: int) -> Faults:
    """Seven of ten gateways crash."""
    crashed = fleet.gateways[: len(fleet.gateways) * 7 // 10]
    return tuple(_crash(fleet, name, SECOND) for name in crashed)


def crash_hosts(fleet: CampaignFleet, random: SeededRandom, end: int) -> Faults:
    """Half of the hosts crash."""
    return tuple(_crash(fleet, name, 2 * SECOND) for name in list(fleet.hosts)[::2])


def _crash(fleet: CampaignFleet, name: str, lasts: int) -> ScheduledFault:
    return ScheduledFault(FaultKind.CRASH, FAULT_AT, FAULT_AT + lasts, (fleet.numbers[name],))


def noise(fleet: CampaignFleet, random: SeededRandom, end: int) -> Faults:
    """Messages are lost, duplicated and late all the time; gateways are paused or crash."""
    faults = [
        ScheduledFault(FaultKind.LOSE_MESSAGES, SECOND, end, (), 30_000),
        ScheduledFault(FaultKind.DUPLICATE_MESSAGES, SECOND, end, (), 50_000),
    ]
    now = 5 * SECOND
    while now < end - 2 * SECOND:
        faults.append(_noisy_fault(fleet, random, now))
        now += random.between(500, 2500) * MILLI
    return tuple(faults)


def _noisy_fault(fleet: CampaignFleet, random: SeededRandom, now: int) -> ScheduledFault:
    target = fleet.numbers[random.choice(fleet.gateways)]
    kind = random.choice(
        (
            FaultKind.CRASH,
            FaultKind.PAUSE,
            FaultKind.DELAY_MESSAGES,
            FaultKind.HOLD_MESSAGES,
            FaultKind.CUT_ONE_WAY,
        )
    )
    link = fleet.numbers[random.choice(fleet.gateways)], fleet.numbers[random.choice(list(fleet.hosts))]
    until = now + random.between(200, 1500) * MILLI
    match kind:
        case FaultKind.HOLD_MESSAGES | FaultKind.CUT_ONE_WAY:
            return ScheduledFault(kind, now, until, link)
        case FaultKind.DELAY_MESSAGES:
            return ScheduledFault(kind, now, until, (), 300 * MILLI)
    return ScheduledFault(kind, now, until, (target,))


def move_on(trainer: Trainer, simulation: Simulation) -> None:
    """The trainer has new weights, whether the step is complete or not."""
    trainer.move_on(simulation)


def crash_leader(trainer: Trainer, simulation: Simulation) -> None:
    """The trainer has just moved on when the Raft group's leader crashes; it starts again after 2 s."""
    trainer.move_on(simulation)
    for slot in simulation.slot_list:
        if isinstance(slot.process, RaftNode) and slot.process.is_leader:
            simulation.crash(slot)
            simulation.push(simulation.now + 2 * SECOND, Start(slot))
            return


CASES = {
    case.name: case
    for case in (
        Case("plain"),
        Case("leader killed", acts=(Act(FAULT_AT, crash_leader),)),
        Case("fast weights", acts=tuple(Act(FAULT_AT + step * SECOND // 5, move_on) for step in range(4))),
        Case("zone cut", cut_zone),
        Case("seven of ten", crash_gateways, size=FleetSize(gateways=10)),
        Case("half of hosts", crash_hosts),
        Case("two campaigns", size=FleetSize(campaigns=2, step_tasks=160)),
        Case("slow store", size=FleetSize(step_tasks=900), behaviour=HostBehaviour(slow_store=True)),
        Case("noise", noise),
        Case("liars", behaviour=HostBehaviour(newest_answers=True)),
    )
}
