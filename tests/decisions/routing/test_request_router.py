"""One request, from acceptance to its final answer."""

import pytest
from helpers import (
    MILLI,
    SECOND,
    Drive,
    gateway,
    row,
    task,
)
from routing_scenes import (
    MAY_HAVE_RUN,
)

from gaproute import interface as face
from gaproute.interface import Result


@pytest.mark.parametrize("result", MAY_HAVE_RUN)
def test_non_idempotent_never_goes_again_nor_is_rejected_once_it_may_have_run(result):
    made = gateway()
    drive = Drive(made, task(request_class=2))
    drive.hears(MILLI, result)
    assert drive.ended
    assert drive.wishes == [face.Fail()]
    assert len(drive.sent) == 1


def test_a_begun_stream_that_rests_for_over_a_second_goes_on():
    made = gateway()
    drive = Drive(made, task())
    drive.hears(MILLI, Result.STREAM_STARTED)
    drive.late(MILLI + SECOND)
    assert not drive.ended
    drive.hears(2 * SECOND, Result.OK)
    assert drive.ended
    assert drive.wishes == []


def test_final_answer_before_the_time_is_up_and_nothing_after():
    made = gateway(row("a"))
    drive = Drive(made, task(time_left=SECOND))
    while not drive.ended:
        drive.late(drive.wishes[-1].until)
    assert drive.wishes[-1][:1] == (SECOND,)
    drive = Drive(made, task("u", request_class=2, time_left=0))
    assert drive.ended
    assert not drive.sent


def test_departed_and_delivered_requests_send_nothing_more():
    made = gateway()
    drive = Drive(made, task())
    drive.hears(MILLI, Result.OK)
    assert drive.ended
    assert drive.wishes == []
    drive = Drive(made, task("u"))
    drive.go(
        (
            MILLI,
            face.Outcome("u", -1, "", Result.CLIENT_LEFT, 0, True, face.InstanceStatus.UNKNOWN, None, None),
        )
    )
    assert drive.ended
    assert drive.wishes == [face.Cancel(0)]


@pytest.mark.parametrize(
    "change", [[row("a", state=face.ListedHostState.DRAINING)], [row("a", state=face.ListedHostState.GONE)]]
)
def test_drains_stop_requests_and_orders_at_once(change):
    made = gateway(row("a"))
    drive = Drive(made, task())
    made.update_hosts(1, change, complete=False)
    assert not any(
        isinstance(action, (face.Attempt, face.LoadOrder)) for action in drive.hears(2, Result.NOT_LOADED)
    )
    assert Drive(made, task("u"), 3).sent == []


@pytest.mark.parametrize(("track", "ended"), [(0, True), (1, False), (2, False)])
def test_late_idempotent_requests_make_room_where_the_fleet_is_crowded(track, ended):
    made = gateway()
    drive = Drive(made, task(request_class=track))
    made.throughput.refusals.extend([(SECOND, True)] * 5)
    drive.late(SECOND)
    assert drive.ended is ended
    assert (
        drive.wishes == [face.Cancel(0), face.Reject(SECOND, face.RejectReason.LATENCY_OBJECTIVE_MISSED)]
    ) is ended
