"""Circuit breakers of cells: evidence of faults, trials, and recovery."""

from cells_tables import cells, table

from gaproute.decisions.cells.faults import (
    STORED_OUTCOMES,
    TRIAL_TIMEOUT,
    CircuitState,
    FaultKind,
    FaultScope,
)
from gaproute.decisions.cells.health import (
    MAX_BACKOFF,
    MAX_RECOVERY_RAMP,
    MIN_OUTCOMES,
    MIN_RECOVERY_RAMP,
    CellHealth,
)
from gaproute.decisions.chance import RandomGenerator
from gaproute.interface import Result
from gaproute.units import SECOND

FUNCTIONS = [f"f{number}" for number in range(400)]


def make_health(count=65, name="gateway1"):
    health = CellHealth(name, RandomGenerator(5))
    health.adopt(table(cells(count)))
    return health


def fault_of(health, name="cell0"):
    return health.faults.get((FaultScope.CELL, name))


def circuit_states(health, now, name="cell0"):
    return [health.circuit_state(now, name, function) for function in FUNCTIONS]


def test_overdue_requests_through_one_entry_cause_no_fault():
    health = make_health()
    health.record_overdue(10 * SECOND, "cell0", 8 * SECOND, "entry1")
    health.record_overdue(11 * SECOND, "cell0", 9 * SECOND, "entry1")
    assert not health.faults


def test_overdue_requests_through_two_entries_make_a_cell_silent():
    health = make_health()
    health.record_outcome(7 * SECOND, "cell0", Result.OK)
    health.record_overdue(10 * SECOND, "cell0", 8 * SECOND, "entry1")
    health.record_overdue(10 * SECOND, "cell0", 9 * SECOND, "entry2")
    assert fault_of(health).kind is FaultKind.SILENT
    assert set(circuit_states(health, 10 * SECOND)) == {CircuitState.OPEN}
    assert set(circuit_states(health, 10 * SECOND, "cell1")) == {CircuitState.CLOSED}


def test_an_answer_between_two_overdue_requests_prevents_the_fault():
    health = make_health()
    health.record_overdue(10 * SECOND, "cell0", 8 * SECOND, "entry1")
    health.record_outcome(10 * SECOND, "cell0", Result.ERROR)
    health.record_overdue(11 * SECOND, "cell0", 9 * SECOND, "entry2")
    assert not health.faults


def test_two_silent_cells_make_a_zone_silent_and_two_silent_zones_a_region():
    """Cells 0 and 13 lie in zone 0, cells 5 and 18 in zone 5; both zones lie in region 0."""
    health = make_health()
    for number, name in enumerate(("cell0", "cell13")):
        health.record_overdue(10 * SECOND, name, 8 * SECOND + number, "entry")
    assert health.has_fault(FaultScope.ZONE, "zone0")
    assert not health.has_fault(FaultScope.REGION, "region0")
    assert health.circuit_state(10 * SECOND, "cell26", "f") is CircuitState.OPEN
    assert health.circuit_state(10 * SECOND, "cell5", "f") is CircuitState.CLOSED
    for number, name in enumerate(("cell5", "cell18")):
        health.record_overdue(10 * SECOND, name, 8 * SECOND + number, "entry")
    assert health.has_fault(FaultScope.REGION, "region0")
    assert health.circuit_state(10 * SECOND, "cell10", "f") is CircuitState.OPEN
    assert health.circuit_state(10 * SECOND, "cell1", "f") is CircuitState.CLOSED


def test_a_zone_that_answered_since_is_not_silent():
    health = make_health()
    health.record_overdue(10 * SECOND, "cell0", 8 * SECOND, "entry")
    health.record_outcome(9 * SECOND, "cell26", Result.OK)
    health.record_overdue(10 * SECOND, "cell13", 8 * SECOND, "entry")
    assert not health.faults


def test_a_region_of_which_one_zone_answers_is_not_silent():
    """Otherwise the gateways of a zone that is cut off would find a fault in their own cells."""
    health = make_health()
    for number, name in enumerate(("cell0", "cell13", "cell5", "cell18")):
        health.record_outcome(9 * SECOND, "cell10", Result.OK)
        health.record_overdue(10 * SECOND, name, 8 * SECOND + number, "entry")
    assert health.has_fault(FaultScope.ZONE, "zone0")
    assert health.has_fault(FaultScope.ZONE, "zone5")
    assert not health.has_fault(FaultScope.REGION, "region0")
    assert health.circuit_state(10 * SECOND, "cell10", "f") is CircuitState.CLOSED


def test_a_cell_that_rejects_most_requests_has_a_fault():
    """Also at one request in five seconds, as gateways send to most cells; half of the last 8 are too few."""
    health = make_health()
    for number in range(MIN_OUTCOMES - 1):
        health.record_outcome(5 * number * SECOND, "cell0", Result.FULL)
    assert not health.faults
    health.record_outcome(5 * MIN_OUTCOMES * SECOND, "cell0", Result.FULL)
    assert fault_of(health).kind is FaultKind.REJECTING
    for number in range(50):
        health.record_outcome(number * SECOND, "cell1", Result.FULL if number % 2 else Result.OK)
    assert not fault_of(health, "cell1")
    for number in range(50):
        health.record_outcome(number * SECOND, "cell2", Result.OK if number % 3 else Result.FULL)
    assert not fault_of(health, "cell2")
    for number in range(STORED_OUTCOMES):
        health.record_outcome(40 * number * SECOND, "cell3", Result.FULL)
    assert not fault_of(health, "cell3")


def test_slow_warm_instances_make_a_cell_slow_but_errors_and_loads_do_not():
    health = make_health()
    for number in range(50):
        health.record_outcome(number, "cell0", Result.ERROR)
        health.record_outcome(number, "cell1", Result.OK)  # with a load: no relative duration
        health.record_outcome(number, "cell2", Result.OK, 3.0)
    assert not health.faults
    for number in range(STORED_OUTCOMES):
        health.record_outcome(number, "cell3", Result.OK, 5.0)
    assert fault_of(health, "cell3").kind is FaultKind.SLOW


def test_one_trial_is_sent_at_a_time_after_ever_longer_backoffs():
    health, now = make_health(), 0
    health.record_unreachable(now, "cell0")
    backoffs = []
    for _ in range(9):
        started_at = now
        while health.circuit_state(now, "cell0", "f") is not CircuitState.HALF_OPEN:
            assert health.circuit_state(now, "cell0", "f") is CircuitState.OPEN
            now += SECOND // 10
        backoffs.append(now - started_at)
        health.record_trial_sent(now, "cell0")
        assert set(circuit_states(health, now)) == {CircuitState.OPEN}
        now += SECOND // 10
        health.record_outcome(now, "cell0", Result.CONNECT_FAILED)
    assert backoffs[0] <= 1.4 * SECOND
    assert backoffs[3] > 4 * backoffs[0]
    assert MAX_BACKOFF <= backoffs[-1] <= 1.3 * MAX_BACKOFF


def test_a_trial_without_an_answer_ends_so_that_the_next_can_be_sent():
    health = make_health()
    health.record_unreachable(0, "cell0")
    health.record_trial_sent(2 * SECOND, "cell0")
    assert health.circuit_state(2 * SECOND + TRIAL_TIMEOUT - 1, "cell0", "f") is CircuitState.OPEN
    assert health.circuit_state(2 * SECOND + TRIAL_TIMEOUT, "cell0", "f") is CircuitState.HALF_OPEN
    health.record_trial_sent(2 * SECOND + TRIAL_TIMEOUT, "cell0")
    assert fault_of(health).backoff == 2 * SECOND
    assert fault_of(health).trial_sent_at == 2 * SECOND + TRIAL_TIMEOUT


def recover(health, after):
    health.record_unreachable(0, "cell0")
    health.record_trial_sent(after, "cell0")
    health.record_outcome(after, "cell0", Result.OK)
    return after


def test_functions_return_one_by_one():
    health = make_health()
    now = recover(health, 600 * SECOND)
    before = 0
    for part in range(11):
        returned = circuit_states(health, now + part * MAX_RECOVERY_RAMP // 10).count(CircuitState.CLOSED)
        assert before <= returned <= before + len(FUNCTIONS) // 5
        assert abs(returned / len(FUNCTIONS) - part / 10) < 0.1
        before = returned
    assert not health.faults


def test_functions_return_at_nearly_but_not_exactly_the_same_time_at_all_gateways():
    times = {}
    for number in range(20):
        health = make_health(name=f"gateway{number}")
        now = recover(health, 600 * SECOND)
        for function in FUNCTIONS[:50]:
            for step in range(61):
                if health.circuit_state(now + step * SECOND, "cell0", function) is CircuitState.CLOSED:
                    times.setdefault(function, []).append(step)
                    break
    spans = [max(steps) - min(steps) for steps in times.values()]
    assert max(spans) <= 8
    assert sorted(spans)[25] >= 3


def test_recovery_from_a_short_fault_is_short():
    health = make_health()
    now = recover(health, 2 * SECOND)
    assert CircuitState.OPEN in circuit_states(health, now)
    assert set(circuit_states(health, now + MIN_RECOVERY_RAMP)) == {CircuitState.CLOSED}


def test_a_new_fault_during_recovery_has_a_longer_backoff():
    health = make_health()
    now = recover(health, 600 * SECOND)
    health.record_unreachable(now + SECOND, "cell0")
    assert fault_of(health).recovered_at is None
    assert fault_of(health).backoff == 2 * SECOND
    assert set(circuit_states(health, now + SECOND)) == {CircuitState.OPEN}


def test_an_answer_ends_the_fault_of_a_silent_region_at_once():
    health = make_health()
    for number, name in enumerate(("cell0", "cell13", "cell5", "cell18")):
        health.record_overdue(10 * SECOND, name, 8 * SECOND + number, "entry")
    assert health.has_fault(FaultScope.REGION, "region0")
    health.record_outcome(20 * SECOND, "cell10", Result.OK)
    assert not health.has_fault(FaultScope.REGION, "region0")
    assert not health.has_fault(FaultScope.ZONE, "zone10")
    assert health.has_fault(FaultScope.ZONE, "zone5")
    health.record_outcome(21 * SECOND, "cell5", Result.OK)
    assert not health.has_fault(FaultScope.ZONE, "zone5")


def test_the_state_of_cells_that_left_the_table_is_dropped():
    health = make_health()
    health.record_unreachable(0, "cell0")
    health.record_outcome(0, "cell0", Result.OK)
    health.adopt(table(cells(65)[1:], number=2))
    assert not fault_of(health)
    assert "cell0" not in health.records
    health.record_unreachable(0, "cell0")
    health.record_overdue(0, "cell0", 0, "entry")
    health.record_outcome(0, "cell0", Result.OK)
    assert not fault_of(health)
    assert "cell0" not in health.records
