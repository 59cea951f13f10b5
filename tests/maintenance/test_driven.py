"""Rounds in the driver: fixed seeds keep the floor in truth, small faults put into the code are caught."""

from functools import cache

import msgspec
import pytest

from gaproute.maintenance import capacity_floor, drain_proof, schedule, warm_capacity
from gaproute.maintenance.controller import RoundController
from gaproute.maintenance.invariants import check_given
from gaproute.simulation.fault_schedule import FaultKind, ScheduledFault
from gaproute.simulation.rounds import MaintenanceRun, RunKind, play
from gaproute.simulation.rounds.baselines import OneAtATime
from gaproute.simulation.rounds.judge import BreachKind
from gaproute.simulation.units import SECOND


def verdict(seed, kind, **told):
    """The name of what was broken, or ""."""
    run, breach = play(seed, kind, **told)
    return breach.name if breach else broken(run)


def broken(run):
    return "floor" if any(each.kind == BreachKind.PROMISED for each in run.judge.breaches) else ""


# of each kind one seed that is short and in which hosts go; more seeds are played by benchmarks/rounds.py
SEEDS = {"links": 2, "died": 3, "died two": 1, "zone cut": 3, "two rounds": 1, "all": 4}


@cache
def clean(seed, kind):
    """(the run, the name of what was broken or ""): asked for before any fault is put into the code."""
    run, breach = play(seed, kind)
    return run, breach.name if breach else broken(run)


@pytest.mark.parametrize("kind", list(RunKind))
def test_a_fixed_seed_keeps_the_floor_in_truth(kind):
    run, name = clean(SEEDS.get(kind, 0), kind)
    assert name == "" and run.judge.restarts


def test_rounds_end_and_a_seed_is_one_run():
    first, again = clean(0, "none")[0], play(0, "none")[0]
    assert first.judge.ends["round0"][1:] == ("ended", "") and first.judge.restarts == len(
        first.rounds[0].hosts
    )
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
        assert run.judge.ends["round0"].stage == "ended" and not run.judge.breaches
        assert run.judge.restarts == len(run.rounds[0].hosts)


def test_one_at_a_time_with_no_regard_breaks_the_floor():
    assert [verdict(seed, "died", controller=OneAtATime) for seed in (2, 4)] == ["floor", "floor"]


def no_margin(put):
    real = capacity_floor.needs
    put(
        capacity_floor,
        "needs",
        lambda asked, demand, zones: real(
            [msgspec.structs.replace(each, margin=0) for each in asked], demand, zones
        ),
    )


def no_look_ahead(put):
    put(capacity_floor, "failures", lambda *told: [])


def no_age(put):
    put(warm_capacity, "weight", lambda age: 1000)


def counted_at_once(put):
    real = RoundController._believe

    def believe(self, now, view):
        real(self, now, view)
        for each in self.places.values():
            if each.state == "back":
                self.believed[each.name] = dict.fromkeys(each.had, view.fleet[each.name].lanes)

    put(RoundController, "_believe", believe)


def one_too_many(put):
    real = schedule.barred
    put(
        schedule,
        "barred",
        lambda asked, fleet, name, away, down=(): real(
            asked, fleet, name, list(away)[1:] if len(away) == asked.together else away, down
        ),
    )


def apart_forgotten(put):
    put(schedule, "groups", lambda *told: [])


def not_drained(put):
    put(drain_proof, "proof", lambda now, seen, marked, bounds: "host" if seen else "")


def turn_for_each(put):
    """The turn is no permit of the fleet but each round's own."""
    put(RoundController, "_turn", lambda self, now, real=RoundController._turn: _own_turn(self, now, real))


def _own_turn(running, now, real):
    from gaproute.maintenance import controller as module

    before, module.TURN = module.TURN, f"turn of {running.asked.name}"
    try:
        return real(running, now)
    finally:
        module.TURN = before


TIGHT = {"together": 3, "one_per": "", "apart": (), "zones": 0, "margin": 400, "survive": ""}
AHEAD = TIGHT | {"survive": "host", "margin": 100}
# the fault, the check that names it, what is played, how rounds are changed, a seed that shows it
MUTANTS = [
    (no_margin, "floor", "none", TIGHT, 0),
    (no_look_ahead, "floor", "died", AHEAD, 10),
    (no_age, "belief fades", "died", {}, 3),
    (counted_at_once, "nothing counts until", "none", {}, 0),
    (one_too_many, "at most", "none", {}, 0),
    (apart_forgotten, "not out together", "none", {}, 0),
    (not_drained, "no restart with requests in flight", "none", {}, 0),
    (turn_for_each, "one round has the turn", "two rounds", {}, 1),
]


def changed(words):
    return lambda asked: msgspec.structs.replace(
        asked, **words | {"together": min(len(asked.hosts), words.get("together", asked.together))}
    )


@pytest.mark.parametrize(
    "mutant, name, kind, words, seed", MUTANTS, ids=[each[0].__name__ for each in MUTANTS]
)
def test_a_small_fault_is_caught_by_name(monkeypatch, mutant, name, kind, words, seed):
    assert (verdict(seed, kind, change_round=changed(words)) if words else clean(seed, kind)[1]) == ""
    mutant(lambda where, what, put: monkeypatch.setattr(where, what, put))
    assert verdict(seed, kind, change_round=changed(words)).startswith(name)


def test_no_out_without_a_permit_or_on_an_old_fence():
    run = MaintenanceRun(3, "none")
    run.simulation.run(SECOND)
    run.simulation.crash(run.simulation.slots["crew"])  # nobody asks for the host
    for half in range(3, 80):
        run.simulation.run(half * SECOND // 2)
        slot = run.simulation.slots["s1"]
        running = slot.process.rounds[0]
        ready = [each for each in running.places.values() if each.state == "ready"]
        if ready:
            break
    now, each = slot.clock.own_time(run.simulation.now), ready[0]
    each.wish.state = "over"
    assert running.ask(now, each.name, slot.process.status(now)) == "no permit"
    came = check_given(running, now, each.name, (9, each.mark, 5), {each.name: 99})
    assert [text.partition(":")[0] for text in came] == ["no out without a permit", "no out on an old fence"]
