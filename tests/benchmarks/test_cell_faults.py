"""Faults in a small fleet of cells: what the scenarios count, and that all is well again after each."""

import pytest

from benchmarks.scale import cell_faults, watched
from benchmarks.scale.faults import SCENARIOS

SIZE, HOSTS = 66, 10  # two cells


@pytest.fixture(autouse=True)
def short(monkeypatch):
    """Spans of a few simulated seconds, one cell in full."""
    for name, value in (("FULL", 1), ("HOSTS", HOSTS), ("SETTLE", 3), ("CALM", 1), ("PUBLISHED", 2)):
        monkeypatch.setattr(cell_faults, name, value)
    monkeypatch.setattr(watched, "FIRST_SECONDS", 2)


def test_the_scenarios_are_known_by_name():
    assert SCENARIOS["cells_parted"] is cell_faults.cells_parted


def test_a_zone_that_is_gone_and_back_holds_the_table_again(monkeypatch):
    monkeypatch.setattr(cell_faults, "GONE", 4)
    figures = cell_faults.cells_zone_gone(SIZE, 1)
    assert figures["lost_gateways"] == SIZE // 2
    assert figures["calls_while_gone"] >= SIZE // 2 * 3
    assert figures["unreached_while_gone"] > 0
    assert figures["failed_while_gone"] > 0
    assert figures["fleet_holds_again_s"] <= 10
    assert figures["whole_again_s"] is not None
    assert figures["breaches"] == []


def test_parted_regions_hold_the_last_table_and_take_the_new_one(monkeypatch):
    monkeypatch.setattr(cell_faults, "PARTED", 5)
    figures = cell_faults.cells_parted(SIZE, 1)
    assert figures["parted_fleet_share_holding"] == 0.5
    assert figures["fleet_holds_s"] <= 10
    assert figures["parted_held_dead"] == 0


def test_slow_gateways_hold_the_table_and_are_not_held_dead(monkeypatch):
    monkeypatch.setattr(cell_faults, "GONE", 2)
    figures = cell_faults.cells_slow_hundredth(SIZE, 1)
    assert figures["slow_gateways"] == figures["slow_in_full"] == 1
    assert figures["fleet_holds_s"] <= 5
    assert figures["held_dead"] == 0


def test_lists_that_differ_are_alike_a_second_after_the_last(monkeypatch):
    monkeypatch.setattr(cell_faults, "GONE", 5)
    figures = cell_faults.cells_differing_lists(SIZE, 1)
    assert figures["alike_before"] is False
    assert figures["alike_s"] <= 2
    assert figures["held_dead"] == 0
    assert figures["breaches"] == []
