"""A gateway whose zone or region is cut off finds out by a few overdue calls."""

from cells_tables import cells, table

from gaproute.decisions.cells.faults import CircuitState, FaultScope
from gaproute.decisions.cells.health import MAX_RECOVERY_RAMP, CellHealth
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.chance import RandomGenerator
from gaproute.interface import Result
from gaproute.units import SECOND

OWN = GatewayLocation("gateway0", "region0", "zone0")  # zones 5 and 10 lie in region 0 too
OTHER_ZONES, OTHER_REGIONS = (FaultScope.OTHER_ZONES, "zone0"), (FaultScope.OTHER_REGIONS, "region0")
NOW = 10 * SECOND


def made(rows=None, own=OWN):
    health = CellHealth("gateway0", RandomGenerator(5), own)
    health.adopt(table(rows or cells(65)))
    return health


def overdue(health, *zones, sent=8 * SECOND):
    """One call to a cell of each zone is overdue."""
    for zone in zones:
        health.record_overdue(NOW, f"cell{zone}", sent, "way")


def cut_off(*zones):
    health = made()
    overdue(health, *zones)
    return health


def test_three_silent_zones_and_nothing_heard_show_that_the_own_zone_is_cut_off():
    health = made()
    overdue(health, 5, 10)
    assert not health.faults
    overdue(health, 1)
    assert set(health.faults) == {OTHER_ZONES}
    for zone in range(1, 13):
        assert health.circuit_state(NOW, f"cell{zone}", "f") is CircuitState.OPEN
    assert health.circuit_state(NOW, "cell0", "f") is CircuitState.CLOSED
    assert health.circuit_state(NOW, "cell13", "f") is CircuitState.CLOSED


def test_three_calls_to_one_zone_do_not():
    health = made()
    for name in ("cell5", "cell18", "cell31"):
        health.record_overdue(NOW, name, 8 * SECOND, "way")
    assert set(health.faults) == {(FaultScope.ZONE, "zone5")}


def test_any_sign_of_life_from_outside_disproves_it():
    for result in (Result.OK, Result.ERROR, Result.FULL):
        health = made()
        overdue(health, 5, 10)
        health.record_outcome(9 * SECOND, "cell7", result)
        overdue(health, 1)
        assert not health.faults
        overdue(health, 2, 3, 4, sent=9 * SECOND + 1)
        assert set(health.faults) == {OTHER_ZONES, OTHER_REGIONS}


def test_the_own_zone_says_nothing_of_the_others():
    health = made()
    overdue(health, 5, 10)
    health.record_outcome(9 * SECOND, "cell0", Result.OK)
    overdue(health, 1)
    assert OTHER_ZONES in health.faults


def test_a_region_that_is_cut_off_keeps_its_own_zones():
    health = made()
    overdue(health, 1, 2)
    health.record_outcome(9 * SECOND, "cell5", Result.OK)
    overdue(health, 3)
    assert set(health.faults) == {OTHER_REGIONS}
    assert health.circuit_state(NOW, "cell10", "f") is CircuitState.CLOSED
    assert health.circuit_state(NOW, "cell4", "f") is CircuitState.OPEN
    assert health.region_usable(NOW, "region0", "f")
    assert not health.region_usable(NOW, "region4", "f")


def test_with_two_other_zones_both_must_be_silent():
    health = made(cells(3, zones=3, regions=1))
    overdue(health, 1)
    assert not health.faults
    overdue(health, 2)
    assert OTHER_ZONES in health.faults


def test_one_other_zone_is_judged_by_its_own_cells():
    health = made(cells(4, zones=2, regions=1))
    overdue(health, 1)
    assert not health.faults
    overdue(health, 3)
    assert set(health.faults) == {(FaultScope.ZONE, "zone1")}


def test_one_trial_for_all_that_lies_outside():
    health = cut_off(1, 2, 3)
    later = NOW + 2 * SECOND
    assert health.circuit_state(later, "cell5", "f") is CircuitState.HALF_OPEN
    health.trial_sent(later, "cell5")
    assert health.circuit_state(later, "cell6", "f") is CircuitState.OPEN


def test_the_first_answer_ends_it_and_functions_come_back_one_by_one():
    health = cut_off(1, 2, 3)
    healed = NOW + 600 * SECOND
    health.record_outcome(healed, "cell7", Result.OK)
    functions = [f"f{number}" for number in range(400)]
    for part in range(11):
        at = healed + part * MAX_RECOVERY_RAMP // 10
        back = [health.circuit_state(at, "cell8", function) for function in functions].count(
            CircuitState.CLOSED
        )
        assert abs(back / len(functions) - part / 10) < 0.1
        assert back == [health.region_usable(at, "region3", function) for function in functions].count(True)
    assert not health.faults


def test_without_a_place_nothing_is_outside():
    health = made(own=None)
    overdue(health, 1, 2, 3, 4, 5)
    assert not health.faults


def test_what_the_table_lacks_is_no_longer_outside():
    health = cut_off(1, 2, 3)
    health.adopt(table(cells(65)[::13], number=2))
    assert not health.faults
