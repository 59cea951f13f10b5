"""Overdue requests make domains suspected: requests that must not run twice avoid these, others are sent."""

import pytest
from cells_tables import cells, table
from helpers import ROUTING_SETTINGS, Drive, row, task

from gaproute import interface as face
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.faults import CircuitState
from gaproute.decisions.cells.health import CellHealth
from gaproute.decisions.cells.location import GatewayLocation
from gaproute.decisions.cells.silence import MAX_SUSPICION
from gaproute.decisions.chance import RandomGenerator
from gaproute.interface import Result
from gaproute.units import SECOND

OWN = GatewayLocation("gateway0", "region0", "zone0")
NOW = 10 * SECOND
LONG_TIME_LEFT = 30 * SECOND  # of a request
IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT = 0, 1, 2  # indices of the request classes


def health_with_overdue(*names, answered=None):
    """Health with an overdue request to each named cell; the cell `answered` answered after the sending."""
    health = CellHealth("gateway0", RandomGenerator(5), OWN)
    health.adopt(table(cells(65)))
    if answered is not None:
        health.record_outcome(NOW - SECOND, answered, Result.OK)
    for name in names:
        health.record_overdue(NOW, name, NOW - 2 * SECOND, "entry")
    return health


def is_suspected(health, name, function="f"):
    """Whether requests that must not run twice avoid the cell, and others do not."""
    assert health.circuit_state(NOW, name, function) is CircuitState.CLOSED
    return health.circuit_state(NOW, name, function, may_repeat=False) is CircuitState.OPEN


def test_one_overdue_request_makes_its_zone_and_all_outside_suspected():
    health = health_with_overdue("cell1")
    assert all(is_suspected(health, f"cell{number}") for number in range(65) if number % 13)
    assert not any(is_suspected(health, f"cell{number}") for number in range(0, 65, 13))


def test_an_answer_from_another_zone_leaves_only_the_first_zone_suspected():
    health = health_with_overdue("cell1")
    health.record_outcome(NOW, "cell2", Result.OK)
    assert is_suspected(health, "cell1")
    assert is_suspected(health, "cell14")
    assert not is_suspected(health, "cell2")
    assert not is_suspected(health, "cell3")
    health.record_outcome(NOW, "cell14", Result.ERROR)
    assert health.is_fault_free()


def test_an_answer_after_the_request_was_sent_prevents_the_suspicion():
    health = health_with_overdue("cell1", answered="cell14")
    assert health.is_fault_free()


def test_a_suspicion_ends_after_some_time():
    health = health_with_overdue("cell1")
    assert health.circuit_state(NOW + MAX_SUSPICION - 1, "cell1", "f", may_repeat=False) is CircuitState.OPEN
    assert health.circuit_state(NOW + MAX_SUSPICION, "cell1", "f", may_repeat=False) is CircuitState.CLOSED


def test_suspicions_of_domains_that_left_the_table_are_dropped():
    health = health_with_overdue("cell1")
    health.adopt(table(cells(65)[::13], number=2))
    assert health.is_fault_free()


def make_gateway():
    """A gateway in zone 0 that knows the hosts of cell 0."""
    gateway = CellularGateway(7, ROUTING_SETTINGS._replace(hedging_allowed=False), 0, OWN)
    gateway.adopt(0, table(cells(26)))
    gateway.update_hosts(0, [row(f"cell0-{host}") for host in "abc"], complete=True, cell="cell0")
    return gateway


def functions_with_home(gateway, cells, count):
    """Names of functions whose first home is one of the cells."""
    found = (f"f{place}" for place in range(100_000) if gateway.homes.first(f"f{place}") in cells)
    return [next(found) for _ in range(count)]


def test_requests_that_must_not_run_twice_stay_in_the_own_zone_while_all_else_is_suspected():
    gateway = make_gateway()
    first, *rest = functions_with_home(gateway, ("cell7",), 4)
    waiting = Drive(gateway, task("t", first, NON_IDEMPOTENT))
    assert waiting.wishes[0].forwarded.cell == "cell7"
    waiting.late(4 * SECOND)
    for number, function in enumerate(rest):
        drive = Drive(gateway, task(f"u{number}", function, NON_IDEMPOTENT), now=4 * SECOND)
        assert drive.sent[0].startswith("cell0-") or drive.wishes[0].forwarded.cell == "cell13"
    idempotent = Drive(gateway, task("v", rest[0], IDEMPOTENT), now=4 * SECOND)
    assert idempotent.wishes[0].forwarded.cell == "cell7"


def test_the_home_is_used_if_all_cells_are_suspected():
    gateway = make_gateway()
    for zone in range(13):
        gateway.health.record_overdue(SECOND, f"cell{zone}", 0, "entry")
    gateway.health.faults.clear()
    (function,) = functions_with_home(gateway, ("cell7",), 1)
    drive = Drive(gateway, task("t", function, NON_IDEMPOTENT), now=SECOND)
    assert drive.wishes[0].forwarded.cell == "cell7"


@pytest.mark.parametrize("request_class", [IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT])
def test_an_overdue_request_is_not_cancelled(request_class):
    """Otherwise requests of a slow function would never end at a gateway with few requests."""
    gateway = make_gateway()
    (function,) = functions_with_home(gateway, ("cell7",), 1)
    drive = Drive(gateway, task("t", function, request_class, LONG_TIME_LEFT))
    assert face.Cancel(0) not in drive.late(4 * SECOND)
    assert face.Cancel(0) not in drive.late(20 * SECOND)
    drive.hears(21 * SECOND, face.Result.OK)
    assert drive.ended
    assert len(drive.sent) == 1
    assert gateway.health.is_fault_free()
