"""Hosts that fail more often than others."""

import pytest
from helpers import (
    MILLI,
    SECOND,
    task,
)
from helpers import gateway as make_gateway
from routing_scenes import (
    send_and_end_attempt,
)

from gaproute import interface
from gaproute.decisions.routing.attempt_tracker import InFlightAttempt
from gaproute.decisions.routing.parameters import (
    EVALUATION_INTERVAL,
    MAX_SAMPLES,
)
from gaproute.decisions.routing.request_attempts import RequestAttempts
from gaproute.interface import Result


@pytest.mark.parametrize("result", [Result.ERROR, Result.CONNECT_FAILED, Result.RESET, Result.TIMEOUT])
def test_failing_hosts_are_doubted_then_tried_again(result):
    gateway = make_gateway()
    for sent_at in range(2):
        send_and_end_attempt(gateway, "a", 9, sent_at, result)
    assert gateway.outliers.doubt(gateway.hosts_by_id["a"], 0, EVALUATION_INTERVAL) > 0.2
    assert gateway.selector.choose(EVALUATION_INTERVAL, task(), RequestAttempts()).id != "a"
    assert gateway.outliers.doubt(gateway.hosts_by_id["a"], 0, 10 * SECOND) == 0


def test_refusals_cause_no_doubt():
    gateway = make_gateway()
    send_and_end_attempt(gateway, "a", 9, 0, Result.FULL)
    assert gateway.outliers.doubt(gateway.hosts_by_id["a"], 0, EVALUATION_INTERVAL) == 0


def test_doubt_about_a_failing_class_does_not_apply_to_another_class():
    gateway = make_gateway()
    for sent_at in range(4):
        send_and_end_attempt(
            gateway, "a", 9, sent_at, Result.ERROR if sent_at % 2 else Result.OK, request_class=sent_at % 2
        )
    assert (
        gateway.outliers.doubt(gateway.hosts_by_id["a"], 1, EVALUATION_INTERVAL)
        > 0.2
        > 0.1
        > gateway.outliers.doubt(gateway.hosts_by_id["a"], 0, EVALUATION_INTERVAL)
    )


def test_an_error_weighs_less_than_an_unanswered_attempt():
    gateway = make_gateway()
    for sent_at in range(2):
        send_and_end_attempt(gateway, "a", 9, sent_at, Result.ERROR)
        send_and_end_attempt(gateway, "b", 9, 10 + sent_at, Result.TIMEOUT)
    assert gateway.hosts_by_id["a"].bad_results == gateway.hosts_by_id["b"].bad_results == 2
    assert (
        0
        < gateway.outliers.doubt(gateway.hosts_by_id["a"], 0, EVALUATION_INTERVAL)
        < gateway.outliers.doubt(gateway.hosts_by_id["b"], 0, EVALUATION_INTERVAL)
    )


def test_an_error_of_a_non_idempotent_request_weighs_as_much_as_no_answer():
    gateway = make_gateway()
    for host_id, request_class, weight in (("a", 0, 0.4), ("b", 2, 1.0)):
        gateway.tracker.in_flight["t", 0] = InFlightAttempt(host_id, "f", request_class, 0, True)
        gateway.attempt_ended(
            SECOND,
            interface.Outcome(
                "t", 0, host_id, Result.ERROR, MILLI, False, interface.InstanceStatus.UNKNOWN, None, None
            ),
        )
        assert gateway.hosts_by_id[host_id].results[-1] == (SECOND, request_class, weight)


def test_good_answers_of_other_classes_do_not_displace_failures_of_a_class():
    gateway = make_gateway()
    host = gateway.hosts_by_id["a"]
    for _ in range(2):
        gateway.outliers.record(host, SECOND, 2, 1.0)
    for _ in range(3 * MAX_SAMPLES):
        gateway.outliers.record(host, SECOND, 0, 0.0)
    assert gateway.outliers.doubt(host, 2, SECOND) > 0.5
    assert gateway.outliers.doubt(host, 0, SECOND) == 0
    assert len(host.results) == 2 + MAX_SAMPLES
