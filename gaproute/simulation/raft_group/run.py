"""Keepers and holders of permits under all faults: what is played, and what must hold at each step.

A run has 3 or 5 keepers named, one more that may take another's place, and holders that take, keep up and
give back permits on a few names and pools that they all want. Kinds of runs: `common`, all faults, half of
the runs lose disks; `tight`, one name that all want, the keepers' clocks fast and the holders' slow as far as
promised, so that ends come as near to one another as they may; `forgotten`, all disks are lost at once while
a holder is cut off.
"""

from gaproute.shared.leases import LeaseClient, LeaseTable
from gaproute.shared.leases.commands import CLOCK_ERROR
from gaproute.shared.raft import RaftNode, committed, log
from gaproute.simulation.fault_schedule import MEMORY, FaultSchedule, ScheduledFault, draw
from gaproute.simulation.invariant_checks import InvariantChecks, InvariantViolationError
from gaproute.simulation.raft_group.checks import (
    LeaseValidityCheck,
    NodeStateChecks,
    SentMessageChecks,
    agreed,
    came_right,
)
from gaproute.simulation.random_load import RandomLoad
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.simulation.simulation import Simulation

MILLI, SECOND = 1_000_000, 1_000_000_000
# Of a permit, the longest too. common: a run sees many end; forgotten: longer than a founding takes.
SPANS = {"common": 2 * SECOND, "tight": 3 * SECOND, "forgotten": 8 * SECOND}
END = 16 * SECOND  # of the faults: a dozen elections
SETTLE = 12 * SECOND  # after them: a disk that failed is tried again within 5 s
EVERY = 20 * MILLI  # between requests
KEEP = 12  # entries held before a snapshot, for the run to see many (the program: 1,024)
TOGETHER = 3  # entries in one message, so that logs are caught up with in parts (the program: 64)
RATE = CLOCK_ERROR * 1_000  # millionths: clocks go wrong up to what is promised
NAMES = ("r1", "r2", "r3", "p1", "p2")
POOLS = {"p1": (3, 4), "p2": (4, 6)}  # name: sizes that are told
NARROW = 64  # in a third of the runs elections meet: timers differ by a 64th of what they should
DEEP = 20  # steps between the dear checks


class RaftGroupRun:
    """One run: `world.run()`. Where all keepers lose their disks they begin anew without what was agreed;
    then only that holds which no memory is needed for."""

    def __init__(self, plan, keepers=3, kind="common", holders=3, rate=RATE, every=DEEP):
        self.plan, self.kind, self.span = plan, kind, SPANS[kind]
        chance = SeededRandom(plan.seed, "play")
        self.named = [f"k{number}" for number in range(1, keepers + 1)]
        self.spare = f"k{keepers + 1}"
        self.keepers = [*self.named, self.spare]
        self.holders = [f"h{number}" for number in range(1, holders + 1)]
        self.told = {}  # actor: the names it goes by; others have yet to hear
        lost = {fault.who[0] for fault in plan.faults if fault.kind in MEMORY}
        # The last with a memory must not be taken out of the names: the others would begin anew.
        self.changes = kind == "common" and chance.below(3) == 0 and 2 * len(lost) < keepers
        makes = {name: self.keeper for name in self.keepers} | {name: self.holder for name in self.holders}
        asks = [(12, self.take), (5, self.give), (2, self.size)] + [(1, self.change)] * self.changes
        rates = {name: chance.of((-rate, 0, rate)) for name in makes}
        if kind == "tight":
            rates = {name: rate if name in self.keepers else -rate for name in makes}
        told = SentMessageChecks(self)
        held = LeaseValidityCheck(self.holders, POOLS, self.leader, told.leaders)
        if kind == "forgotten":
            checks = InvariantChecks(touched=[held])
        else:
            checks = InvariantChecks(
                [held, NodeStateChecks(told)], [told], [agreed(self)], [came_right(self)], every
            )
        self.world = Simulation(
            plan,
            makes,
            checks,
            RandomLoad(asks, EVERY, SeededRandom(plan.seed, "load")),
            rates,
            leader=self.leader,
            narrow=chance.of((0, 0, NARROW)),
        )

    def keeper(self, name, disk, chance, now):
        self.told[name] = tuple(self.named)
        base = 1 + self.world.now // MILLI
        table = LeaseTable(initial_wait=True, max_duration=self.span)
        return RaftNode(name, self.named, disk, chance, now, table, fencing_base=base)

    def holder(self, name, disk, chance, now):
        self.told[name] = tuple(self.named)
        return LeaseClient(name, self.named, chance, now)

    def leader(self, world):
        leading = [
            seat
            for name in self.keepers
            if (seat := world.seats[name]).actor is not None and seat.actor.is_leader
        ]
        return max(leading, key=lambda seat: seat.actor.term, default=None)

    def take(self, world, chance):
        resource, amount = chance.of(NAMES) if self.kind == "common" else NAMES[0], 1
        if resource in POOLS:
            amount = chance.between(1, 3)
        span = self.span // (chance.of((1, 1, 2, 4)) if self.kind == "common" else 1)

        def ask(actor, now):
            if len(actor.requests) < 4:
                actor.acquire(now, resource, span, amount)

        world.ask(chance.of(self.holders), ask)

    def give(self, world, chance):
        place = chance.below(4)

        def ask(actor, now):
            if place < len(actor.requests):
                actor.release(now, actor.requests[place])

        world.ask(chance.of(self.holders), ask)

    def size(self, world, chance):
        resource = chance.of(list(POOLS))
        amount = chance.of(POOLS[resource])
        world.ask(chance.of(self.holders), lambda actor, now: actor.resize_pool(now, resource, amount))

    def change(self, world, chance):
        """One name of the configuration by another, once all have the one before; each hears it when it
        may."""
        behind = [name for name, names in self.told.items() if names != tuple(self.named)]
        if behind:
            self.tell(world, chance.of(behind))
        elif (
            world.seats[self.named[0]].actor is not None
            and any(
                seat.actor is not None and seat.name in self.keepers and seat.actor.commit_index > 1
                for seat in world.places
            )
            and chance.below(6) == 0
        ):
            left = chance.of(self.named)
            self.named = sorted([name for name in self.named if name != left] + [self.spare])
            self.spare = left

    def tell(self, world, name):
        if world.ask(name, lambda actor, now: actor.set_configured_members(now, self.named)):
            self.told[name] = tuple(self.named)


def plan(seed, keepers=3, kind="common", holders=3):
    """Disks are lost in half of the common runs: of a minority in a half of these, of all but one in the
    other."""
    chance, size = SeededRandom(seed, "disks"), keepers + 1 + holders
    if kind == "forgotten":
        return FaultSchedule(seed, 2 * END + 4 * SECOND, tuple(_forgotten(chance, keepers, holders)))
    if kind == "tight":
        return draw(
            seed,
            size,
            END,
            ["crash", "cut", "cut both", "part", "pause", "slow"],
            faulty=range(keepers + 1, size),
            settle=SETTLE,
            led=True,
        )
    lost = (0, 0, (keepers - 1) // 2, keepers - 1)[chance.below(4)]
    first = chance.below(keepers)
    wiped = sorted((first + step) % keepers for step in range(lost))
    return draw(
        seed,
        size,
        END,
        wiped=wiped,
        beyond=RATE,
        settle=SETTLE,
        faulty=[*range(size), *range(keepers)],
        led=True,
    )


def _forgotten(chance, keepers, holders):
    """Once the first permits are held, one or two holders are cut off and all keepers lose their disks."""
    at = 10 * SECOND + chance.below(2 * SECOND)
    first = keepers + 1 + chance.below(holders)
    yield ScheduledFault("part", at, END, (first,))
    for number in range(keepers + 1):
        lost = at + chance.below(SECOND // 10)
        yield ScheduledFault("wipe", lost, lost + 20 * MILLI + chance.below(SECOND // 10), (number,))


def play(plan, keepers=3, kind="common", **told):
    """(Simulation, InvariantViolationError or None)."""
    made, before = RaftGroupRun(plan, keepers, kind, **told), (committed.COMPACT_AFTER, log.MAX_ENTRIES)
    committed.COMPACT_AFTER, log.MAX_ENTRIES = KEEP, TOGETHER
    try:
        made.world.run()
    except InvariantViolationError as breach:
        return made.world, breach
    finally:
        committed.COMPACT_AFTER, log.MAX_ENTRIES = before
    return made.world, None
