"""The platform's gateway whole, on loopback: clients and their requests; hosts and the log are stand-ins."""

import json
import time

import pytest
from scripted import MILLI, SECOND, SETTINGS, nothing

from gaproute.benchlink.decoding import decode_terms
from gaproute.fronts.jsonrpc import connection as connections
from gaproute.fronts.jsonrpc import front as fronts
from gaproute.fronts.jsonrpc.errors import ErrorCode
from gaproute.settings import read_deployment, read_terms
from gaproute.standins.platform import arg


def test_the_start_object_is_read_alike_for_the_wire_and_for_the_node():
    assert decode_terms(json.dumps(SETTINGS)) == read_terms(SETTINGS)
    deployment = read_deployment(SETTINGS)
    assert (deployment.class_names, deployment.requests_per_connection, deployment.idle_time) == (
        ("fault-check", "repair-order"),
        100,
        15 * SECOND,
    )


def test_a_task_goes_through_and_its_body_comes_back_unchanged(gate):
    made = gate()
    client = made.client()
    client.ask(1)
    client.ask(2, "repair-order")
    made.until(lambda: len(client.answers) == 2)
    assert {each["id"]: each["result"]["arg"] for each in client.answers} == {
        1: arg(b"body 1"),
        2: arg(b"body 2"),
    }


def test_ping_says_up_and_no_more_once_it_stops(gate):
    made = gate()
    client = made.client()
    client.message({"jsonrpc": "2.0", "id": 1, "method": "ping"})
    made.until(lambda: client.answers)
    made.process.stop()
    client.message({"jsonrpc": "2.0", "id": 2, "method": "ping"})
    made.until(lambda: len(client.answers) == 2)
    assert [each["result"]["up"] for each in client.answers] == [True, False]


@pytest.mark.parametrize(
    ("fields", "code"),
    [
        ({"method": "no-such-class"}, ErrorCode.METHOD_NOT_FOUND),
        ({"d": -1}, ErrorCode.INVALID_PARAMS),
        ({"extras": "lanes:x"}, ErrorCode.INVALID_PARAMS),
        ({"i": "short"}, ErrorCode.INVALID_PARAMS),
    ],
)
def test_bad_input_gets_an_error_and_reaches_no_host(gate, fields, code):
    made = gate()
    client = made.client()
    client.ask(1, **fields)
    client.ask(2)
    made.until(lambda: len(client.answers) == 2)
    assert client.answers[0]["error"]["code"] == code
    assert "result" in client.answers[1]
    assert made.came() == 1
    assert not made.hosts[0].seen("stage")


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\xffnoise\r\n\r\n",
        b"Content-Length: 60000000\r\n\r\n" + b"x" * 70000,
        b"Content-Length: -5\r\n\r\n",
        b"x" * 2000,
        b"Content-Length: 1\r\n\r\n{",
    ],
)
def test_what_cannot_be_read_gets_an_error_and_a_close(gate, data):
    made = gate()
    client = made.client()
    client.send(data)
    made.until(lambda: client.ended)
    assert client.answers[0]["error"]["code"] == ErrorCode.PARSE_ERROR
    made.until(lambda: not made.process.front.active_connections)
    assert made.process.front.connections.client_count == 0


def test_a_second_request_under_an_open_id_or_number_is_an_error_and_the_first_unharmed(gate):
    held = []
    made = gate(lambda stream, command: held.append((stream, command)))
    client = made.client()
    client.ask(1)
    made.until(lambda: made.came())
    client.ask(2, i=f"{1:016x}", arg=arg(b"another"))
    client.ask(1, i=f"{9:016x}")
    made.until(lambda: len(client.answers) == 2)
    assert [(each["id"], each["error"]["code"]) for each in client.answers] == [
        (2, ErrorCode.INVALID_PARAMS),
        (None, ErrorCode.INVALID_REQUEST),
    ]
    for stream, command in held:
        made.hosts[0].serve(stream, command)
    made.until(lambda: len(client.answers) == 3)
    assert client.answers[2]["result"]["arg"] == arg(b"body 1")
    assert made.came() == 1


def test_a_33rd_open_request_is_turned_away(gate):
    made = gate(nothing)
    client = made.client()
    for number in range(1, 34):
        client.ask(number)
    made.until(lambda: client.answers)
    assert [(each["id"], each["error"]["code"]) for each in client.answers] == [(33, ErrorCode.REJECTED)]


def test_an_abort_halts_the_relay_and_nothing_is_answered(gate):
    made = gate(nothing)
    client = made.client()
    client.ask(1)
    made.until(lambda: made.came())
    client.message({"jsonrpc": "2.0", "method": "abort", "params": {"id": 1}})
    made.until(lambda: made.hosts[0].seen("halt"))
    made.until(lambda: not made.process.core.in_flight)
    assert client.answers == []
    assert not made.process.front.open_request_ids


def test_a_client_that_goes_takes_its_requests_with_it(gate):
    made = gate(nothing)
    client = made.client()
    client.ask(1)
    made.until(lambda: made.came())
    client.stream.abort()
    made.until(lambda: not made.process.core.in_flight)
    assert not made.process.front.open_request_ids
    assert not made.process.front.active_connections


def test_a_connection_that_sends_nothing_or_half_a_message_is_closed(gate, monkeypatch):
    monkeypatch.setattr(fronts, "FIRST_MESSAGE_TIMEOUT", 30 * MILLI)
    monkeypatch.setattr(connections, "PROGRESS_TIMEOUT", 30 * MILLI)
    monkeypatch.setattr(fronts, "SWEEP_INTERVAL", 10 * MILLI)
    made = gate()
    silent, half = made.client(), made.client()
    half.send(b"Content-Length: 50\r\n\r\nhalf")
    made.until(lambda: silent.ended and half.ended)
    assert made.process.core.in_flight == {}


def test_the_clock_of_the_deadline_runs_from_the_last_byte(gate):
    made = gate(nothing)
    client = made.client()
    began = time.monotonic()
    client.ask(1, d=200)
    made.until(lambda: client.answers)
    assert "error" in client.answers[0]
    assert 0.1 < time.monotonic() - began < 0.25
