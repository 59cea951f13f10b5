"""Requests from acceptance to their final answer."""

import pytest
from helpers import (
    MILLI,
    SECOND,
    Drive,
    row,
    task,
)
from helpers import gateway as make_gateway
from routing_scenes import (
    MAY_HAVE_RUN,
)

from gaproute import interface
from gaproute.interface import Result


@pytest.mark.parametrize("result", MAY_HAVE_RUN)
def test_a_non_idempotent_request_that_may_have_run_fails_without_a_retry(result):
    gateway = make_gateway()
    drive = Drive(gateway, task(request_class=2))
    drive.hears(MILLI, result)
    assert drive.ended
    assert drive.wishes == [interface.Fail()]
    assert len(drive.sent) == 1


def test_a_started_stream_survives_a_pause_of_over_a_second():
    gateway = make_gateway()
    drive = Drive(gateway, task())
    drive.hears(MILLI, Result.STREAM_STARTED)
    drive.late(MILLI + SECOND)
    assert not drive.ended
    drive.hears(2 * SECOND, Result.OK)
    assert drive.ended
    assert drive.wishes == []


def test_the_final_answer_comes_before_the_deadline_and_nothing_follows():
    gateway = make_gateway(row("a"))
    drive = Drive(gateway, task(time_left=SECOND))
    while not drive.ended:
        drive.late(drive.wishes[-1].until)
    assert drive.wishes[-1][:1] == (SECOND,)
    drive = Drive(gateway, task("u", request_class=2, time_left=0))
    assert drive.ended
    assert not drive.sent


def test_delivered_requests_and_departed_clients_cause_no_further_attempts():
    gateway = make_gateway()
    drive = Drive(gateway, task())
    drive.hears(MILLI, Result.OK)
    assert drive.ended
    assert drive.wishes == []
    drive = Drive(gateway, task("u"))
    drive.go(
        (
            MILLI,
            interface.Outcome(
                "u", -1, "", Result.CLIENT_LEFT, 0, True, interface.InstanceStatus.UNKNOWN, None, None
            ),
        )
    )
    assert drive.ended
    assert drive.wishes == [interface.Cancel(0)]


@pytest.mark.parametrize(
    "change",
    [[row("a", state=interface.ListedHostState.DRAINING)], [row("a", state=interface.ListedHostState.GONE)]],
)
def test_a_drained_or_gone_host_gets_no_attempts_or_load_orders(change):
    gateway = make_gateway(row("a"))
    drive = Drive(gateway, task())
    gateway.update_hosts(1, change, complete=False)
    assert not any(
        isinstance(action, (interface.Attempt, interface.LoadOrder))
        for action in drive.hears(2, Result.NOT_LOADED)
    )
    assert Drive(gateway, task("u"), 3).sent == []


@pytest.mark.parametrize(("request_class", "ended"), [(0, True), (1, False), (2, False)])
def test_late_idempotent_requests_are_rejected_while_the_fleet_is_full(request_class, ended):
    gateway = make_gateway()
    drive = Drive(gateway, task(request_class=request_class))
    gateway.throughput.refusals.extend([(SECOND, True)] * 5)
    drive.late(SECOND)
    assert drive.ended is ended
    assert (
        drive.wishes
        == [interface.Cancel(0), interface.Reject(SECOND, interface.RejectReason.LATENCY_OBJECTIVE_MISSED)]
    ) is ended
