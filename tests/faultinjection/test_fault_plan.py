"""A script or seeded chance decides which call fails; the log of one play is the script of another."""

import errno

import pytest

from gaproute.faultinjection.plan import Failure, FaultPlan, Periodic, RandomFaults, Script, ShortTransfer

FULL, REFUSED = Failure(errno.EMFILE), Failure(errno.ECONNREFUSED)


def injected(plan, call, times):
    found = []
    for _ in range(times):
        found.append(plan.inject(call))  # noqa: PERF401  # the plan logs this function's name
    return found


def test_a_script_fails_the_calls_that_it_names_and_no_others():
    plan = FaultPlan(Script.of(("accept", 3, FULL), ("connect", 1, REFUSED)))
    assert injected(plan, "accept", 4) == [None, None, FULL, None]
    assert injected(plan, "connect", 2) == [REFUSED, None]


def test_a_periodic_fault_comes_back():
    plan = FaultPlan(Periodic("accept", FULL, 2))
    assert injected(plan, "accept", 4) == [None, FULL, None, FULL]
    assert injected(plan, "connect", 2) == [None, None]
    burst = FaultPlan(Periodic("accept", FULL, 4, 2))
    assert injected(burst, "accept", 6) == [None, None, FULL, FULL, None, None]


def test_chance_fails_about_one_call_in_so_many_in_each_of_its_ways():
    plan = FaultPlan(RandomFaults(1, 20, {"accept": (FULL, REFUSED)}))
    found = [fault for fault in injected(plan, "accept", 20_000) if fault]
    assert 850 < len(found) < 1150
    assert 400 < found.count(FULL) < 600


def test_the_same_seed_fails_the_same_calls_and_another_seed_others():
    faults = {"accept": (FULL, REFUSED)}
    runs = [injected(FaultPlan(RandomFaults(seed, 5, faults)), "accept", 200) for seed in (1, 1, 2)]
    assert runs[0] == runs[1] != runs[2]


def test_what_one_call_draws_does_not_depend_on_how_often_others_are_made():
    faults = {"accept": (FULL,), "connect": (REFUSED,)}
    alone = injected(FaultPlan(RandomFaults(7, 5, faults)), "accept", 50)
    plan = FaultPlan(RandomFaults(7, 5, faults))
    beside = []
    for _ in range(50):
        beside.append(plan.inject("accept"))
        injected(plan, "connect", 3)
    assert beside == alone


def test_single_calls_may_have_other_odds():
    plan = FaultPlan(
        RandomFaults(1, 1000, {"accept": (FULL,), "connect": (REFUSED,)}, odds_of={"connect": 1})
    )
    assert injected(plan, "connect", 5) == [REFUSED] * 5


@pytest.mark.parametrize("odds", [{"odds": 0}, {"odds": 5, "odds_of": {"accept": 0}}])
def test_odds_below_one_are_an_error(odds):
    with pytest.raises(ValueError, match="one in 1 or more"):
        RandomFaults(1, faults={}, **odds)


def test_while_it_is_paused_calls_are_neither_failed_nor_counted():
    plan = FaultPlan(Script.of(("accept", 2, FULL)))
    plan.inject("accept")
    with plan.pause():
        assert injected(plan, "accept", 3) == [None] * 3
    assert plan.inject("accept") == FULL
    assert not plan.paused


def test_the_log_has_call_number_fault_and_place_and_can_be_replayed():
    plan = FaultPlan(RandomFaults(3, 4, {"accept": (FULL, ShortTransfer(1))}))
    first = injected(plan, "accept", 40)
    assert injected(FaultPlan(Script(plan.log)), "accept", 40) == first
    line = plan.log[0]
    assert first[line.occurrence - 1] == line.fault
    assert "test_fault_plan.py" in line.site
    assert line.site.endswith("injected")
    assert plan.report().splitlines()[0] == f"accept #{line.occurrence}: {line.fault} at {line.site}"


def test_faults_name_their_errno():
    assert str(FULL) == "EMFILE"
    assert str(ShortTransfer(7)) == "at most 7 bytes"
