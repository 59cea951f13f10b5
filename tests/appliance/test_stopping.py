"""A gateway after SIGTERM still serves requests on connections that it accepted before."""

import os
import re
import socket

import pytest
from helpers import CONFIGURATION, MILLI, SECOND

from gaproute.appliance.shutdown import LATE_REQUEST_TIME, LEAVE_TIME
from gaproute.http1.deadlines import QUIET_TIME
from gaproute.loop.streams import CLOSE_WAIT

BODY = b'{"id": "t", "inputs": []}'
INFER_REQUEST = b"POST /v2/models/lamp/infer HTTP/1.1\r\nHost: g\r\nContent-Length: %d\r\n\r\n%s" % (
    len(BODY),
    BODY,
)
READY = b"GET /v2/health/ready HTTP/1.1\r\nHost: g\r\n\r\n"
SLOW = {"trouble": "slow", "factor": 40}  # hosts answer after longer than LEAVE_TIME


@pytest.fixture
def connect_client():
    """Returns a function that opens a connection which the gateway accepts; all are closed after the test."""
    opened = []

    def connect(testbed):
        before = testbed.gate.connections.client_count
        client = socket.create_connection(testbed.at[1])
        client.settimeout(5)
        opened.append(client)
        testbed.until(lambda: testbed.gate.connections.client_count > before)
        return client

    yield connect
    for client in opened:
        client.close()


def read_to_end(client):
    """All bytes until the gateway closes the connection."""
    parts = []
    while part := client.recv(65536):
        parts.append(part)
    return b"".join(parts)


def statuses(received):
    return [int(status) for status in re.findall(rb"HTTP/1.1 (\d+)", received)]


def close_flags(received):
    """Whether each answer announces that the connection closes."""
    return [b"Connection: close" in part for part in received.split(b"HTTP/1.1 ")[1:]]


def run_to_end(testbed):
    """Runs the loop until the shutdown ends it; returns how long that took, ns."""
    started_at = testbed.loop.now()
    testbed.loop.run()
    return testbed.loop.now() - started_at


def request_count(tap):
    """The number of requests that a host received."""
    return sum(event["what"] == "task" for event in tap.events)


def send_and_check_answer(testbed, client):
    client.sendall(INFER_REQUEST)
    testbed.until(lambda: testbed.seen("task", id="t"))
    testbed.until(lambda: not testbed.gate.core.in_flight)
    testbed.rest(10 * MILLI)  # until the client has the answer
    assert statuses(client.recv(65536)) == [200]


def test_a_request_not_yet_read_at_the_stop_is_served(rig, connect_client):
    testbed = rig(hosts=1)
    client = connect_client(testbed)
    client.sendall(INFER_REQUEST)
    testbed.gate.stop()
    run_to_end(testbed)
    received = read_to_end(client)
    assert statuses(received) == [200]
    assert close_flags(received) == [True]
    assert b"delivered" in received


def test_the_first_request_of_a_connection_may_arrive_after_the_stop(rig, connect_client):
    testbed = rig(hosts=1)
    testbed.hosts[0].command(SLOW)
    client = connect_client(testbed)
    testbed.gate.stop()
    client.sendall(INFER_REQUEST)
    run_to_end(testbed)
    received = read_to_end(client)
    assert statuses(received) == [200]
    assert close_flags(received) == [True]


def test_a_connection_without_a_request_is_closed_and_does_not_delay_the_end_of_the_process(
    rig, connect_client
):
    testbed = rig(hosts=1)
    client = connect_client(testbed)
    testbed.gate.stop()
    duration = run_to_end(testbed)
    assert read_to_end(client) == b""
    assert testbed.gate.connections.client_count == 0
    assert (
        LATE_REQUEST_TIME
        <= duration
        < LATE_REQUEST_TIME + LEAVE_TIME + testbed.gate.configuration.max_deadline
    )


def test_a_partial_request_at_the_stop_is_served_once_complete_or_else_rejected(rig, connect_client):
    testbed = rig(hosts=1)
    completed, incomplete = connect_client(testbed), connect_client(testbed)
    for client in (completed, incomplete):
        client.sendall(INFER_REQUEST[:40])
    testbed.until(lambda: len(testbed.gate.fronts[0].server.active_connections) == 2)
    testbed.gate.stop()
    completed.sendall(INFER_REQUEST[40:])
    duration = run_to_end(testbed)
    assert statuses(read_to_end(completed)) == [200]
    assert statuses(read_to_end(incomplete)) == [408]
    assert duration < LATE_REQUEST_TIME + LEAVE_TIME + testbed.gate.configuration.max_deadline


def test_a_request_not_yet_read_on_a_persistent_connection_is_served(rig, connect_client, monkeypatch):
    # So that the connection is not parked
    monkeypatch.setattr("gaproute.http1.deadlines.QUIET_TIME", 10 * SECOND)
    testbed = rig(hosts=1)
    client = connect_client(testbed)
    send_and_check_answer(testbed, client)
    client.sendall(INFER_REQUEST)
    testbed.gate.stop()
    run_to_end(testbed)
    received = read_to_end(client)
    assert statuses(received) == [200]
    assert close_flags(received) == [True]


def test_the_next_request_of_an_active_connection_may_arrive_after_the_stop(rig, connect_client):
    testbed = rig(hosts=1)
    client = connect_client(testbed)
    send_and_check_answer(testbed, client)
    testbed.gate.stop()
    client.sendall(INFER_REQUEST)
    run_to_end(testbed)
    received = read_to_end(client)
    assert statuses(received) == [200]
    assert close_flags(received) == [True]


def test_an_active_connection_without_another_request_is_closed_after_a_quiet_time(rig, connect_client):
    testbed = rig(hosts=1)
    client = connect_client(testbed)
    send_and_check_answer(testbed, client)
    testbed.gate.stop()
    duration = run_to_end(testbed)
    assert read_to_end(client) == b""
    assert QUIET_TIME / 2 < duration < LATE_REQUEST_TIME + LEAVE_TIME + CLOSE_WAIT + SECOND


def test_a_parked_connection_is_closed_at_once(rig, connect_client):
    testbed = rig(hosts=1)
    client = connect_client(testbed)
    send_and_check_answer(testbed, client)
    testbed.until(lambda: testbed.gate.fronts[0].server.parked_count)
    testbed.gate.stop()
    assert testbed.gate.connections.client_count == 0
    assert read_to_end(client) == b""


def test_of_pipelined_requests_at_the_stop_only_the_last_answer_announces_the_close(rig, connect_client):
    testbed = rig(hosts=1)
    testbed.hosts[0].command(SLOW)
    client = connect_client(testbed)
    client.sendall(INFER_REQUEST + INFER_REQUEST)
    testbed.until(lambda: len(testbed.gate.core.in_flight) == 2)
    testbed.gate.stop()
    run_to_end(testbed)
    received = read_to_end(client)
    assert statuses(received) == [200, 200]
    assert close_flags(received) == [False, True]


@pytest.mark.parametrize(("others_serve", "status"), [(True, 200), (False, 503)])
def test_a_stopping_child_reports_ready_while_other_children_serve_its_address(
    rig, connect_client, others_serve, status
):
    testbed = rig(hosts=1)
    liveness_pipe, parent_end = os.pipe()
    ready_pipe, child_end = os.pipe()
    testbed.gate.attach_to_parent(liveness_pipe, child_end)
    client = connect_client(testbed)
    if others_serve:
        testbed.gate.stop()
    else:
        os.close(parent_end)  # the parent has ended, and so have its other children
        testbed.until(lambda: testbed.gate.stopping)
    client.sendall(READY)
    run_to_end(testbed)
    assert statuses(read_to_end(client)) == [status]
    for fd in (liveness_pipe, ready_pipe, *([parent_end] if others_serve else [])):
        os.close(fd)


def test_a_host_listed_as_draining_after_the_stop_gets_no_more_requests(rig, connect_client):
    testbed = rig(hosts=2)
    connections = [connect_client(testbed) for _ in range(4)]
    send_and_check_answer(testbed, connect_client(testbed))
    [drained] = [position for position, tap in enumerate(testbed.taps) if request_count(tap)]
    testbed.gate.stop()
    lines = testbed.list.read_text().splitlines()
    lines[drained] += " state draining"
    testbed.relist(*lines)
    testbed.rest(100 * MILLI)
    for client in connections:
        client.sendall(INFER_REQUEST)
    run_to_end(testbed)
    assert all(statuses(read_to_end(client)) == [200] for client in connections)
    assert [request_count(tap) for tap in testbed.taps] == ([1, 4] if drained == 0 else [4, 1])


SHORT_LIMITS = {
    "contract 1s limit 4s": "contract 200ms limit 300ms",
    "contract 1s limit 3s": "contract 200ms limit 300ms",
    "contract 600ms limit 1200ms": "contract 200ms limit 300ms",
}
SHORT_CONFIGURATION = CONFIGURATION
for limits, short_limits in SHORT_LIMITS.items():
    SHORT_CONFIGURATION = SHORT_CONFIGURATION.replace(limits, short_limits)


@pytest.mark.parametrize(
    ("configuration", "min_kill_delay"),
    [
        pytest.param(SHORT_CONFIGURATION, SECOND, id="limits-of-0.3-s"),
        pytest.param(CONFIGURATION, 3700 * MILLI, id="limits-of-4-s-that-count-as-3"),
    ],
)
def test_requests_in_flight_have_their_final_answers_before_the_process_may_be_killed(
    rig, configuration, min_kill_delay
):
    """Requests still arrive on open connections, each with its full time limit; the host answers none."""
    testbed = rig(hosts=1, configuration=configuration)
    testbed.hosts[0].command({"trouble": "hang"})
    early = testbed.ask("crew", "early")
    testbed.until(lambda: testbed.seen("task", id="early"))
    clients = [open_accepted_connection(testbed) for _ in range(4)]
    started_at = testbed.loop.now()
    testbed.gate.stop()
    for client in clients:
        testbed.rest(min(min_kill_delay - 250 * MILLI, LATE_REQUEST_TIME - 200 * MILLI) // len(clients))
        client.sendall(INFER_REQUEST)
    testbed.rest(min_kill_delay - (testbed.loop.now() - started_at))
    assert early.ready
    assert not testbed.gate.core.in_flight
    for client in clients:
        assert statuses(client.recv(65536)) in ([503], [504])
        client.close()


def open_accepted_connection(testbed):
    """A non-blocking connection that the gateway has accepted."""
    before = testbed.gate.connections.client_count
    client = socket.create_connection(testbed.at[1])
    client.setblocking(False)
    testbed.until(lambda: testbed.gate.connections.client_count > before)
    return client
