"""A gateway whose zone or region is cut off finds out by a few overdue calls."""

from cells_tables import cells, table

from gaproute.decisions.cells.health import LONGEST_RETURN, SECOND, Health
from gaproute.decisions.cells.illness import Area, Permit
from gaproute.decisions.cells.place import Place
from gaproute.decisions.chance import Chance
from gaproute.interface import Result

OWN = Place("gateway0", "region0", "zone0")  # zones 5 and 10 lie in region 0 too
OTHER_ZONES, OTHER_REGIONS = (Area.OTHER_ZONES, "zone0"), (Area.OTHER_REGIONS, "region0")
NOW = 10 * SECOND


def made(rows=None, own=OWN):
    health = Health("gateway0", Chance(5), own)
    health.adopt(table(rows or cells(65)))
    return health


def overdue(health, *zones, sent=8 * SECOND):
    """One call to a cell of each zone is overdue."""
    for zone in zones:
        health.overdue(NOW, f"cell{zone}", sent, "way")


def cut_off(*zones):
    health = made()
    overdue(health, *zones)
    return health


def test_three_silent_zones_and_nothing_heard_show_that_the_own_zone_is_cut_off():
    health = made()
    overdue(health, 5, 10)
    assert not health.ill
    overdue(health, 1)
    assert set(health.ill) == {OTHER_ZONES}
    for zone in range(1, 13):
        assert health.permit(NOW, f"cell{zone}", "f") is Permit.NO
    assert health.permit(NOW, "cell0", "f") is Permit.YES
    assert health.permit(NOW, "cell13", "f") is Permit.YES


def test_three_calls_to_one_zone_do_not():
    health = made()
    for name in ("cell5", "cell18", "cell31"):
        health.overdue(NOW, name, 8 * SECOND, "way")
    assert set(health.ill) == {(Area.ZONE, "zone5")}


def test_any_sign_of_life_from_outside_disproves_it():
    for result in (Result.OK, Result.ERROR, Result.FULL):
        health = made()
        overdue(health, 5, 10)
        health.outcome(9 * SECOND, "cell7", result)
        overdue(health, 1)
        assert not health.ill
        overdue(health, 2, 3, 4, sent=9 * SECOND + 1)
        assert set(health.ill) == {OTHER_ZONES, OTHER_REGIONS}


def test_the_own_zone_says_nothing_of_the_others():
    health = made()
    overdue(health, 5, 10)
    health.outcome(9 * SECOND, "cell0", Result.OK)
    overdue(health, 1)
    assert OTHER_ZONES in health.ill


def test_a_region_that_is_cut_off_keeps_its_own_zones():
    health = made()
    overdue(health, 1, 2)
    health.outcome(9 * SECOND, "cell5", Result.OK)
    overdue(health, 3)
    assert set(health.ill) == {OTHER_REGIONS}
    assert health.permit(NOW, "cell10", "f") is Permit.YES
    assert health.permit(NOW, "cell4", "f") is Permit.NO
    assert health.region_open(NOW, "region0", "f") and not health.region_open(NOW, "region4", "f")


def test_with_two_other_zones_both_must_be_silent():
    health = made(cells(3, zones=3, regions=1))
    overdue(health, 1)
    assert not health.ill
    overdue(health, 2)
    assert OTHER_ZONES in health.ill


def test_one_other_zone_is_judged_by_its_own_cells():
    health = made(cells(4, zones=2, regions=1))
    overdue(health, 1)
    assert not health.ill
    overdue(health, 3)
    assert set(health.ill) == {(Area.ZONE, "zone1")}


def test_one_trial_for_all_that_lies_outside():
    health = cut_off(1, 2, 3)
    later = NOW + 2 * SECOND
    assert health.permit(later, "cell5", "f") is Permit.TRIAL
    health.tried(later, "cell5")
    assert health.permit(later, "cell6", "f") is Permit.NO


def test_the_first_answer_ends_it_and_functions_come_back_one_by_one():
    health = cut_off(1, 2, 3)
    healed = NOW + 600 * SECOND
    health.outcome(healed, "cell7", Result.OK)
    functions = [f"f{number}" for number in range(400)]
    for part in range(11):
        at = healed + part * LONGEST_RETURN // 10
        back = [health.permit(at, "cell8", function) for function in functions].count(Permit.YES)
        assert abs(back / len(functions) - part / 10) < 0.1
        assert back == [health.region_open(at, "region3", function) for function in functions].count(True)
    assert not health.ill


def test_without_a_place_nothing_is_outside():
    health = made(own=None)
    overdue(health, 1, 2, 3, 4, 5)
    assert not health.ill


def test_what_the_table_lacks_is_no_longer_outside():
    health = cut_off(1, 2, 3)
    health.adopt(table(cells(65)[::13], number=2))
    assert not health.ill
