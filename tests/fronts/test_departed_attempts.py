"""No attempt begins more than 0.1 s after its client closed or cancelled, however late the loop hears of it.

In each test the client leaves while the loop is in a long turn, and what makes an attempt begin comes first.
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

LONG = 300 * MILLI  # a turn in which the client leaves and nothing of it is heard
LEAVES = {
    "fin": lambda client: client.stream.close(),
    "reset": lambda client: client.stream.abort(),
    "half a close": lambda client: half_close(client.stream),
    "abort by number": lambda client: client.message(abort(id=1)),
    "abort by mark": lambda client: client.message(abort(i=f"{1:016x}")),
    "stays": lambda client: None,
}
leaves = pytest.mark.parametrize("leave", LEAVES.values(), ids=LEAVES)
only_ends = pytest.mark.parametrize("way", ENDS)


def abort(**named):
    return {"jsonrpc": "2.0", "method": "abort", "params": named}


def dialled(where):
    """A connection that has come up, as `connect` passes it on."""
    sock = socket.create_connection(parse_address(where)[1])
    sock.setblocking(False)
    return sock


def silent_at_requests(stream, command):
    """A host that answers probes alone."""
    if command["type"] != "go":
        reply = {"type": "green", "req": command["req"], "meta": {"meter": "util:0.25;x0:0.5"}}
        stream.write(json.dumps(reply).encode() + b"\n")


@leaves
def test_a_dial_that_comes_up_in_the_long_turn_in_which_its_client_leaves(gate, monkeypatch, leave):
    monkeypatch.setattr(connections, "connect", dials := HeldDials())
    made = gate(clock=Handed(), settings=with_limits(probes=False, connect_timeout=1000.0))
    client = made.client()
    client.ask(1)
    made.until(lambda: dials.waiting)
    leave(client)
    made.clock.now += LONG
    dials.held[0][4] = False
    dials.held[0][3](dialled(made.hosts[0].address), None)
    made.turns()
    stays = leave is LEAVES["stays"]
    assert made.came() == stays == len(client.answers)
    assert not made.process.core.in_flight
    assert not made.process.core.gateway.hosts_by_id["s-0"].bad_results


@pytest.mark.parametrize("stopping", [False, True])
@leaves
def test_a_retry_whose_cause_is_read_before_its_client_has_left(gate, leave, stopping):
    """Also after SIGTERM. The host's answer lay there first; both are read after a long turn."""
    made, client, held = first_request_held(gate)
    if stopping:
        made.process.stop()
    made.hosts[0].reply(*held[0], "overload")
    leave(client)
    made.clock.now += LONG
    made.turns()
    stays = leave is LEAVES["stays"]
    assert made.came() == 1 + stays
    assert len(client.answers) == stays
    assert not made.process.core.in_flight


@leaves
def test_an_attempt_whose_timer_is_due_in_the_turn_in_which_its_client_leaves(gate, leave):
    """The host had no copy: the attempt goes again once the order for one has had its round trip."""
    held = []

    def answer(stream, command):
        if command["type"] == "go" and not held:
            held.append((stream, command))
        elif command["type"] != "stage":
            made.hosts[0].serve(stream, command)

    made = gate(answer, clock=Handed())
    connect_hosts(made)
    client = made.client()
    client.ask(1)
    made.until(lambda: held)
    made.clock.now += 50 * MILLI
    made.hosts[0].reply(*held[0], "not_here")
    made.until(lambda: made.hosts[0].seen("stage"))
    assert made.came() == 1
    assert not client.answers

    def long_turn():
        leave(client)
        made.clock.now += LONG

    made.loop.at(made.loop.now(), long_turn)  # both are due in the same turn, this first
    made.clock.now += 100 * MILLI
    made.turns()
    stays = leave is LEAVES["stays"]
    assert made.came() == 1 + stays
    assert len(client.answers) == stays
    assert not made.process.core.in_flight


def test_a_request_is_not_begun_whose_abort_lies_behind_more_than_one_read(gate):
    made = gate(clock=Handed())
    made.process.front.listener.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)
    client = made.client()
    for number in range(1, 11):
        client.ask(number, arg=arg(b"x" * 10_000))
    for number in range(1, 10):
        client.message(abort(id=number))
    data = b"".join(client.waiting)
    assert len(data) > 2 * READ_SIZE
    sock = socket.create_connection(parse_address(made.where)[1])
    sock.sendall(data)
    client.waiting = []
    made.until(lambda: not made.process.core.in_flight and made.process.core.submitted)
    made.turns()
    assert [command["req"] for command in made.hosts[0].seen("go")] == [f"{10:016x}"]
    sock.close()


def test_an_abort_that_lies_unread_on_a_connection_that_is_not_read_ends_its_request(gate):
    """Its client takes no answers. The next attempt asks; the request that follows is not touched by it."""
    made, client, held = first_request_held(gate)
    (link,) = made.process.front.active_connections
    link.stream.pause()
    client.message(abort(id=1))
    made.turns()
    made.clock.now += LONG
    made.hosts[0].reply(*held[0], "overload")
    made.turns()
    assert made.came() == 1
    assert not made.process.core.in_flight
    assert not link.open_requests
    client.ask(2)
    link.stream.resume()
    made.until(lambda: client.answers)
    assert client.answers[0]["id"] == 2
    assert made.came() == 2
    assert made.process.front.protocol_errors == 0


# What has begun to be written and has not come whole


def reads_on(made):
    """The connection takes all there is; whether the host got the request."""
    made.clog.emptied()
    made.turns()
    return bool(made.came())


@pytest.mark.parametrize("cancel", [True, False])
@leaves
def test_a_request_written_in_part_never_comes_whole_once_its_client_has_left(gate, cancel, leave):
    made, client = written_in_part(gate, cancel=cancel)
    leave(client)
    made.turns()
    stays = leave is LEAVES["stays"]
    assert reads_on(made) is stays
    assert len(client.answers) == stays
    assert not made.process.core.in_flight


def test_what_else_is_at_work_on_that_connection_may_have_run_and_nothing_is_left_of_it(gate):
    """The connection ends: its host gives up what is open on it."""
    made, link = one_connection(gate, silent_at_requests)
    other, client = made.client(), made.client()
    other.ask(1, "repair-order", i="f" * 16)
    made.until(made.came)
    fill_after(link, 500)
    client.ask(1, arg=arg(b"x" * 1000))
    made.until(lambda: link.stream.bytes_unsent)
    client.stream.abort()
    made.until(lambda: other.answers)
    made.turns()
    assert other.answers[0]["error"]["code"] == ErrorCode.FAILED
    assert made.came() == 1
    assert not made.process.core.in_flight
    assert not link.pending
    assert not link.stream.open


# Over HTTP


@only_ends
def test_over_http_a_dial_that_comes_up_when_its_client_has_left_begins_nothing(rig, monkeypatch, way):
    made = rig(hosts=1)
    monkeypatch.setattr(exchanges, "connect", dials := HeldDials())
    sock = socket.create_connection(made.at[1])
    sock.sendall(b"POST /v2/models/lamp/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 2\r\n\r\n{}")
    made.until(lambda: made.gate.core.in_flight)
    (entry,) = [each for each in dials.held if each[4]][-1:]
    with socket.create_server(("127.0.0.1", 0)) as host:
        end(sock, way)
        time.sleep(0.15)  # a long turn
        entry[4] = False
        entry[3](dialled("{}:{}".format(*host.getsockname())), None)
        made.rest(50 * MILLI)
        came, _ = host.accept()
        with came:
            assert came.recv(1) == b""
    assert not made.gate.core.in_flight
    assert not made.gate.core.gateway.hosts_by_id["h0"].bad_results
    sock.close()


def test_over_http_what_may_not_begin_on_a_connection_that_came_up_has_lapsed():
    loop, results = Loop(), []
    with socket.create_server(("127.0.0.1", 0)) as server:
        exchange = Exchange(loop, b"x", lambda *each: results.append(each), still_wanted=lambda: False)
        exchange.connect((socket.AF_INET, server.getsockname()), SECOND, 1024, 1024)
        while not results:
            loop.after(MILLI, lambda: None)
            loop.turn()
        came, _ = server.accept()
        assert came.recv(1) == b""
        came.close()
    assert results[0][0] is None
    assert results[0][1].lapsed
    assert not results[0][1].any_byte_sent
    loop.close()
