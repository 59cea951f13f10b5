"""Hosts that fail beyond the others."""

import pytest
from helpers import (
    MILLI,
    SECOND,
    gateway,
    task,
)
from routing_scenes import (
    answered,
)

from gaproute import interface as face
from gaproute.decisions.routing.attempt_tracker import InFlightAttempt
from gaproute.decisions.routing.parameters import (
    EVALUATION_INTERVAL,
    MAX_SAMPLES,
)
from gaproute.decisions.routing.request_attempts import RequestAttempts
from gaproute.interface import Result


@pytest.mark.parametrize("result", [Result.ERROR, Result.CONNECT_FAILED, Result.RESET, Result.TIMEOUT])
def test_failing_hosts_are_doubted_then_tried_again(result):
    made = gateway()
    for sent in range(2):
        answered(made, "a", 9, sent, result)
    assert made.outliers.doubt(made.hosts_by_id["a"], 0, EVALUATION_INTERVAL) > 0.2
    assert made.selector.choose(EVALUATION_INTERVAL, task(), RequestAttempts()).id != "a"
    assert made.outliers.doubt(made.hosts_by_id["a"], 0, 10 * SECOND) == 0


def test_refusals_are_no_mark_of_a_fault():
    made = gateway()
    answered(made, "a", 9, 0, Result.FULL)
    assert made.outliers.doubt(made.hosts_by_id["a"], 0, EVALUATION_INTERVAL) == 0


def test_a_class_that_fails_is_doubted_apart_from_one_that_goes_well():
    made = gateway()
    for sent in range(4):
        answered(made, "a", 9, sent, Result.ERROR if sent % 2 else Result.OK, request_class=sent % 2)
    assert (
        made.outliers.doubt(made.hosts_by_id["a"], 1, EVALUATION_INTERVAL)
        > 0.2
        > 0.1
        > made.outliers.doubt(made.hosts_by_id["a"], 0, EVALUATION_INTERVAL)
    )


def test_an_error_weighs_less_than_a_attempt_never_answered():
    made = gateway()
    for sent in range(2):
        answered(made, "a", 9, sent, Result.ERROR)
        answered(made, "b", 9, 10 + sent, Result.TIMEOUT)
    assert made.hosts_by_id["a"].bad_results == made.hosts_by_id["b"].bad_results == 2
    assert (
        0
        < made.outliers.doubt(made.hosts_by_id["a"], 0, EVALUATION_INTERVAL)
        < made.outliers.doubt(made.hosts_by_id["b"], 0, EVALUATION_INTERVAL)
    )


def test_an_error_of_a_request_that_may_not_run_again_weighs_whole():
    made = gateway()
    for name, track, weight in (("a", 0, 0.4), ("b", 2, 1.0)):
        made.tracker.in_flight["t", 0] = InFlightAttempt(name, "f", track, 0, True)
        made.attempt_ended(
            SECOND,
            face.Outcome("t", 0, name, Result.ERROR, MILLI, False, face.InstanceStatus.UNKNOWN, None, None),
        )
        assert made.hosts_by_id[name].results[-1] == (SECOND, track, weight)


def test_good_answers_of_other_classes_do_not_push_out_a_classes_failures():
    made = gateway()
    host = made.hosts_by_id["a"]
    for _ in range(2):
        made.outliers.record(host, SECOND, 2, 1.0)
    for _ in range(3 * MAX_SAMPLES):
        made.outliers.record(host, SECOND, 0, 0.0)
    assert made.outliers.doubt(host, 2, SECOND) > 0.5
    assert made.outliers.doubt(host, 0, SECOND) == 0
    assert len(host.results) == 2 + MAX_SAMPLES
