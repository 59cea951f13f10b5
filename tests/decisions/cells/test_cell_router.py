"""Which cells a request is sent to, and when it is or is not sent to the next cell."""

from dataclasses import replace

import pytest
from cells_tables import cells, table
from cellular_gateways import (
    IDEMPOTENT,
    IDEMPOTENT_WITH_KEY,
    NON_IDEMPOTENT,
    function_with_home,
    functions_with_home,
    make_gateway,
)
from helpers import Drive, task

from gaproute import interface as face
from gaproute.decisions.cells.cell_router import MAX_CELLS_TRIED
from gaproute.decisions.cells.health import IDEMPOTENT_TRIAL_WAIT

MILLI, SECOND = 1_000_000, 1_000_000_000


def test_a_request_for_a_known_cell_is_sent_to_a_host_of_it():
    gateway = make_gateway()
    drive = Drive(gateway, task("t", function_with_home(gateway, "cell0")))
    assert drive.sent[0].startswith("cell0-")
    drive.hears(100 * MILLI, face.Result.OK)
    assert drive.ended
    assert not gateway.recorder.attempts


@pytest.mark.parametrize("request_class", [IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT])
def test_a_request_that_did_not_run_goes_to_another_entry_and_then_to_the_next_home(request_class):
    gateway = make_gateway()
    name = function_with_home(gateway, "cell7")
    drive = Drive(gateway, task("t", name, request_class), now=0)
    for attempt in range(2):
        assert drive.wishes[0].forwarded.cell == "cell7"
        drive.hears(10 * MILLI, face.Result.CONNECT_FAILED, attempt)
    second = gateway.homes.order(name, 2)[1]
    assert drive.wishes[0].forwarded.cell == second
    assert len(set(drive.sent)) == 3
    assert gateway.health.is_faulty("cell7")  # both of its entries failed


@pytest.mark.parametrize("request_class", [IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT])
@pytest.mark.parametrize("result", [face.Result.ERROR, face.Result.RESET, face.Result.TIMEOUT])
def test_a_request_that_may_have_run_is_not_sent_again_unless_idempotent(request_class, result):
    gateway = make_gateway()
    drive = Drive(gateway, task("t", function_with_home(gateway, "cell7"), request_class))
    actions = drive.hears(10 * MILLI, result)
    assert [type(action) for action in actions] == [face.Fail]


def test_an_idempotent_request_that_may_have_run_is_sent_again():
    gateway = make_gateway()
    drive = Drive(gateway, task("t", function_with_home(gateway, "cell7"), IDEMPOTENT))
    drive.hears(10 * MILLI, face.Result.RESET)
    drive.hears(20 * MILLI, face.Result.RESET, 1)
    assert len(drive.sent) == 3
    assert not drive.ended


def test_requests_that_a_cell_rejects_move_within_the_spill_budget():
    gateway, moved = make_gateway(), 0
    for number, name in enumerate(functions_with_home(gateway, ("cell7",), 300)):
        now = number * MILLI
        drive = Drive(gateway, task(f"t{number}", name), now)
        drive.hears(now, face.Result.FULL)
        moved += len(drive.sent) > 1
        gateway.health.faults.clear()
        while not drive.ended:
            drive.hears(now, face.Result.OK, len(drive.sent) - 1)
    assert 20 <= moved <= 20 + 30


def test_a_full_cell_is_avoided_until_a_trial_succeeds():
    gateway = make_gateway()
    *names, after, trial, second_trial = functions_with_home(gateway, ("cell7",), 8)
    for number, name in enumerate(names):
        drive = Drive(gateway, task(f"t{number}", name), now=0)
        drive.hears(0, face.Result.FULL)
    assert Drive(gateway, task("after", after), now=MILLI).wishes[0].forwarded.cell != "cell7"
    drives = [Drive(gateway, task(name, name), now=2 * SECOND) for name in (trial, second_trial)]
    assert drives[0].wishes[0].forwarded.cell == "cell7"
    assert drives[1].wishes[0].forwarded.cell != "cell7"


def test_a_request_that_must_not_run_twice_becomes_a_trial_only_after_a_long_wait():
    gateway = make_gateway()
    name = function_with_home(gateway, "cell7")
    gateway.health.record_unreachable(0, "cell7")
    drive = Drive(gateway, task("t", name, NON_IDEMPOTENT), now=2 * SECOND)
    assert drive.wishes[0].forwarded.cell != "cell7"
    # Without idempotent requests the cell would stay excluded forever, so any request becomes the trial.
    late = 2 * SECOND + IDEMPOTENT_TRIAL_WAIT
    drive = Drive(gateway, task("u", name, NON_IDEMPOTENT), now=late)
    assert drive.wishes[0].forwarded.cell == "cell7"
    drive = Drive(gateway, task("v", name, NON_IDEMPOTENT), now=late)
    assert drive.wishes[0].forwarded.cell != "cell7"


def test_attempts_and_cells_for_one_request_are_bounded():
    gateway = make_gateway(attempt_limit=4)
    drive = Drive(gateway, task("t", function_with_home(gateway, "cell7")))
    for attempt in range(4):
        drive.hears(10 * MILLI, face.Result.CONNECT_FAILED, attempt)
    assert drive.ended
    assert isinstance(drive.wishes[-1], face.Reject)
    assert len(drive.sent) == 4
    gateway = make_gateway(attempt_limit=50)
    drive = Drive(gateway, task("t", function_with_home(gateway, "cell7")))
    for attempt in range(2 * MAX_CELLS_TRIED):
        drive.hears(10 * MILLI, face.Result.CONNECT_FAILED, attempt)
    assert drive.ended
    assert len(drive.sent) == 2 * MAX_CELLS_TRIED


def test_requests_for_a_known_cell_without_hosts_go_to_the_next_home():
    gateway = make_gateway()
    name = function_with_home(gateway, "cell0")
    gateway.update_hosts(0, [], complete=True, cell="cell0")
    drive = Drive(gateway, task("t", name))
    assert drive.wishes[0].forwarded.cell == gateway.homes.order(name, 2)[1]
    assert gateway.health.is_faulty("cell0")


def test_a_recovered_home_is_used_if_no_other_cell_is_left():
    gateway = make_gateway(count=2)
    for name in ("cell0", "cell1"):
        gateway.health.record_unreachable(0, name)
    drive = Drive(gateway, task("t", "f", NON_IDEMPOTENT), now=SECOND)
    assert drive.ended
    assert not drive.sent
    for name in ("cell0", "cell1"):  # the trial of cell0 has no answer yet
        gateway.health.record_trial_sent(600 * SECOND, name)
    gateway.health.record_outcome(600 * SECOND, "cell1", face.Result.OK)
    for number in range(20):
        drive = Drive(gateway, task(f"t{number}", f"f{number}", NON_IDEMPOTENT), now=600 * SECOND)
        assert drive.wishes[0].forwarded.cell == "cell1"


def test_overdue_requests_through_two_entries_make_a_cell_silent_and_are_cancelled_if_idempotent():
    gateway = make_gateway()
    first, *rest = functions_with_home(gateway, ("cell7",), 4)
    drives = [Drive(gateway, task("t0", first), now=0)]
    drives[0].late(4 * SECOND - 100 * MILLI)  # overdue: its entry is avoided
    drives += [Drive(gateway, task(f"u{n}", name), now=4 * SECOND) for n, name in enumerate(rest)]
    assert drives[1].sent != drives[0].sent
    assert not gateway.health.is_faulty("cell7")
    actions = drives[1].late(7 * SECOND)
    assert gateway.health.is_faulty("cell7")
    assert actions[0] == face.Cancel(0)
    actions = drives[1].hears(7 * SECOND, face.Result.CANCELLED)
    assert actions[0].forwarded.cell != "cell7"


def test_two_overdue_requests_through_an_entry_that_answers_for_another_cell_make_the_cell_silent():
    """Otherwise the gateway would keep using that entry, as the answers for the other cell clear it."""
    rows = cells(26)
    shared_entries = rows[7].entries
    rows[20] = replace(rows[20], entries=shared_entries)  # cells 7 and 20 lie in the same zone
    gateway = make_gateway()
    gateway.adopt(0, table(rows, number=2))
    for turn, name in enumerate(functions_with_home(gateway, ("cell7",), 2)):
        now = 10 * turn * SECOND
        assert not gateway.health.is_faulty("cell7")
        drive = Drive(gateway, task(f"t{turn}", name, time_left=8 * SECOND), now)
        entry = drive.sent[0]
        for number, other in enumerate(functions_with_home(gateway, ("cell20",), 3)):
            other_drive = Drive(gateway, task(f"u{turn}.{number}", other), now + SECOND)
            if other_drive.sent[0] == entry:
                other_drive.hears(now + 2 * SECOND, face.Result.OK)
        drive.late(now + 4 * SECOND)
    assert gateway.health.is_faulty("cell7")
    assert not gateway.entries.backoffs
