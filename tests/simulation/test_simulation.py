"""The simulation: the same run from the same seed, faults that do what they say, a planted fault found and
made small."""

import pytest

from gaproute.shared.raft import UnusableDiskError
from gaproute.simulation import (
    FaultSchedule,
    InvariantChecks,
    InvariantViolationError,
    ProcessCrash,
    RandomLoad,
    ScheduledFault,
    SeededRandom,
    SimulatedClock,
    SimulatedDisk,
    SimulatedNetwork,
    Simulation,
    draw,
    shrink,
)
from gaproute.simulation.fault_schedule import kept
from gaproute.simulation.invariant_checks import NeverDecreases

MILLI, SECOND = 1_000_000, 1_000_000_000


class Register:
    """Holds the largest number that it was told and tells it on; what it told is never to be forgotten."""

    synced = True

    def __init__(self, name, disk, chance, now, others):
        self.name, self.disk, self.others, self.due = name, disk, others, now
        self.number = max((int.from_bytes(record) for record in disk.read()), default=0)

    def tick(self, now):
        self.due = now + 100 * MILLI
        return [(other, ("have", self.number)) for other in self.others]

    def write(self, now, number):
        return self.hear(now, "", ("have", number))

    def hear(self, now, sender, message):
        if message[1] > self.number:
            self.number = message[1]
            self.disk.append(self.number.to_bytes(8))
            if self.synced:
                self.disk.sync()
            return [(other, ("have", self.number)) for other in self.others]
        return []


class Hasty(Register):
    synced = False


def makes(kind, size=3):
    names = [f"r{number}" for number in range(size)]
    return {
        name: lambda own, *told: kind(own, *told, [other for other in names if other != own])
        for name in names
    }


def play(plan, kind=Register):
    def ask(world, chance):
        world.ask(chance.of(world.places).name, Register.write, world.step)

    checks = InvariantChecks([NeverDecreases("never less", lambda actor: actor.number)])
    world = Simulation(
        plan, makes(kind), checks, RandomLoad([(1, ask)], 50 * MILLI, SeededRandom(plan.seed, "load"))
    )
    try:
        world.run()
    except InvariantViolationError as breach:
        return world, breach
    return world, None


def test_a_seed_is_one_run():
    runs = [play(draw(seed, 3, 8 * SECOND))[0] for seed in (1, 1, 2)]
    digests = [run.digest.intdigest() for run in runs]
    assert digests[0] == digests[1] != digests[2] and runs[0].step > 500


def test_the_sound_register_holds_and_the_hasty_one_is_found_and_made_small():
    assert all(play(draw(seed, 3, 8 * SECOND))[1] is None for seed in range(30))
    found = [breach for seed in range(30) if (breach := play(draw(seed, 3, 8 * SECOND), Hasty)[1])]
    assert len(found) > 5 and {breach.name for breach in found} == {"never less"}
    first = max(found, key=lambda breach: len(breach.plan.faults))
    small, breach = shrink(lambda plan: play(plan, Hasty)[1], first.plan, "never less")
    assert len(small.faults) == 1 < len(first.plan.faults)
    assert small.faults[0].kind in ("crash", "fuse") and breach.events
    again = play(kept(small.text()), Hasty)[1]
    assert str(again) == str(breach)


def faulted(*faults, end=3 * SECOND):
    return play(FaultSchedule(1, end, faults))[0]


@pytest.mark.parametrize("kind, count", [("cut", "cut"), ("cut both", "cut"), ("hold", "held")])
def test_faults_of_links(kind, count):
    world = faulted(ScheduledFault(kind, SECOND, 2 * SECOND, (0, 1)))
    assert world.net.counts[count] > 5 and not any(world.net.cuts)


def test_shares_and_partitions_end():
    world = faulted(
        ScheduledFault("lose", SECOND, 2 * SECOND, (), 500_000),
        ScheduledFault("double", SECOND, 2 * SECOND, (), 500_000),
        ScheduledFault("slow", SECOND, 2 * SECOND, (), SECOND),
        ScheduledFault("part", SECOND, 2 * SECOND, (0, 2)),
    )
    counts, net = world.net.counts, world.net
    assert min(counts["lost"], counts["doubled"], counts["cut"]) > 5
    assert not (net.lose or net.double or net.slow or any(net.cuts))


def test_a_process_that_was_stopped_finds_its_clock_gone_on_and_its_messages():
    world = Simulation(
        FaultSchedule(1, 3 * SECOND, (ScheduledFault("pause", SECOND, 2 * SECOND, (0,)),)), makes(Register)
    )
    world.run(1900 * MILLI)
    seat = world.seats["r0"]
    held, due = len(seat.inbox), seat.actor.due
    assert held > 5 and seat.clock.own(world.now) - due > 700 * MILLI
    world.run(2100 * MILLI)
    assert not seat.inbox and seat.actor.due > due


def test_lost_disk_and_full_disk():
    world = faulted(
        ScheduledFault("wipe", SECOND, 2 * SECOND, (0,)), ScheduledFault("full", SECOND, 2 * SECOND, (1,))
    )
    assert world.seats["r0"].disk.lives == 2 and world.counts["refused"] > 0
    assert all(seat.actor is not None for seat in world.places)
    assert len({seat.actor.number for seat in world.places}) <= 2


def test_the_net_reorders():
    net, at = SimulatedNetwork(2, SeededRandom(1)), [0] * 100
    for number in range(100):
        (at[number],) = net.arrivals(number * MILLI, 0, 1)
    assert at != sorted(at)


def test_clocks_go_both_ways():
    clock = SimulatedClock(5, 1000, -37)
    for own in (1000, 1001, 10**9 + 7):
        true = clock.true(own)
        assert clock.own(true) >= own > clock.own(true - 1) - (own == 1000)
    clock.paced(SECOND, -1_000_000)
    assert clock.own(9 * SECOND) == clock.own(SECOND) and clock.true(clock.own(SECOND) + 1) is None


def test_a_disk_loses_what_was_not_synced_and_stops_in_the_middle():
    left = set()
    for seed in range(40):
        disk = SimulatedDisk()
        disk.append(b"a")
        disk.sync()
        disk.append(b"b")
        disk.append(b"c")
        disk.crashed(SeededRandom(seed))
        left.add(tuple(disk.read()))
    assert left == {(b"a",), (b"a", b"b"), (b"a", b"b", b"c")}
    for after in (False, True):
        disk = SimulatedDisk()
        disk.light(2, after)
        disk.append(b"a")
        with pytest.raises(ProcessCrash):
            disk.sync()
        assert disk.durable == [b"a"] * after


def test_a_disk_that_failed_once_refuses_until_all_is_written_anew():
    disk = SimulatedDisk()
    disk.wrong = 28
    with pytest.raises(OSError):
        disk.append(b"a")
    disk.wrong = 0
    with pytest.raises(OSError):
        disk.sync()
    disk.replace([b"a"])
    disk.sync()
    disk.spoiled("bad")
    with pytest.raises(UnusableDiskError) as fault:
        disk.read()
    assert fault.value.why == "bad"
    disk.quarantine("bad")
    assert disk.read() == [] and disk.quarantined == [("bad", [b"a"])]
