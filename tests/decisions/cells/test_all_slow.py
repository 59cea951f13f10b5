"""If all cells are slow, requests go to one of them: a late answer is better than none."""

import pytest
from cells_tables import cells, table
from helpers import ROUTING_SETTINGS, Drive, task

from gaproute import interface as face
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.faults import STORED_OUTCOMES, FaultKind, FaultScope
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.interface import Result

MILLI, SECOND = 1_000_000, 1_000_000_000
IDEMPOTENT, NON_IDEMPOTENT = 0, 2
NOW = 10 * SECOND


@pytest.fixture
def all_slow_gateway():
    """A gateway that has just found every cell slow."""
    gateway = CellularGateway(
        7,
        ROUTING_SETTINGS._replace(hedging_allowed=False),
        0,
        GatewayLocation("gateway1", "region0", "zone0"),
    )
    gateway.adopt(0, table(cells(8, entries=2)))
    for name in gateway.table.by_name:
        for _ in range(STORED_OUTCOMES):
            gateway.health.record_outcome(NOW, name, Result.OK, relative_duration=9.0)
    assert all(
        gateway.health.faults[FaultScope.CELL, name].kind is FaultKind.SLOW for name in gateway.table.by_name
    )
    return gateway


def chosen_cells(gateway, function="f", *, may_repeat=False):
    return [choice.cell for choice in gateway.selector.choices(NOW, function, may_repeat=may_repeat)]


@pytest.mark.parametrize("may_repeat", [True, False])
def test_a_request_goes_to_the_first_home_of_its_function(all_slow_gateway, may_repeat):
    assert chosen_cells(all_slow_gateway, may_repeat=may_repeat) == [all_slow_gateway.homes.first("f")]


def test_a_slow_cell_is_preferred_to_a_silent_one(all_slow_gateway):
    first, second = all_slow_gateway.homes.order("f", 2)[:2]
    for entry in ("one", "two"):
        all_slow_gateway.health.record_overdue(NOW + SECOND, first, NOW + 1, entry)
    all_slow_gateway.health.faults[FaultScope.CELL, first].kind = FaultKind.SILENT
    assert chosen_cells(all_slow_gateway) == [second]


def test_no_cell_is_chosen_if_all_are_silent(all_slow_gateway):
    for fault in all_slow_gateway.health.faults.values():
        fault.kind = FaultKind.SILENT
    assert chosen_cells(all_slow_gateway) == []


@pytest.mark.parametrize("request_class", [IDEMPOTENT, NON_IDEMPOTENT])
def test_a_request_that_waits_for_a_slow_cell_is_not_cancelled(all_slow_gateway, request_class):
    drive = Drive(all_slow_gateway, task("t", "f", request_class), NOW)
    assert len(drive.sent) == 1
    for wait in (500 * MILLI, 2_500 * MILLI, 3_000 * MILLI):
        assert not any(isinstance(action, face.Cancel) for action in drive.late(NOW + wait))
    drive.hears(NOW + 3_100 * MILLI, Result.OK)
    assert len(drive.sent) == 1
