"""Which cells may be sent to: proofs, trials, and the way back."""

from cells_tables import cells, table

from gaproute.decisions.cells.health import (
    LEAST_OUTCOMES,
    LONGEST_REST,
    LONGEST_RETURN,
    SECOND,
    SHORTEST_RETURN,
    TRIAL_TIME,
    Health,
)
from gaproute.decisions.cells.illness import OUTCOMES, Area, Illness, Permit
from gaproute.decisions.chance import Chance
from gaproute.interface import Result

FUNCTIONS = [f"f{number}" for number in range(400)]


def made(count=65, name="gateway1"):
    health = Health(name, Chance(5))
    health.adopt(table(cells(count)))
    return health


def ill(health, name="cell0"):
    return health.ill.get((Area.CELL, name))


def permits(health, now, name="cell0"):
    return [health.permit(now, name, function) for function in FUNCTIONS]


def test_one_overdue_call_proves_nothing():
    health = made()
    health.overdue(10 * SECOND, "cell0", 8 * SECOND, "way1")
    health.overdue(11 * SECOND, "cell0", 9 * SECOND, "way1")
    assert not health.ill


def test_two_ways_silent_prove_a_cell_silent():
    health = made()
    health.outcome(7 * SECOND, "cell0", Result.OK)
    health.overdue(10 * SECOND, "cell0", 8 * SECOND, "way1")
    health.overdue(10 * SECOND, "cell0", 9 * SECOND, "way2")
    assert ill(health).illness is Illness.SILENT
    assert set(permits(health, 10 * SECOND)) == {Permit.NO}
    assert set(permits(health, 10 * SECOND, "cell1")) == {Permit.YES}


def test_what_was_heard_since_disproves_silence():
    health = made()
    health.overdue(10 * SECOND, "cell0", 8 * SECOND, "way1")
    health.outcome(10 * SECOND, "cell0", Result.ERROR)
    health.overdue(11 * SECOND, "cell0", 9 * SECOND, "way2")
    assert not health.ill


def test_two_cells_of_a_zone_and_two_zones_of_a_region():
    """Cells 0 and 13 lie in zone 0, cells 5 and 18 in zone 5; both zones lie in region 0."""
    health = made()
    for number, name in enumerate(("cell0", "cell13")):
        health.overdue(10 * SECOND, name, 8 * SECOND + number, "way")
    assert health.is_ill(Area.ZONE, "zone0") and not health.is_ill(Area.REGION, "region0")
    assert health.permit(10 * SECOND, "cell26", "f") is Permit.NO
    assert health.permit(10 * SECOND, "cell5", "f") is Permit.YES
    for number, name in enumerate(("cell5", "cell18")):
        health.overdue(10 * SECOND, name, 8 * SECOND + number, "way")
    assert health.is_ill(Area.REGION, "region0")
    assert health.permit(10 * SECOND, "cell10", "f") is Permit.NO
    assert health.permit(10 * SECOND, "cell1", "f") is Permit.YES


def test_a_zone_heard_of_since_is_not_silent():
    health = made()
    health.overdue(10 * SECOND, "cell0", 8 * SECOND, "way")
    health.outcome(9 * SECOND, "cell26", Result.OK)
    health.overdue(10 * SECOND, "cell13", 8 * SECOND, "way")
    assert not health.ill


def test_a_region_of_which_one_zone_is_heard_is_not_silent():
    """Else a zone that is cut off with its gateways would take its own cells for lost."""
    health = made()
    for number, name in enumerate(("cell0", "cell13", "cell5", "cell18")):
        health.outcome(9 * SECOND, "cell10", Result.OK)
        health.overdue(10 * SECOND, name, 8 * SECOND + number, "way")
    assert health.is_ill(Area.ZONE, "zone0") and health.is_ill(Area.ZONE, "zone5")
    assert not health.is_ill(Area.REGION, "region0")
    assert health.permit(10 * SECOND, "cell10", "f") is Permit.YES


def test_refusals_of_most_calls():
    """Also at a call in five seconds, as gateways send to most cells; half of the last eight is too few."""
    health = made()
    for number in range(LEAST_OUTCOMES - 1):
        health.outcome(5 * number * SECOND, "cell0", Result.FULL)
    assert not health.ill
    health.outcome(5 * LEAST_OUTCOMES * SECOND, "cell0", Result.FULL)
    assert ill(health).illness is Illness.REFUSING
    for number in range(50):
        health.outcome(number * SECOND, "cell1", Result.FULL if number % 2 else Result.OK)
    assert not ill(health, "cell1")
    for number in range(50):
        health.outcome(number * SECOND, "cell2", Result.OK if number % 3 else Result.FULL)
    assert not ill(health, "cell2")
    for number in range(OUTCOMES):
        health.outcome(40 * number * SECOND, "cell3", Result.FULL)
    assert not ill(health, "cell3")


def test_slow_by_many_functions_and_not_by_errors_or_loads():
    health = made()
    for number in range(50):
        health.outcome(number, "cell0", Result.ERROR)
        health.outcome(number, "cell1", Result.OK)  # loads: no pace is told
        health.outcome(number, "cell2", Result.OK, 3.0)
    assert not health.ill
    for number in range(OUTCOMES):
        health.outcome(number, "cell3", Result.OK, 5.0)
    assert ill(health, "cell3").illness is Illness.SLOW


def test_one_trial_at_a_time_and_longer_rests():
    health, now = made(), 0
    health.unreachable(now, "cell0")
    rests = []
    for _ in range(9):
        begun = now
        while health.permit(now, "cell0", "f") is not Permit.TRIAL:
            assert health.permit(now, "cell0", "f") is Permit.NO
            now += SECOND // 10
        rests.append(now - begun)
        health.tried(now, "cell0")
        assert set(permits(health, now)) == {Permit.NO}
        now += SECOND // 10
        health.outcome(now, "cell0", Result.CONNECT_FAILED)
    assert rests[0] <= 1.4 * SECOND and rests[3] > 4 * rests[0]
    assert LONGEST_REST <= rests[-1] <= 1.3 * LONGEST_REST


def test_a_trial_without_answer_makes_way_for_the_next():
    health = made()
    health.unreachable(0, "cell0")
    health.tried(2 * SECOND, "cell0")
    assert health.permit(2 * SECOND + TRIAL_TIME - 1, "cell0", "f") is Permit.NO
    assert health.permit(2 * SECOND + TRIAL_TIME, "cell0", "f") is Permit.TRIAL
    health.tried(2 * SECOND + TRIAL_TIME, "cell0")
    assert ill(health).rest == 2 * SECOND and ill(health).trial == 2 * SECOND + TRIAL_TIME


def healed(health, after):
    health.unreachable(0, "cell0")
    health.tried(after, "cell0")
    health.outcome(after, "cell0", Result.OK)
    return after


def test_functions_come_back_one_by_one():
    health = made()
    now = healed(health, 600 * SECOND)
    before = 0
    for part in range(11):
        back = permits(health, now + part * LONGEST_RETURN // 10).count(Permit.YES)
        assert before <= back <= before + len(FUNCTIONS) // 5
        assert abs(back / len(FUNCTIONS) - part / 10) < 0.1
        before = back
    assert not health.ill


def test_gateways_nearly_agree_on_the_way_back_but_do_not_move_at_one_moment():
    times = {}
    for number in range(20):
        health = made(name=f"gateway{number}")
        now = healed(health, 600 * SECOND)
        for function in FUNCTIONS[:50]:
            for step in range(0, 61):
                if health.permit(now + step * SECOND, "cell0", function) is Permit.YES:
                    times.setdefault(function, []).append(step)
                    break
    spans = [max(steps) - min(steps) for steps in times.values()]
    assert max(spans) <= 8 and sorted(spans)[25] >= 3


def test_a_short_illness_is_over_soon():
    health = made()
    now = healed(health, 2 * SECOND)
    assert Permit.NO in permits(health, now)
    assert set(permits(health, now + SHORTEST_RETURN)) == {Permit.YES}


def test_falling_ill_again_on_the_way_back_rests_longer():
    health = made()
    now = healed(health, 600 * SECOND)
    health.unreachable(now + SECOND, "cell0")
    assert ill(health).healed is None and ill(health).rest == 2 * SECOND
    assert set(permits(health, now + SECOND)) == {Permit.NO}


def test_an_answer_heals_the_silent_region_at_once():
    health = made()
    for number, name in enumerate(("cell0", "cell13", "cell5", "cell18")):
        health.overdue(10 * SECOND, name, 8 * SECOND + number, "way")
    assert health.is_ill(Area.REGION, "region0")
    health.outcome(20 * SECOND, "cell10", Result.OK)
    assert not health.is_ill(Area.REGION, "region0") and not health.is_ill(Area.ZONE, "zone10")
    assert health.is_ill(Area.ZONE, "zone5")
    health.outcome(21 * SECOND, "cell5", Result.OK)
    assert not health.is_ill(Area.ZONE, "zone5")


def test_what_left_the_table_is_forgotten():
    health = made()
    health.unreachable(0, "cell0")
    health.outcome(0, "cell0", Result.OK)
    health.adopt(table(cells(65)[1:], number=2))
    assert not ill(health) and "cell0" not in health.records
    health.unreachable(0, "cell0")
    health.overdue(0, "cell0", 0, "way")
    health.outcome(0, "cell0", Result.OK)
    assert not ill(health) and "cell0" not in health.records
