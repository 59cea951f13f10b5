"""A gateway that has got SIGTERM: what comes in on connections that it accepted before is still served."""

import os
import re
import socket

import pytest
from helpers import CONFIGURATION, MILLI, SECOND

from gaproute.appliance.shutdown import LATE_REQUEST_TIME, LEAVE_TIME
from gaproute.http1.deadlines import QUIET_TIME
from gaproute.loop.streams import CLOSE_WAIT

BODY = b'{"id": "t", "inputs": []}'
ASK = b"POST /v2/models/lamp/infer HTTP/1.1\r\nHost: g\r\nContent-Length: %d\r\n\r\n%s" % (len(BODY), BODY)
READY = b"GET /v2/health/ready HTTP/1.1\r\nHost: g\r\n\r\n"
SLOW = {"trouble": "slow", "factor": 40}  # an answer takes longer than LEAVE_TIME


@pytest.fixture
def clients():
    """Opens connections that the gateway has accepted, and closes them after the test."""
    opened = []

    def accepted(made):
        before = made.gate.connections.client_count
        client = socket.create_connection(made.at[1])
        client.settimeout(5)
        opened.append(client)
        made.until(lambda: made.gate.connections.client_count > before)
        return client

    yield accepted
    for client in opened:
        client.close()


def rest_of(client):
    """All that comes until the other side closes."""
    parts = []
    while part := client.recv(65536):
        parts.append(part)
    return b"".join(parts)


def statuses(said):
    return [int(status) for status in re.findall(rb"HTTP/1.1 (\d+)", said)]


def closes(said):
    """Of each answer, whether it says that the connection closes."""
    return [b"Connection: close" in part for part in said.split(b"HTTP/1.1 ")[1:]]


def run_out(made):
    """Turns of the loop until it ends by itself; how long that took."""
    began = made.loop.now()
    made.loop.run()
    return made.loop.now() - began


def tasks(tap):
    """How many requests a host got."""
    return sum(event["what"] == "task" for event in tap.events)


def asked_and_answered(made, client):
    client.sendall(ASK)
    made.until(lambda: made.seen("task", id="t"))
    made.until(lambda: not made.gate.core.in_flight)
    made.rest(10 * MILLI)  # the answer is on its way
    assert statuses(client.recv(65536)) == [200]


def test_a_request_that_lies_unread_at_the_stop_is_served(rig, clients):
    made = rig(hosts=1)
    client = clients(made)
    client.sendall(ASK)
    made.gate.stop()
    run_out(made)
    said = rest_of(client)
    assert statuses(said) == [200]
    assert closes(said) == [True]
    assert b"delivered" in said


def test_a_connection_accepted_before_the_stop_may_bring_its_first_request_after_it(rig, clients):
    made = rig(hosts=1)
    made.hosts[0].command(SLOW)
    client = clients(made)
    made.gate.stop()
    client.sendall(ASK)
    run_out(made)
    said = rest_of(client)
    assert statuses(said) == [200]
    assert closes(said) == [True]


def test_one_that_stays_silent_is_closed_after_a_while_and_keeps_the_process_no_longer(rig, clients):
    made = rig(hosts=1)
    client = clients(made)
    made.gate.stop()
    lasted = run_out(made)
    assert rest_of(client) == b""
    assert made.gate.connections.client_count == 0
    assert LATE_REQUEST_TIME <= lasted < LATE_REQUEST_TIME + LEAVE_TIME + made.gate.configuration.max_deadline


def test_half_a_request_at_the_stop_is_served_when_whole_and_refused_where_it_is_not(rig, clients):
    made = rig(hosts=1)
    whole, never = clients(made), clients(made)
    for client in (whole, never):
        client.sendall(ASK[:40])
    made.until(lambda: len(made.gate.fronts[0].server.active_connections) == 2)
    made.gate.stop()
    whole.sendall(ASK[40:])
    lasted = run_out(made)
    assert statuses(rest_of(whole)) == [200]
    assert statuses(rest_of(never)) == [408]
    assert lasted < LATE_REQUEST_TIME + LEAVE_TIME + made.gate.configuration.max_deadline


def test_a_request_that_lies_unread_on_a_persistent_connection_is_served(rig, clients, monkeypatch):
    monkeypatch.setattr("gaproute.http1.deadlines.QUIET_TIME", 10 * SECOND)  # it is not parked meanwhile
    made = rig(hosts=1)
    client = clients(made)
    asked_and_answered(made, client)
    client.sendall(ASK)
    made.gate.stop()
    run_out(made)
    said = rest_of(client)
    assert statuses(said) == [200]
    assert closes(said) == [True]


def test_a_connection_just_answered_may_bring_its_next_request_after_the_stop(rig, clients):
    made = rig(hosts=1)
    client = clients(made)
    asked_and_answered(made, client)
    made.gate.stop()
    client.sendall(ASK)
    run_out(made)
    said = rest_of(client)
    assert statuses(said) == [200]
    assert closes(said) == [True]


def test_a_connection_just_answered_that_brings_no_more_is_closed_before_the_grace_is_over(rig, clients):
    made = rig(hosts=1)
    client = clients(made)
    asked_and_answered(made, client)
    made.gate.stop()
    lasted = run_out(made)
    assert rest_of(client) == b""
    assert QUIET_TIME / 2 < lasted < LATE_REQUEST_TIME + LEAVE_TIME + CLOSE_WAIT + SECOND


def test_an_idle_connection_is_closed_at_once(rig, clients):
    made = rig(hosts=1)
    client = clients(made)
    asked_and_answered(made, client)
    made.until(lambda: made.gate.fronts[0].server.parked_count)
    made.gate.stop()
    assert made.gate.connections.client_count == 0
    assert rest_of(client) == b""


def test_of_requests_in_line_at_the_stop_only_the_last_answer_says_close(rig, clients):
    made = rig(hosts=1)
    made.hosts[0].command(SLOW)
    client = clients(made)
    client.sendall(ASK + ASK)
    made.until(lambda: len(made.gate.core.in_flight) == 2)
    made.gate.stop()
    run_out(made)
    said = rest_of(client)
    assert statuses(said) == [200, 200]
    assert closes(said) == [False, True]


@pytest.mark.parametrize(("others", "status"), [(True, 200), (False, 503)])
def test_readiness_is_that_of_the_address_which_others_serve_on_under_a_parent(rig, clients, others, status):
    made = rig(hosts=1)
    life, parent = os.pipe()
    ready, says = os.pipe()
    made.gate.attach_to_parent(life, says)
    client = clients(made)
    if others:
        made.gate.stop()
    else:
        os.close(parent)  # the parent is gone, and so are the others
        made.until(lambda: made.gate.stopping)
    client.sendall(READY)
    run_out(made)
    assert statuses(rest_of(client)) == [status]
    for fd in (life, ready, *([parent] if others else [])):
        os.close(fd)


def test_a_host_listed_as_draining_after_the_stop_gets_no_more_requests(rig, clients):
    made = rig(hosts=2)
    connections = [clients(made) for _ in range(4)]
    asked_and_answered(made, clients(made))
    [drained] = [place for place, tap in enumerate(made.taps) if tasks(tap)]
    made.gate.stop()
    lines = made.list.read_text().splitlines()
    lines[drained] += " state draining"
    made.relist(*lines)
    made.rest(100 * MILLI)
    for client in connections:
        client.sendall(ASK)
    run_out(made)
    assert all(statuses(rest_of(client)) == [200] for client in connections)
    assert [tasks(tap) for tap in made.taps] == ([1, 4] if drained == 0 else [4, 1])


SHORT_LIMITS = {
    "contract 1s limit 4s": "contract 200ms limit 300ms",
    "contract 1s limit 3s": "contract 200ms limit 300ms",
    "contract 600ms limit 1200ms": "contract 200ms limit 300ms",
}
SHORT = CONFIGURATION
for limits, shorter in SHORT_LIMITS.items():
    SHORT = SHORT.replace(limits, shorter)


@pytest.mark.parametrize(
    ("configuration", "killed"),
    [
        pytest.param(SHORT, SECOND, id="limits-of-0.3-s"),
        pytest.param(CONFIGURATION, 3700 * MILLI, id="limits-of-4-s-that-count-as-3"),
    ],
)
def test_what_is_held_has_its_answer_before_the_process_may_be_killed(rig, configuration, killed):
    """Requests go on coming on open connections, each with its whole limit; the host answers none."""
    made = rig(hosts=1, configuration=configuration)
    made.hosts[0].command({"trouble": "hang"})
    early = made.ask("crew", "early")
    made.until(lambda: made.seen("task", id="early"))
    clients = [accepted_by(made) for _ in range(4)]
    began = made.loop.now()
    made.gate.stop()
    for client in clients:
        made.rest(min(killed - 250 * MILLI, LATE_REQUEST_TIME - 200 * MILLI) // len(clients))
        client.sendall(ASK)
    made.rest(killed - (made.loop.now() - began))
    assert early.ready
    assert not made.gate.core.in_flight
    for client in clients:
        assert statuses(client.recv(65536)) in ([503], [504])
        client.close()


def accepted_by(made):
    """A connection that the gateway has accepted."""
    before = made.gate.connections.client_count
    client = socket.create_connection(made.at[1])
    client.setblocking(False)
    made.until(lambda: made.gate.connections.client_count > before)
    return client
