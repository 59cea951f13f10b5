"""A call that is overdue: what must not run twice keeps away from where it went, pure work proves."""

import pytest
from cells_tables import cells, table
from helpers import TERMS, Drive, row, task

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
LONG = 30 * SECOND  # that a call may take
IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT = 0, 1, 2  # places of the tracks


def overdue(*names, heard=None):
    """Health in zone 0 with a call overdue to each of the cells; `heard`: a cell that answered before."""
    health = CellHealth("gateway0", RandomGenerator(5), OWN)
    health.adopt(table(cells(65)))
    if heard is not None:
        health.record_outcome(NOW - SECOND, heard, Result.OK)
    for name in names:
        health.record_overdue(NOW, name, NOW - 2 * SECOND, "way")
    return health


def suspected(health, name, function="f"):
    """Whether calls that must not run twice pass the cell over, and others do not."""
    assert health.circuit_state(NOW, name, function) is CircuitState.CLOSED
    return health.circuit_state(NOW, name, function, may_repeat=False) is CircuitState.OPEN


def test_one_overdue_call_makes_its_zone_and_all_outside_suspected():
    health = overdue("cell1")
    assert all(suspected(health, f"cell{number}") for number in range(65) if number % 13)
    assert not any(suspected(health, f"cell{number}") for number in range(0, 65, 13))


def test_what_was_heard_since_from_another_zone_leaves_the_one_suspected():
    health = overdue("cell1")
    health.record_outcome(NOW, "cell2", Result.OK)
    assert suspected(health, "cell1")
    assert suspected(health, "cell14")
    assert not suspected(health, "cell2")
    assert not suspected(health, "cell3")
    health.record_outcome(NOW, "cell14", Result.ERROR)
    assert health.is_fault_free()


def test_what_was_heard_before_it_was_overdue_leaves_nothing_suspected():
    health = overdue("cell1", heard="cell14")
    assert health.is_fault_free()


def test_a_suspicion_ends_by_itself():
    health = overdue("cell1")
    assert health.circuit_state(NOW + MAX_SUSPICION - 1, "cell1", "f", may_repeat=False) is CircuitState.OPEN
    assert health.circuit_state(NOW + MAX_SUSPICION, "cell1", "f", may_repeat=False) is CircuitState.CLOSED


def test_suspicions_go_with_the_table():
    health = overdue("cell1")
    health.adopt(table(cells(65)[::13], number=2))
    assert health.is_fault_free()


def gateway():
    """A gateway of zone 0 that knows the hosts of cell 0."""
    made = CellularGateway(7, TERMS._replace(hedging_allowed=False), 0, OWN)
    made.adopt(0, table(cells(26)))
    made.update_hosts(0, [row(f"cell0-{host}") for host in "abc"], complete=True, cell="cell0")
    return made


def functions(gateway, wanted, number):
    """Functions whose first home is one of the cells wanted."""
    found = (f"f{place}" for place in range(100_000) if gateway.homes.first(f"f{place}") in wanted)
    return [next(found) for _ in range(number)]


def test_what_must_not_run_twice_stays_in_the_own_zone_while_all_else_is_suspected():
    made = gateway()
    first, *rest = functions(made, ("cell7",), 4)
    waiting = Drive(made, task("t", first, NON_IDEMPOTENT))
    assert waiting.wishes[0].forwarded.cell == "cell7"
    waiting.late(4 * SECOND)
    for number, function in enumerate(rest):
        drive = Drive(made, task(f"u{number}", function, NON_IDEMPOTENT), now=4 * SECOND)
        assert drive.sent[0].startswith("cell0-") or drive.wishes[0].forwarded.cell == "cell13"
    proof = Drive(made, task("v", rest[0], IDEMPOTENT), now=4 * SECOND)
    assert proof.wishes[0].forwarded.cell == "cell7"


def test_where_all_is_suspected_the_home_is_used():
    made = gateway()
    for zone in range(13):
        made.health.record_overdue(SECOND, f"cell{zone}", 0, "way")
    made.health.faults.clear()
    (function,) = functions(made, ("cell7",), 1)
    drive = Drive(made, task("t", function, NON_IDEMPOTENT), now=SECOND)
    assert drive.wishes[0].forwarded.cell == "cell7"


@pytest.mark.parametrize("track", [IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT])
def test_an_overdue_call_waits_where_it_is(track):
    """Taken back at once, a function that takes long would never end at a gateway with few calls."""
    made = gateway()
    (function,) = functions(made, ("cell7",), 1)
    drive = Drive(made, task("t", function, track, LONG))
    assert face.Cancel(0) not in drive.late(4 * SECOND)
    assert face.Cancel(0) not in drive.late(20 * SECOND)
    drive.hears(21 * SECOND, face.Result.OK)
    assert drive.ended
    assert len(drive.sent) == 1
    assert made.health.is_fault_free()
