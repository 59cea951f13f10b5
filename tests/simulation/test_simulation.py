"""The simulation: the same run from the same seed, faults that do what they say, a planted fault found and
made small."""

import pytest

from gaproute.shared.raft import UnusableDiskError
from gaproute.simulation import (
    FaultKind,
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
    draw_schedule,
    shrink,
)
from gaproute.simulation.clock import STOPPED
from gaproute.simulation.invariant_checks import NeverDecreases
from gaproute.simulation.network import MessageFate
from gaproute.simulation.simulation import ProcessEvent
from gaproute.units import MILLI, SECOND


class Register:
    """Holds the largest number that it got and sends it to the others; no number sent may be forgotten."""

    synced = True

    def __init__(self, name, disk, random, now, others):
        self.name, self.disk, self.others, self.due = name, disk, others, now
        self.number = max((int.from_bytes(record) for record in disk.read()), default=0)

    def tick(self, now):
        self.due = now + 100 * MILLI
        return [(other, self.number) for other in self.others]

    def write(self, now, number):
        return self.hear(now, "", number)

    def hear(self, now, sender, number):
        if number > self.number:
            self.number = number
            self.disk.append(self.number.to_bytes(8))
            if self.synced:
                self.disk.sync()
            return [(other, self.number) for other in self.others]
        return []


class UnsyncedRegister(Register):
    synced = False


def factories(kind, size=3):
    names = [f"r{number}" for number in range(size)]
    return {
        name: lambda own, *args: kind(own, *args, [other for other in names if other != own])
        for name in names
    }


def play(schedule, kind=Register):
    def write(simulation, random):
        simulation.ask(random.choice(simulation.slot_list).name, Register.write, simulation.timeline.step)

    checks = InvariantChecks([NeverDecreases("never less", lambda process: process.number)])
    load = RandomLoad([(1, write)], 50 * MILLI, SeededRandom(schedule.seed, "load"))
    simulation = Simulation(schedule, factories(kind), checks=checks, workload=load)
    try:
        simulation.run()
    except InvariantViolationError as violation:
        return simulation, violation
    return simulation, None


def play_seed(seed, kind=Register):
    return play(draw_schedule(seed, 3, 8 * SECOND), kind)


def test_a_seed_is_one_run():
    runs = [play_seed(seed)[0] for seed in (1, 1, 2)]
    digests = [run.timeline.digest.intdigest() for run in runs]
    assert digests[0] == digests[1] != digests[2]
    assert runs[0].timeline.step > 500


def test_the_sound_register_holds_and_the_unsynced_one_is_found_and_made_small():
    assert all(play_seed(seed)[1] is None for seed in range(30))
    found = [violation for seed in range(30) if (violation := play_seed(seed, UnsyncedRegister)[1])]
    assert len(found) > 5
    assert {violation.name for violation in found} == {"never less"}
    schedule = max((violation.position.schedule for violation in found), key=lambda each: len(each.faults))
    small, violation = shrink(lambda each: play(each, UnsyncedRegister)[1], schedule, "never less")
    assert len(small.faults) == 1 < len(schedule.faults)
    assert small.faults[0].kind in (FaultKind.CRASH, FaultKind.CRASH_IN_CALL)
    assert violation.position.events
    again = play(FaultSchedule.from_json(small.to_json()), UnsyncedRegister)[1]
    assert str(again) == str(violation)


def faulted(*faults, end=3 * SECOND):
    return play(FaultSchedule(1, end, faults))[0]


def fault(kind, targets=(), value=0):
    return ScheduledFault(kind, SECOND, 2 * SECOND, targets, value)


@pytest.mark.parametrize(
    ("kind", "fate"),
    [
        (FaultKind.CUT_ONE_WAY, MessageFate.CUT),
        (FaultKind.CUT_BOTH_WAYS, MessageFate.CUT),
        (FaultKind.HOLD_MESSAGES, MessageFate.HELD),
    ],
)
def test_faults_of_links(kind, fate):
    network = faulted(fault(kind, (0, 1))).network
    assert network.counts[fate] > 5
    assert not any(network.cuts)


def test_shares_and_partitions_end():
    network = faulted(
        fault(FaultKind.LOSE_MESSAGES, value=500_000),
        fault(FaultKind.DUPLICATE_MESSAGES, value=500_000),
        fault(FaultKind.DELAY_MESSAGES, value=SECOND),
        fault(FaultKind.PARTITION, (0, 2)),
    ).network
    fates = MessageFate.LOST, MessageFate.DUPLICATED, MessageFate.CUT
    assert min(network.counts[fate] for fate in fates) > 5
    assert not any((network.loss_rates, network.duplication_rates, network.extra_delays, any(network.cuts)))


def test_a_paused_process_finds_its_clock_gone_on_and_its_messages():
    schedule = FaultSchedule(1, 3 * SECOND, (fault(FaultKind.PAUSE, (0,)),))
    simulation = Simulation(schedule, factories(Register))
    simulation.run(1900 * MILLI)
    slot = simulation.slots["r0"]
    waiting, due = len(slot.inbox), slot.process.due
    assert waiting > 5
    assert slot.clock.own_time(simulation.now) - due > 700 * MILLI
    simulation.run(2100 * MILLI)
    assert not slot.inbox
    assert slot.process.due > due


def test_lost_disk_and_full_disk():
    simulation = faulted(fault(FaultKind.LOSE_DISK, (0,)), fault(FaultKind.DISK_FULL, (1,)))
    assert simulation.slots["r0"].disk.generation == 2
    assert simulation.counts[ProcessEvent.ERRORS] > 0
    assert all(slot.process is not None for slot in simulation.slot_list)
    assert len({slot.process.number for slot in simulation.slot_list}) <= 2


def test_the_network_reorders():
    network, at = SimulatedNetwork(2, SeededRandom(1)), [0] * 100
    for number in range(100):
        (at[number],) = network.arrivals(number * MILLI, 0, 1)
    assert at != sorted(at)


def test_clocks_go_both_ways():
    clock = SimulatedClock(5, 1000, -37)
    for own in (1000, 1001, 10**9 + 7):
        true = clock.true_time(own)
        assert clock.own_time(true) >= own > clock.own_time(true - 1) - (own == 1000)
    clock.set_drift(SECOND, STOPPED)
    assert clock.own_time(9 * SECOND) == clock.own_time(SECOND)
    assert clock.true_time(clock.own_time(SECOND) + 1) is None


def test_a_disk_loses_what_was_not_synced_and_crashes_in_the_middle():
    left = set()
    for seed in range(40):
        disk = SimulatedDisk()
        disk.append(b"a")
        disk.sync()
        disk.append(b"b")
        disk.append(b"c")
        disk.crash(SeededRandom(seed))
        left.add(tuple(disk.read()))
    assert left == {(b"a",), (b"a", b"b"), (b"a", b"b", b"c")}
    for after_effect in (False, True):
        disk = SimulatedDisk()
        disk.arm_crash(2, after_effect=after_effect)
        disk.append(b"a")
        with pytest.raises(ProcessCrash):
            disk.sync()
        assert disk.durable == [b"a"] * after_effect


def test_a_disk_that_failed_once_rejects_until_all_is_written_anew():
    disk = SimulatedDisk()
    disk.error = 28
    with pytest.raises(OSError, match="No space"):
        disk.append(b"a")
    disk.error = 0
    with pytest.raises(OSError, match="No space"):
        disk.sync()
    disk.replace([b"a"])
    disk.sync()
    disk.corrupt("bad")
    with pytest.raises(UnusableDiskError) as error:
        disk.read()
    assert error.value.reason == "bad"
    disk.quarantine("bad")
    assert disk.read() == []
    assert disk.quarantined == [("bad", [b"a"])]
