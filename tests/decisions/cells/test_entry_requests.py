"""Requests by way of entry gateways: what is forwarded, and what an entry does with it."""

import pytest
from cellular_gateways import IDEMPOTENT, IDEMPOTENT_WITH_KEY, NON_IDEMPOTENT, fleet, function_of
from helpers import Drive, task

from gaproute import interface as face
from gaproute.decisions.cells.entries import MAX_HOPS, ForwardAttempt, Forwarded

MILLI, SECOND = 1_000_000, 1_000_000_000


def test_an_unknown_cell_is_reached_by_an_entry_that_is_told_cell_and_hops():
    made = fleet()
    drive = Drive(made, task("t", function_of(made, "cell7")))
    wish = drive.wishes[0]
    assert isinstance(wish, ForwardAttempt)
    assert wish.forwarded == Forwarded("cell7", 1)
    assert (wish.host, wish.address) in made.table.by_name["cell7"].entries
    drive.hears(100 * MILLI, face.Result.OK)
    assert drive.ended


def test_an_entry_serves_in_its_cell_and_nowhere_else():
    made = fleet()
    serve = made.serve(0, task("t", function_of(made, "cell7")), Forwarded("cell0", 1))
    assert next(serve).host.startswith("cell0-")
    made.update_hosts(0, [], complete=True, cell="cell0")
    serve = made.serve(0, task("u"), Forwarded("cell0", 1))
    assert isinstance(next(serve), face.Reject)


def test_an_entry_that_found_its_cell_ill_declines_at_once_but_for_the_trial():
    made = fleet()
    made.health.record_unreachable(0, "cell0")
    assert isinstance(next(made.serve(0, task("t"), Forwarded("cell0", 1))), face.Reject)
    effectful = made.serve(2 * SECOND, task("e", request_class=NON_IDEMPOTENT), Forwarded("cell0", 1))
    assert isinstance(next(effectful), face.Reject)
    assert next(made.serve(2 * SECOND, task("u"), Forwarded("cell0", 1))).host.startswith("cell0-")
    assert isinstance(next(made.serve(2 * SECOND, task("v"), Forwarded("cell0", 1))), face.Reject)


def test_an_entry_that_knows_the_cell_no_more_forwards_once():
    made = fleet()
    wish = next(made.serve(0, task("t"), Forwarded("cell7", 1)))
    assert isinstance(wish, ForwardAttempt)
    assert wish.forwarded == Forwarded("cell7", MAX_HOPS)
    assert isinstance(next(made.serve(0, task("u"), Forwarded("cell7", MAX_HOPS))), face.Reject)
    assert isinstance(next(made.serve(0, task("v"), Forwarded("nowhere", 1))), face.Reject)


@pytest.mark.parametrize(
    ("track", "ending"),
    [(IDEMPOTENT, face.Reject), (IDEMPOTENT_WITH_KEY, face.Fail), (NON_IDEMPOTENT, face.Fail)],
)
def test_a_forwarded_task_has_its_answer_before_the_process_ends(track, ending):
    made = fleet()
    drive = Drive(made, task("t", function_of(made, "cell7"), track, time_left=10 * SECOND))
    made.end_by = 2 * SECOND
    assert not any(isinstance(wish, (face.Reject, face.Fail)) for wish in drive.late(SECOND))
    wishes = drive.late(2 * SECOND)
    assert isinstance(wishes[-1], ending)
    assert drive.sent == drive.sent[:1]


def test_what_comes_shortly_before_the_process_ends_is_forwarded_with_the_time_that_is_left():
    made = fleet()
    made.end_by = 2 * SECOND
    wish = Drive(made, task("t", function_of(made, "cell7")), now=SECOND).wishes[0]
    assert isinstance(wish, ForwardAttempt)
    assert wish.start_by < 2 * SECOND
    late = Drive(made, task("u", function_of(made, "cell7")), now=2 * SECOND)
    assert isinstance(late.wishes[-1], face.Reject)
    assert late.sent == []
