"""Requests through entry gateways: what is forwarded, and how an entry serves it."""

import pytest
from cellular_gateways import (
    IDEMPOTENT,
    IDEMPOTENT_WITH_KEY,
    NON_IDEMPOTENT,
    function_with_home,
    make_gateway,
)
from helpers import Drive, task

from gaproute import interface as face
from gaproute.decisions.cells.entries import MAX_HOPS, ForwardAttempt, Forwarded

MILLI, SECOND = 1_000_000, 1_000_000_000


def test_a_request_for_an_unknown_cell_is_forwarded_with_its_cell_and_hops():
    gateway = make_gateway()
    drive = Drive(gateway, task("t", function_with_home(gateway, "cell7")))
    action = drive.wishes[0]
    assert isinstance(action, ForwardAttempt)
    assert action.forwarded == Forwarded("cell7", 1)
    assert (action.host, action.address) in gateway.table.by_name["cell7"].entries
    drive.hears(100 * MILLI, face.Result.OK)
    assert drive.ended


def test_an_entry_serves_a_forwarded_request_in_the_named_cell_only():
    gateway = make_gateway()
    serve = gateway.serve(0, task("t", function_with_home(gateway, "cell7")), Forwarded("cell0", 1))
    assert next(serve).host.startswith("cell0-")
    gateway.update_hosts(0, [], complete=True, cell="cell0")
    serve = gateway.serve(0, task("u"), Forwarded("cell0", 1))
    assert isinstance(next(serve), face.Reject)


def test_an_entry_rejects_requests_for_its_faulty_cell_except_the_trial():
    gateway = make_gateway()
    gateway.health.record_unreachable(0, "cell0")
    assert isinstance(next(gateway.serve(0, task("t"), Forwarded("cell0", 1))), face.Reject)
    non_idempotent = gateway.serve(2 * SECOND, task("e", request_class=NON_IDEMPOTENT), Forwarded("cell0", 1))
    assert isinstance(next(non_idempotent), face.Reject)
    assert next(gateway.serve(2 * SECOND, task("u"), Forwarded("cell0", 1))).host.startswith("cell0-")
    assert isinstance(next(gateway.serve(2 * SECOND, task("v"), Forwarded("cell0", 1))), face.Reject)


def test_an_entry_that_no_longer_knows_the_cell_forwards_once():
    gateway = make_gateway()
    action = next(gateway.serve(0, task("t"), Forwarded("cell7", 1)))
    assert isinstance(action, ForwardAttempt)
    assert action.forwarded == Forwarded("cell7", MAX_HOPS)
    assert isinstance(next(gateway.serve(0, task("u"), Forwarded("cell7", MAX_HOPS))), face.Reject)
    assert isinstance(next(gateway.serve(0, task("v"), Forwarded("nowhere", 1))), face.Reject)


@pytest.mark.parametrize(
    ("request_class", "answer_type"),
    [(IDEMPOTENT, face.Reject), (IDEMPOTENT_WITH_KEY, face.Fail), (NON_IDEMPOTENT, face.Fail)],
)
def test_a_forwarded_request_has_its_answer_before_the_process_ends(request_class, answer_type):
    gateway = make_gateway()
    drive = Drive(
        gateway, task("t", function_with_home(gateway, "cell7"), request_class, time_left=10 * SECOND)
    )
    gateway.end_by = 2 * SECOND
    assert not any(isinstance(action, (face.Reject, face.Fail)) for action in drive.late(SECOND))
    actions = drive.late(2 * SECOND)
    assert isinstance(actions[-1], answer_type)
    assert drive.sent == drive.sent[:1]


def test_a_request_shortly_before_the_process_ends_is_forwarded_with_the_time_left():
    gateway = make_gateway()
    gateway.end_by = 2 * SECOND
    action = Drive(gateway, task("t", function_with_home(gateway, "cell7")), now=SECOND).wishes[0]
    assert isinstance(action, ForwardAttempt)
    assert action.start_by < 2 * SECOND
    late = Drive(gateway, task("u", function_with_home(gateway, "cell7")), now=2 * SECOND)
    assert isinstance(late.wishes[-1], face.Reject)
    assert late.sent == []
