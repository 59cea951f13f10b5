"""Simulated rounds: with fixed seeds the true floor is met; faults planted in the code are detected."""

from functools import cache

import msgspec
import pytest

from gaproute.maintenance import capacity_floor, drain_proof, host_selection, turn, warm_capacity
from gaproute.maintenance.controller import RoundController
from gaproute.maintenance.drain_proof import DrainProof
from gaproute.maintenance.host_progress import HostState
from gaproute.maintenance.invariants import check_grant
from gaproute.maintenance.orders import GrantRejection, HostGrant
from gaproute.maintenance.turn import MaintenanceTurn
from gaproute.shared.leases.requests import LeaseState
from gaproute.simulation.fault_schedule import FaultKind, ScheduledFault
from gaproute.simulation.rounds import MaintenanceRun, RunKind, play
from gaproute.simulation.rounds.baselines import OneAtATime
from gaproute.simulation.rounds.judge import BreachKind
from gaproute.units import SECOND


def verdict(seed, kind, **options):
    """The name of what was broken, or ""."""
    run, violation = play(seed, kind, **options)
    return violation.name if violation else broken(run)


def broken(run):
    return "floor" if any(each.kind == BreachKind.PROMISED for each in run.judge.breaches) else ""


# of each kind one seed that is short and in which hosts go; more seeds are played by benchmarks/rounds.py
SEEDS = {"links": 2, "died": 3, "died two": 1, "zone cut": 3, "two rounds": 1, "all": 4}


@cache
def clean(seed, kind):
    """(the run, the name of what was broken or ""): asked for before any fault is put into the code."""
    run, violation = play(seed, kind)
    return run, violation.name if violation else broken(run)


@pytest.mark.parametrize("kind", list(RunKind))
def test_a_fixed_seed_keeps_the_floor_in_truth(kind):
    run, name = clean(SEEDS.get(kind, 0), kind)
    assert name == ""
    assert run.judge.restarts


def test_rounds_end_and_a_seed_is_one_run():
    first, again = clean(0, "none")[0], play(0, "none")[0]
    assert first.judge.ends["round0"][1:] == ("ended", "")
    assert first.judge.restarts == len(first.rounds[0].hosts)
    assert first.simulation.timeline.digest.digest() == again.simulation.timeline.digest.digest()
    assert first.judge.log == again.judge.log


def test_a_scheduler_killed_at_several_times_ends_its_round():
    """Every 18 s of the round: killed, up again 3 s later; each host is out once."""
    length = clean(3, "none")[0].judge.ends["round0"].time // SECOND
    for at in range(4, min(length, 60), 18):
        run = MaintenanceRun(3, "none")
        fault = ScheduledFault(FaultKind.CRASH, at * SECOND, (at + 3) * SECOND, (run.numbers["s1"],))
        run.simulation.schedule_fault(fault, 0)
        run.run()
        assert run.judge.ends["round0"].stage == "ended"
        assert not run.judge.breaches
        assert run.judge.restarts == len(run.rounds[0].hosts)


def test_one_at_a_time_without_regard_to_capacity_breaks_the_floor():
    assert [verdict(seed, "died", controller=OneAtATime) for seed in (2, 4)] == ["floor", "floor"]


def no_margin(put):
    real = capacity_floor.strictest_floor
    put(
        capacity_floor,
        "strictest_floor",
        lambda specs, demand, zones: real(
            [msgspec.structs.replace(spec, margin=0) for spec in specs], demand, zones
        ),
    )


def no_failure_assumed(put):
    put(capacity_floor, "possible_failures", lambda *arguments: [])


def observations_never_age(put):
    put(warm_capacity, "age_weight", lambda age: 1000)


def restarted_host_counted_at_once(put):
    real = RoundController._update_estimate

    def update_estimate(self, now, status):
        real(self, now, status)
        for host in self.hosts.values():
            if host.state == HostState.RELOADING:
                lanes = status.fleet[host.name].lanes
                self.estimate.warm_lanes[host.name] = dict.fromkeys(host.previous_functions, lanes)

    put(RoundController, "_update_estimate", update_estimate)


def one_host_too_many(put):
    real = host_selection.find_conflict
    put(
        host_selection,
        "find_conflict",
        lambda spec, fleet, name, away, unavailable=(): real(
            spec, fleet, name, list(away)[1:] if len(away) == spec.max_away else away, unavailable
        ),
    )


def exclusive_groups_ignored(put):
    put(host_selection, "exclusive_groups", lambda *arguments: [])


def drain_not_awaited(put):
    put(
        drain_proof,
        "find_drain_proof",
        lambda report, ordered_at, bounds: DrainProof.HOST_REPORT if report else DrainProof.NONE,
    )


def a_turn_for_each_scheduler(put):
    """The turn is not one lease of the fleet, but one of each scheduler."""
    real = MaintenanceTurn.tick

    def tick(self, now, *, any_host_away):
        before, turn.TURN_RESOURCE = turn.TURN_RESOURCE, f"turn of {self.client.name}"
        try:
            return real(self, now, any_host_away=any_host_away)
        finally:
            turn.TURN_RESOURCE = before

    put(MaintenanceTurn, "tick", tick)


TIGHT = {
    "max_away": 3,
    "one_away_per": "",
    "exclusive_groups": (),
    "zone_share": 0,
    "margin": 400,
    "survivable_failure": "",
}
WITH_FAILURE = TIGHT | {"survivable_failure": "host", "margin": 100}
# The fault, the check that names it, what is simulated, how rounds are changed, a seed that shows it.
MUTANTS = [
    (no_margin, "floor", "none", TIGHT, 0),
    (no_failure_assumed, "floor", "died", WITH_FAILURE, 10),
    (observations_never_age, "an estimate fades", "died", {}, 3),
    (restarted_host_counted_at_once, "nothing counts until", "none", {}, 0),
    (one_host_too_many, "at most", "none", {}, 0),
    (exclusive_groups_ignored, "one host of a group", "none", {}, 0),
    (drain_not_awaited, "no restart with requests in flight", "none", {}, 0),
    (a_turn_for_each_scheduler, "one round has the turn", "two rounds", {}, 1),
]


def changed(fields):
    def change(spec):
        max_away = min(len(spec.hosts), fields.get("max_away", spec.max_away))
        return msgspec.structs.replace(spec, **fields | {"max_away": max_away})

    return change


@pytest.mark.parametrize(
    ("mutant", "name", "kind", "fields", "seed"), MUTANTS, ids=[each[0].__name__ for each in MUTANTS]
)
def test_a_planted_fault_is_detected_by_name(monkeypatch, mutant, name, kind, fields, seed):
    assert (verdict(seed, kind, change_round=changed(fields)) if fields else clean(seed, kind)[1]) == ""
    mutant(monkeypatch.setattr)
    assert verdict(seed, kind, change_round=changed(fields)).startswith(name)


def test_no_host_is_given_out_without_a_lease_or_on_an_old_fencing_token():
    run = MaintenanceRun(3, "none")
    run.simulation.run(SECOND)
    run.simulation.crash(run.simulation.slots["crew"])  # nobody asks for the host
    for half in range(3, 80):
        run.simulation.run(half * SECOND // 2)
        slot = run.simulation.slots["s1"]
        controller = slot.process.rounds[0]
        ready = [host for host in controller.hosts.values() if host.state == HostState.READY]
        if ready:
            break
    now, host = slot.clock.own_time(run.simulation.now), ready[0]
    host.lease.state = LeaseState.EXPIRED
    answer = controller.request_host(now, host.name, slot.process.status(now))
    assert answer == GrantRejection("no lease")
    grant = HostGrant(9, host.drain_mark, 5)
    violations = check_grant(controller, now, host.name, grant, {host.name: 99})
    assert [text.partition(":")[0] for text in violations] == [
        "no host out without a lease",
        "no host out on an old fencing token",
    ]
