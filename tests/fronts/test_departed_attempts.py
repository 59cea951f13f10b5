"""No attempt begins more than 0.1 s after its client closed or cancelled, however late the loop notices it.

In each test the client leaves during a long turn of the loop, and the event that makes an attempt begin is
handled before the departure.
"""

import json
import socket
import time

import pytest
from request_scenarios import (
    ENDS,
    connect_hosts,
    end,
    fill_after,
    first_request_held,
    one_connection,
    with_limits,
    written_in_part,
)
from scripted import MILLI, SECOND, Handed, HeldDials, half_close

from gaproute.fronts.jsonrpc.errors import ErrorCode
from gaproute.hosts.jsonlines import connection as connections
from gaproute.http1 import exchange as exchanges
from gaproute.http1.exchange import Exchange
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.loop.streams import READ_SIZE
from gaproute.standins.platform import arg

LONG_TURN = 300 * MILLI  # a turn of the loop in which the client leaves unnoticed
DEPARTURES = {
    "fin": lambda client: client.stream.close(),
    "reset": lambda client: client.stream.abort(),
    "half-close": lambda client: half_close(client.stream),
    "abort by number": lambda client: client.message(abort(id=1)),
    "abort by id": lambda client: client.message(abort(i=f"{1:016x}")),
    "stays": lambda client: None,
}
for_each_departure = pytest.mark.parametrize("leave", DEPARTURES.values(), ids=DEPARTURES)
for_each_ending = pytest.mark.parametrize("ending", ENDS)


def abort(**reference):
    return {"jsonrpc": "2.0", "method": "abort", "params": reference}


def connected_socket(where):
    """A connected socket, as `connect` passes it on."""
    sock = socket.create_connection(parse_address(where)[1])
    sock.setblocking(False)
    return sock


def answer_probes_only(stream, command):
    """The answers of a host that answers probes but no requests."""
    if command["type"] != "go":
        reply = {"type": "green", "req": command["req"], "meta": {"meter": "util:0.25;x0:0.5"}}
        stream.write(json.dumps(reply).encode() + b"\n")


@for_each_departure
def test_no_attempt_begins_on_a_connection_opened_in_the_turn_in_which_its_client_leaves(
    gate, monkeypatch, leave
):
    monkeypatch.setattr(connections, "connect", dials := HeldDials())
    gateway = gate(clock=Handed(), settings=with_limits(probes=False, connect_timeout=1000.0))
    client = gateway.client()
    client.ask(1)
    gateway.until(lambda: dials.waiting)
    leave(client)
    gateway.clock.now += LONG_TURN
    dials.held[0][4] = False
    dials.held[0][3](connected_socket(gateway.hosts[0].address), None)
    gateway.turns()
    stays = leave is DEPARTURES["stays"]
    assert gateway.came() == stays == len(client.answers)
    assert not gateway.process.core.in_flight
    assert not gateway.process.core.gateway.hosts_by_id["s-0"].bad_results


@pytest.mark.parametrize("stopping", [False, True])
@for_each_departure
def test_no_retry_begins_if_its_cause_is_read_before_its_client_is_noticed_to_leave(gate, leave, stopping):
    """The host's answer arrives first; both are read after a long turn. Also after SIGTERM."""
    gateway, client, held = first_request_held(gate)
    if stopping:
        gateway.process.stop()
    gateway.hosts[0].reply(*held[0], "overload")
    leave(client)
    gateway.clock.now += LONG_TURN
    gateway.turns()
    stays = leave is DEPARTURES["stays"]
    assert gateway.came() == 1 + stays
    assert len(client.answers) == stays
    assert not gateway.process.core.in_flight


@for_each_departure
def test_no_attempt_begins_by_a_timer_that_is_due_in_the_turn_in_which_its_client_leaves(gate, leave):
    """The host has no instance: the attempt is repeated after the round trip of the load order."""
    held = []

    def answer(stream, command):
        if command["type"] == "go" and not held:
            held.append((stream, command))
        elif command["type"] != "stage":
            gateway.hosts[0].serve(stream, command)

    gateway = gate(answer, clock=Handed())
    connect_hosts(gateway)
    client = gateway.client()
    client.ask(1)
    gateway.until(lambda: held)
    gateway.clock.now += 50 * MILLI
    gateway.hosts[0].reply(*held[0], "not_here")
    gateway.until(lambda: gateway.hosts[0].seen("stage"))
    assert gateway.came() == 1
    assert not client.answers

    def long_turn():
        leave(client)
        gateway.clock.now += LONG_TURN

    gateway.loop.call_at(gateway.loop.now(), long_turn)  # before the timer of the attempt, in the same turn
    gateway.clock.now += 100 * MILLI
    gateway.turns()
    stays = leave is DEPARTURES["stays"]
    assert gateway.came() == 1 + stays
    assert len(client.answers) == stays
    assert not gateway.process.core.in_flight


def test_a_request_does_not_begin_if_its_abort_is_further_behind_it_than_one_read_takes(gate):
    gateway = gate(clock=Handed())
    gateway.process.front.listener.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    client = gateway.client()
    for number in range(1, 11):
        client.ask(number, arg=arg(b"x" * 10_000))
    for number in range(1, 10):
        client.message(abort(id=number))
    data = b"".join(client.waiting)
    assert len(data) > 2 * READ_SIZE
    sock = socket.create_connection(parse_address(gateway.where)[1])
    sock.sendall(data)
    client.waiting = []
    gateway.until(lambda: not gateway.process.core.in_flight and gateway.process.core.submitted_count)
    gateway.turns()
    assert [command["req"] for command in gateway.hosts[0].seen("go")] == [f"{10:016x}"]
    sock.close()


def test_an_unread_abort_on_a_connection_with_paused_reading_ends_its_request(gate):
    """Reading is paused as for a client that receives no answers, so only the next attempt finds the abort.

    A later request is not affected.
    """
    gateway, client, held = first_request_held(gate)
    (connection,) = gateway.process.front.active_connections
    connection.stream.pause()
    client.message(abort(id=1))
    gateway.turns()
    gateway.clock.now += LONG_TURN
    gateway.hosts[0].reply(*held[0], "overload")
    gateway.turns()
    assert gateway.came() == 1
    assert not gateway.process.core.in_flight
    assert not connection.open_requests
    client.ask(2)
    connection.stream.resume()
    gateway.until(lambda: client.answers)
    assert client.answers[0]["id"] == 2
    assert gateway.came() == 2
    assert gateway.process.front.protocol_errors == 0


# Requests that are partly written to the host


def host_receives_request(gateway):
    """Lets the connection to the host take all bytes; returns whether the host received the request."""
    gateway.clog.emptied()
    gateway.turns()
    return bool(gateway.came())


@pytest.mark.parametrize("cancel", [True, False])
@for_each_departure
def test_the_rest_of_a_partly_written_request_is_not_sent_once_its_client_has_left(gate, cancel, leave):
    gateway, client = written_in_part(gate, cancel=cancel)
    leave(client)
    gateway.turns()
    stays = leave is DEPARTURES["stays"]
    assert host_receives_request(gateway) is stays
    assert len(client.answers) == stays
    assert not gateway.process.core.in_flight


def test_another_request_on_that_connection_counts_as_one_that_may_have_run_and_leaves_no_state(gate):
    """The connection is closed, so its host abandons the other request."""
    gateway, connection = one_connection(gate, answer_probes_only)
    other, client = gateway.client(), gateway.client()
    other.ask(1, "repair-order", i="f" * 16)
    gateway.until(gateway.came)
    fill_after(connection, 500)
    client.ask(1, arg=arg(b"x" * 1000))
    gateway.until(lambda: connection.stream.bytes_unsent)
    client.stream.abort()
    gateway.until(lambda: other.answers)
    gateway.turns()
    assert other.answers[0]["error"]["code"] == ErrorCode.FAILED
    assert gateway.came() == 1
    assert not gateway.process.core.in_flight
    assert not connection.pending
    assert not connection.stream.open


# Over HTTP


@for_each_ending
def test_over_http_a_connection_opened_after_its_client_left_carries_no_request(rig, monkeypatch, ending):
    testbed = rig(hosts=1)
    monkeypatch.setattr(exchanges, "connect", dials := HeldDials())
    sock = socket.create_connection(testbed.at[1])
    sock.sendall(b"POST /v2/models/lamp/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 2\r\n\r\n{}")
    testbed.until(lambda: testbed.gate.core.in_flight)
    (entry,) = [each for each in dials.held if each[4]][-1:]
    with socket.create_server(("127.0.0.1", 0)) as host:
        end(sock, ending)
        time.sleep(0.15)  # a long turn of the loop
        entry[4] = False
        entry[3](connected_socket("{}:{}".format(*host.getsockname())), None)
        testbed.rest(50 * MILLI)
        accepted, _ = host.accept()
        with accepted:
            assert accepted.recv(1) == b""
    assert not testbed.gate.core.in_flight
    assert not testbed.gate.core.gateway.hosts_by_id["h0"].bad_results
    sock.close()


def test_over_http_an_exchange_that_is_not_wanted_once_connected_fails_as_expired():
    loop, results = Loop(), []
    with socket.create_server(("127.0.0.1", 0)) as server:
        exchange = Exchange(loop, b"x", lambda *result: results.append(result), still_wanted=lambda: False)
        exchange.connect((socket.AF_INET, server.getsockname()), SECOND, 1024, 1024)
        while not results:
            loop.call_later(MILLI, lambda: None)
            loop.turn()
        accepted, _ = server.accept()
        assert accepted.recv(1) == b""
        accepted.close()
    assert results[0][0] is None
    assert results[0][1].expired
    assert not results[0][1].any_byte_sent
    loop.close()
