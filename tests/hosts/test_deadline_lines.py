"""The limit passed to a host of lines is at most what its client has left when its bytes are written."""

import json
import socket
import time

import pytest
from request_scenarios import fill_after, first_request_held, one_connection, requests, written_in_part
from scripted import MILLI, SECOND, Handed

from gaproute.fronts.jsonrpc import connection as connections
from gaproute.hosts.jsonlines.connection import WRITE_TIMEOUT
from gaproute.loop import unread
from gaproute.loop.addresses import parse_address

SLACK = 150  # ms, by the operators' terms
D = 2000  # ms that a client waits, sent with its request


def limits(made):
    return [command["meta"]["limit"] for host in made.hosts for command in host.seen("go")]


def limit_allows_for(made, elapsed):
    """Whether the one limit passed on leaves out the time since the request was sent, ms."""
    (limit,) = limits(made)
    return D - elapsed - 500 <= limit <= D - elapsed + SLACK


@pytest.mark.parametrize("waits", [0, 300, 1200])
def test_a_request_that_lay_in_the_queue_of_those_to_be_accepted(gate, waits):
    """The loop stands still meanwhile, by the system's own clock: the kernel knows how old the bytes are."""
    made = gate()
    data = requests(made, 1, 10).replace(b'"d": 3000', b'"d": %d' % D)
    sock = socket.create_connection(parse_address(made.where)[1])
    sock.sendall(data)
    time.sleep(waits / 1000)
    made.until(made.came)
    assert limit_allows_for(made, waits)
    sock.close()


@pytest.mark.parametrize("waits", [0, 60, 140, 400])
def test_a_request_that_lay_unread_on_a_connection_at_work(gate, waits):
    made = gate()
    client = made.client()
    client.ask(1, "repair-order")
    made.until(lambda: client.answers)
    for host in made.hosts:
        host.came.clear()
    client.ask(2, d=D)
    time.sleep(waits / 1000)
    made.until(made.came)
    assert limit_allows_for(made, waits)


def test_a_request_that_lay_unread_as_its_client_takes_no_answers(gate, monkeypatch):
    """How old the bytes are that come in a pause is not known: they count from its begin."""
    monkeypatch.setattr(connections, "MAX_UNSENT_BYTES", 10)
    made = gate(clock=Handed())
    client = made.client()
    client.ask(1)
    made.until(lambda: client.answers)
    (link,) = made.process.front.active_connections
    full = fill_after(link, 0)
    client.ask(2)
    made.until(lambda: link.stream.bytes_unsent)
    client.ask(3)  # the last one that is read
    made.until(lambda: made.came() == 3)
    client.ask(4, d=D)
    client.ask(5, d=D)
    made.passes(SECOND)
    assert made.came() == 3
    full.emptied()
    made.until(lambda: made.came() == 5)
    assert all(limit <= D - 1000 + SLACK for limit in limits(made)[3:])
    made.until(lambda: len(client.answers) == 5)
    client.ask(6, d=D)  # read as it comes
    made.until(lambda: made.came() == 6)
    assert D - SLACK <= limits(made)[-1] <= D


def test_a_retry_carries_what_is_left_then(gate):
    made, client, held = first_request_held(gate, d=D)
    made.passes(900 * MILLI)
    made.hosts[0].reply(*held[0], "overload")
    made.until(lambda: client.answers)
    first, second = sorted(limits(made))
    assert D - SLACK <= second <= D
    assert first <= D - 900 + SLACK


def test_what_waits_for_room_in_a_full_socket_carries_what_is_left_when_it_is_written(gate):
    made, client = written_in_part(gate)
    other = made.client()
    other.ask(1, i="f" * 16, d=D)
    made.turns()
    made.clock.now += WRITE_TIMEOUT - 10 * MILLI
    made.clog.emptied()
    made.until(lambda: made.came() == 2)
    limits = {command["req"]: command["meta"]["limit"] for command in made.hosts[0].seen("go")}
    assert limits["f" * 16] <= D - WRITE_TIMEOUT // MILLI + 20


@pytest.mark.parametrize("track", ["fault-check", "repair-order"])
@pytest.mark.parametrize("span", [90, 300, 1000])
def test_a_request_written_in_part_comes_whole_while_its_limit_is_true_or_never(gate, span, track):
    """An idempotent one goes again then, on another connection."""
    made, client = written_in_part(gate, method=track)
    made.passes(span * MILLI)
    made.clog.emptied()
    made.turns()
    assert all(limit <= D - span + SLACK for limit in limits(made))
    assert made.came() == (span == 90 or track == "fault-check")
    assert len(client.answers) == 1
    assert made.link.stream.open is (span == 90)


def test_a_probe_or_an_order_written_in_part_ends_no_connection(gate):
    made, link = one_connection(gate)
    full = fill_after(link, 10)
    results = []
    made.process.hosts.order("s-0", "7f3a9c21e0b4d655", 1, lambda *each: results.append(each))
    made.passes(WRITE_TIMEOUT + 50 * MILLI)
    full.emptied()
    made.until(lambda: results)
    assert link.stream.open
    assert results[0][0].value == "ok", json.dumps(str(results))


def test_a_kernel_clock_that_runs_otherwise_than_the_loops_makes_no_request_old(gate, monkeypatch):
    monkeypatch.setattr(unread, "age_of_last_bytes", lambda sock: 10 * SECOND)
    made = gate()
    client = made.client()
    for number in (1, 2):
        client.ask(number, d=D)
        made.until(lambda number=number: len(limits(made)) == number)
    assert all(limit >= D - SLACK for limit in limits(made))


@pytest.mark.parametrize("age", [0, 10 * SECOND])
def test_a_request_that_lay_in_the_queue_while_none_were_accepted(gate, monkeypatch, age):
    """The loop goes on turning: what it polls meanwhile does not show the connection."""
    kernels = unread.age_of_last_bytes
    monkeypatch.setattr(unread, "age_of_last_bytes", lambda sock: max(age, kernels(sock)))
    made = gate()
    made.process.front.listener.pause(600 * MILLI)
    sock = socket.create_connection(parse_address(made.where)[1])
    sock.sendall(requests(made, 1, 10).replace(b'"d": 3000', b'"d": %d' % D))
    made.until(made.came)
    assert limit_allows_for(made, 600)
    sock.close()
