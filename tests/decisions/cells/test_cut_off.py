"""A gateway detects by a few overdue requests that its own zone or region is cut off."""

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


def make_health(rows=None, own=OWN):
    health = CellHealth("gateway0", RandomGenerator(5), own)
    health.adopt(table(rows or cells(65)))
    return health


def record_overdue_in(health, *zones, sent=8 * SECOND):
    """Records an overdue request to one cell of each zone."""
    for zone in zones:
        health.record_overdue(NOW, f"cell{zone}", sent, "entry")


def cut_off_health(*zones):
    health = make_health()
    record_overdue_in(health, *zones)
    return health


def test_three_silent_zones_and_no_answer_from_others_mean_that_the_own_zone_is_cut_off():
    health = make_health()
    record_overdue_in(health, 5, 10)
    assert not health.faults
    record_overdue_in(health, 1)
    assert set(health.faults) == {OTHER_ZONES}
    for zone in range(1, 13):
        assert health.circuit_state(NOW, f"cell{zone}", "f") is CircuitState.OPEN
    assert health.circuit_state(NOW, "cell0", "f") is CircuitState.CLOSED
    assert health.circuit_state(NOW, "cell13", "f") is CircuitState.CLOSED


def test_three_overdue_requests_to_one_zone_do_not_mean_that_the_own_zone_is_cut_off():
    health = make_health()
    for name in ("cell5", "cell18", "cell31"):
        health.record_overdue(NOW, name, 8 * SECOND, "entry")
    assert set(health.faults) == {(FaultScope.ZONE, "zone5")}


def test_any_answer_from_outside_means_that_the_own_zone_is_not_cut_off():
    for result in (Result.OK, Result.ERROR, Result.FULL):
        health = make_health()
        record_overdue_in(health, 5, 10)
        health.record_outcome(9 * SECOND, "cell7", result)
        record_overdue_in(health, 1)
        assert not health.faults
        record_overdue_in(health, 2, 3, 4, sent=9 * SECOND + 1)
        assert set(health.faults) == {OTHER_ZONES, OTHER_REGIONS}


def test_answers_from_the_own_zone_do_not_count_as_answers_from_outside():
    health = make_health()
    record_overdue_in(health, 5, 10)
    health.record_outcome(9 * SECOND, "cell0", Result.OK)
    record_overdue_in(health, 1)
    assert OTHER_ZONES in health.faults


def test_zones_of_the_own_region_stay_usable_when_the_region_is_cut_off():
    health = make_health()
    record_overdue_in(health, 1, 2)
    health.record_outcome(9 * SECOND, "cell5", Result.OK)
    record_overdue_in(health, 3)
    assert set(health.faults) == {OTHER_REGIONS}
    assert health.circuit_state(NOW, "cell10", "f") is CircuitState.CLOSED
    assert health.circuit_state(NOW, "cell4", "f") is CircuitState.OPEN
    assert health.is_region_usable(NOW, "region0", "f")
    assert not health.is_region_usable(NOW, "region4", "f")


def test_with_two_other_zones_both_must_be_silent():
    health = make_health(cells(3, zones=3, regions=1))
    record_overdue_in(health, 1)
    assert not health.faults
    record_overdue_in(health, 2)
    assert OTHER_ZONES in health.faults


def test_a_single_other_zone_is_silent_only_by_two_of_its_cells():
    health = make_health(cells(4, zones=2, regions=1))
    record_overdue_in(health, 1)
    assert not health.faults
    record_overdue_in(health, 3)
    assert set(health.faults) == {(FaultScope.ZONE, "zone1")}


def test_one_trial_is_sent_for_all_that_lies_outside():
    health = cut_off_health(1, 2, 3)
    later = NOW + 2 * SECOND
    assert health.circuit_state(later, "cell5", "f") is CircuitState.HALF_OPEN
    health.record_trial_sent(later, "cell5")
    assert health.circuit_state(later, "cell6", "f") is CircuitState.OPEN


def test_after_the_first_answer_functions_return_one_by_one():
    health = cut_off_health(1, 2, 3)
    recovered_at = NOW + 600 * SECOND
    health.record_outcome(recovered_at, "cell7", Result.OK)
    functions = [f"f{number}" for number in range(400)]
    for part in range(11):
        at = recovered_at + part * MAX_RECOVERY_RAMP // 10
        returned = [health.circuit_state(at, "cell8", function) for function in functions].count(
            CircuitState.CLOSED
        )
        assert abs(returned / len(functions) - part / 10) < 0.1
        assert returned == [health.is_region_usable(at, "region3", function) for function in functions].count(
            True
        )
    assert not health.faults


def test_a_gateway_without_a_location_has_no_outside_domains():
    health = make_health(own=None)
    record_overdue_in(health, 1, 2, 3, 4, 5)
    assert not health.faults


def test_faults_of_outside_domains_without_cells_in_the_table_are_dropped():
    health = cut_off_health(1, 2, 3)
    health.adopt(table(cells(65)[::13], number=2))
    assert not health.faults
