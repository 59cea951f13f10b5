"""Which cells a request goes to in turn: when it goes on to the next cell, and when it never does."""

from dataclasses import replace

import pytest
from cells_tables import cells, table
from cellular_gateways import (
    IDEMPOTENT,
    IDEMPOTENT_WITH_KEY,
    NON_IDEMPOTENT,
    fleet,
    function_of,
    functions,
)
from helpers import Drive, task

from gaproute import interface as face
from gaproute.decisions.cells.cell_router import MAX_CELLS_TRIED
from gaproute.decisions.cells.health import IDEMPOTENT_TRIAL_WAIT

MILLI, SECOND = 1_000_000, 1_000_000_000


def test_a_known_cell_is_served_at_its_hosts():
    made = fleet()
    drive = Drive(made, task("t", function_of(made, "cell0")))
    assert drive.sent[0].startswith("cell0-")
    drive.hears(100 * MILLI, face.Result.OK)
    assert drive.ended
    assert not made.recorder.attempts


@pytest.mark.parametrize("track", [IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT])
def test_what_provably_did_not_run_goes_to_another_entry_and_then_to_the_next_home(track):
    made = fleet()
    name = function_of(made, "cell7")
    drive = Drive(made, task("t", name, track), now=0)
    for relay in range(2):
        assert drive.wishes[0].forwarded.cell == "cell7"
        drive.hears(10 * MILLI, face.Result.CONNECT_FAILED, relay)
    second = made.homes.order(name, 2)[1]
    assert drive.wishes[0].forwarded.cell == second
    assert len(set(drive.sent)) == 3
    assert made.health.is_faulty("cell7")  # both of its entries failed


@pytest.mark.parametrize("track", [IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT])
@pytest.mark.parametrize("result", [face.Result.ERROR, face.Result.RESET, face.Result.TIMEOUT])
def test_what_may_have_run_is_not_sent_again(track, result):
    made = fleet()
    drive = Drive(made, task("t", function_of(made, "cell7"), track))
    wishes = drive.hears(10 * MILLI, result)
    assert [type(wish) for wish in wishes] == [face.Fail]


def test_pure_work_that_may_have_run_goes_on():
    made = fleet()
    drive = Drive(made, task("t", function_of(made, "cell7"), IDEMPOTENT))
    drive.hears(10 * MILLI, face.Result.RESET)
    drive.hears(20 * MILLI, face.Result.RESET, 1)
    assert len(drive.sent) == 3
    assert not drive.ended


def test_what_a_cell_refuses_moves_within_a_budget():
    made, moved = fleet(), 0
    for number, name in enumerate(functions(made, ("cell7",), 300)):
        now = number * MILLI
        drive = Drive(made, task(f"t{number}", name), now)
        drive.hears(now, face.Result.FULL)
        moved += len(drive.sent) > 1
        made.health.faults.clear()
        while not drive.ended:
            drive.hears(now, face.Result.OK, len(drive.sent) - 1)
    assert 20 <= moved <= 20 + 30


def test_a_full_cell_is_passed_over_until_a_trial_succeeds():
    made = fleet()
    *names, after, trial, beside = functions(made, ("cell7",), 8)
    for number, name in enumerate(names):
        drive = Drive(made, task(f"t{number}", name), now=0)
        drive.hears(0, face.Result.FULL)
    assert Drive(made, task("after", after), now=MILLI).wishes[0].forwarded.cell != "cell7"
    drives = [Drive(made, task(name, name), now=2 * SECOND) for name in (trial, beside)]
    assert drives[0].wishes[0].forwarded.cell == "cell7"
    assert drives[1].wishes[0].forwarded.cell != "cell7"


def test_a_trial_is_not_made_of_what_must_not_run_twice():
    made = fleet()
    name = function_of(made, "cell7")
    made.health.record_unreachable(0, "cell7")
    drive = Drive(made, task("t", name, NON_IDEMPOTENT), now=2 * SECOND)
    assert drive.wishes[0].forwarded.cell != "cell7"
    # But where no pure call comes for long, any call is better than none: the cell would stay out for good.
    late = 2 * SECOND + IDEMPOTENT_TRIAL_WAIT
    drive = Drive(made, task("u", name, NON_IDEMPOTENT), now=late)
    assert drive.wishes[0].forwarded.cell == "cell7"
    drive = Drive(made, task("v", name, NON_IDEMPOTENT), now=late)
    assert drive.wishes[0].forwarded.cell != "cell7"


def test_relays_and_cells_for_one_task_are_bounded():
    made = fleet(attempt_limit=4)
    drive = Drive(made, task("t", function_of(made, "cell7")))
    for relay in range(4):
        drive.hears(10 * MILLI, face.Result.CONNECT_FAILED, relay)
    assert drive.ended
    assert isinstance(drive.wishes[-1], face.Reject)
    assert len(drive.sent) == 4
    made = fleet(attempt_limit=50)
    drive = Drive(made, task("t", function_of(made, "cell7")))
    for relay in range(2 * MAX_CELLS_TRIED):
        drive.hears(10 * MILLI, face.Result.CONNECT_FAILED, relay)
    assert drive.ended
    assert len(drive.sent) == 2 * MAX_CELLS_TRIED


def test_a_known_cell_without_hosts_sends_its_calls_to_the_next_home():
    made = fleet()
    name = function_of(made, "cell0")
    made.update_hosts(0, [], complete=True, cell="cell0")
    drive = Drive(made, task("t", name))
    assert drive.wishes[0].forwarded.cell == made.homes.order(name, 2)[1]
    assert made.health.is_faulty("cell0")


def test_where_nothing_else_is_left_a_home_that_is_well_again_is_used():
    made = fleet(count=2)
    for name in ("cell0", "cell1"):
        made.health.record_unreachable(0, name)
    drive = Drive(made, task("t", "f", NON_IDEMPOTENT), now=SECOND)
    assert drive.ended
    assert not drive.sent
    for name in ("cell0", "cell1"):  # the trial of the other has no answer yet
        made.health.record_trial_sent(600 * SECOND, name)
    made.health.record_outcome(600 * SECOND, "cell1", face.Result.OK)
    for number in range(20):
        drive = Drive(made, task(f"t{number}", f"f{number}", NON_IDEMPOTENT), now=600 * SECOND)
        assert drive.wishes[0].forwarded.cell == "cell1"


def test_overdue_calls_by_two_entries_prove_a_cell_silent_and_free_pure_work():
    made = fleet()
    first, *rest = functions(made, ("cell7",), 4)
    drives = [Drive(made, task("t0", first), now=0)]
    drives[0].late(4 * SECOND - 100 * MILLI)  # overdue: its entry is in doubt
    drives += [Drive(made, task(f"u{n}", name), now=4 * SECOND) for n, name in enumerate(rest)]
    assert drives[1].sent != drives[0].sent
    assert not made.health.is_faulty("cell7")
    wishes = drives[1].late(7 * SECOND)
    assert made.health.is_faulty("cell7")
    assert wishes[0] == face.Cancel(0)
    wishes = drives[1].hears(7 * SECOND, face.Result.CANCELLED)
    assert wishes[0].forwarded.cell != "cell7"


def test_an_entry_that_answers_for_another_cell_proves_with_two_calls_that_the_cell_is_silent():
    """Else a gateway would go on by that one entry, as nothing speaks against it."""
    rows = cells(26)
    both = rows[7].entries
    rows[20] = replace(rows[20], entries=both)  # cells 7 and 20 lie in one zone
    made = fleet()
    made.adopt(0, table(rows, number=2))
    for turn, name in enumerate(functions(made, ("cell7",), 2)):
        now = 10 * turn * SECOND
        assert not made.health.is_faulty("cell7")
        drive = Drive(made, task(f"t{turn}", name, time_left=8 * SECOND), now)
        entry = drive.sent[0]
        for number, other in enumerate(functions(made, ("cell20",), 3)):
            beside = Drive(made, task(f"u{turn}.{number}", other), now + SECOND)
            if beside.sent[0] == entry:
                beside.hears(now + 2 * SECOND, face.Result.OK)
        drive.late(now + 4 * SECOND)
    assert made.health.is_faulty("cell7")
    assert not made.entries.backoffs
