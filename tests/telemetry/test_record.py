"""Counters, recent events and traces of a gateway."""

import io
import json

import pytest

from gaproute.interface import Result
from gaproute.interface.call import FinalResult
from gaproute.telemetry.logs import logger
from gaproute.telemetry.record import MAX_EVENTS, GatewayRecord


@pytest.fixture
def lines():
    return io.StringIO()


@pytest.fixture
def record(lines):
    return GatewayRecord(logger(lines), ("check", "order"), trace_one_in=1)


def test_requests_are_counted_by_class_and_ending(record):
    record.count_request(0)
    record.count_request(1)
    record.count_final_answer(0, FinalResult.DELIVERED)
    record.count_client_left(1)
    assert record.snapshot() == {
        "received": {"check": 1, "order": 1},
        "delivered": {"check": 1},
        "client_left": {"order": 1},
    }


def test_a_failed_attempt_is_counted_by_host_and_by_class(record):
    record.count_attempt_result("a", 1, Result.ERROR)
    record.count_attempt_result("a", 1, Result.OK)
    record.count_load_order("a")
    assert record.snapshot() == {
        "attempts": {"a": {"error": 1, "ok": 1}},
        "failed_attempts": {"order": {"a": {"error": 1}}},
        "load_orders": {"a": 1},
    }


def test_an_internal_error_is_logged_and_recorded_for_the_operators(record, lines):
    record.log_internal_error("a second answer", "g-1")
    assert list(record.events) == [
        ("internal_error", {"message": "a second answer", "gateway_request_id": "g-1"})
    ]
    line = json.loads(lines.getvalue())
    assert (line["level"], line["event"], line["gateway_request_id"]) == ("error", "internal_error", "g-1")


def test_only_the_last_events_are_recorded(record):
    for number in range(MAX_EVENTS + 1):
        record.event("info", "host_changed", number=number)
    assert [fields["number"] for _, fields in record.events] == list(range(1, MAX_EVENTS + 1))


def test_a_step_is_logged_under_the_id_of_the_client(record, lines):
    assert record.is_traced("abc")
    record.log_step("abc", "received", gateway_request_id="g-1")
    line = json.loads(lines.getvalue())
    assert (line["event"], line["request_id"]) == ("request_step", "abc")
    assert (line["step"], line["gateway_request_id"]) == ("received", "g-1")


def test_a_request_without_an_id_is_never_traced(record):
    assert not record.is_traced("")
