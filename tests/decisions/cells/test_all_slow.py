"""Where all cells are slow, calls go to one of them: a late answer is better than none."""

import pytest
from cells_tables import cells, table
from helpers import TERMS, Drive, task

from gaproute import interface as face
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.faults import STORED_OUTCOMES, FaultKind, FaultScope
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.interface import Result

MILLI, SECOND = 1_000_000, 1_000_000_000
IDEMPOTENT, NON_IDEMPOTENT = 0, 2
NOW = 10 * SECOND


@pytest.fixture
def slow():
    """A gateway that found every cell slow a moment ago."""
    made = CellularGateway(
        7, TERMS._replace(hedging_allowed=False), 0, GatewayLocation("gateway1", "region0", "zone0")
    )
    made.adopt(0, table(cells(8, entries=2)))
    for name in made.table.by_name:
        for _ in range(STORED_OUTCOMES):
            made.health.record_outcome(NOW, name, Result.OK, relative_duration=9.0)
    assert all(
        made.health.faults[FaultScope.CELL, name].kind is FaultKind.SLOW for name in made.table.by_name
    )
    return made


def choices(made, function="f", *, may_repeat=False):
    return [choice.cell for choice in made.selector.choices(NOW, function, may_repeat=may_repeat)]


@pytest.mark.parametrize("may_repeat", [True, False])
def test_a_call_goes_to_its_first_home(slow, may_repeat):
    assert choices(slow, may_repeat=may_repeat) == [slow.homes.first("f")]


def test_a_silent_cell_is_passed_over_for_a_slow_one(slow):
    first, second = slow.homes.order("f", 2)[:2]
    for way in ("one", "two"):
        slow.health.record_overdue(NOW + SECOND, first, NOW + 1, way)
    slow.health.faults[FaultScope.CELL, first].kind = FaultKind.SILENT
    assert choices(slow) == [second]


def test_a_call_is_declined_where_all_cells_are_silent(slow):
    for fault in slow.health.faults.values():
        fault.kind = FaultKind.SILENT
    assert choices(slow) == []


@pytest.mark.parametrize("track", [IDEMPOTENT, NON_IDEMPOTENT])
def test_a_call_that_waits_at_a_slow_cell_is_not_taken_back(slow, track):
    drive = Drive(slow, task("t", "f", track), NOW)
    assert len(drive.sent) == 1
    for waited in (500 * MILLI, 2_500 * MILLI, 3_000 * MILLI):
        assert not any(isinstance(action, face.Cancel) for action in drive.late(NOW + waited))
    drive.hears(NOW + 3_100 * MILLI, Result.OK)
    assert len(drive.sent) == 1
