"""A persistent HTTP/1.1 connection is not closed before a request that has arrived is answered."""

import socket

import pytest
from helpers import CONFIGURATION, MILLI, SECOND

from gaproute.http1.connection import ServerConnection
from tests.appliance.test_stopping import (
    INFER_REQUEST,
    close_flags,
    connect_client,
    read_to_end,
    run_to_end,
    send_and_check_answer,
    statuses,
)

__all__ = ["connect_client"]


def test_a_request_that_arrives_while_parked_connections_are_closed_at_a_stop_is_answered(
    rig, connect_client
):
    testbed = rig(hosts=1)
    idle_clients = [connect_client(testbed) for _ in range(3)]
    for client in idle_clients:
        send_and_check_answer(testbed, client)
    testbed.until(lambda: testbed.gate.fronts[0].server.parked_count == 3)
    connections, sent = testbed.gate.connections, []
    close_parked = connections._close_parked

    def slow_close(fd):
        if not sent:
            sent.append(True)
            idle_clients[-1].sendall(INFER_REQUEST)
        close_parked(fd)

    connections._close_parked = slow_close
    testbed.gate.stop()
    run_to_end(testbed)
    assert [read_to_end(client) for client in idle_clients[:2]] == [b"", b""]
    received = read_to_end(idle_clients[-1])
    assert statuses(received) == [200]
    assert close_flags(received) == [True]


@pytest.mark.parametrize("stops", [True, False])
def test_a_request_that_arrives_as_a_quiet_connection_is_closed_is_answered(
    rig, connect_client, monkeypatch, stops
):
    """At a stop, or when its idle time is over."""
    monkeypatch.setattr("gaproute.http1.deadlines.QUIET_TIME", 10 * SECOND)  # it is not parked in between
    testbed = rig(hosts=1)
    client = connect_client(testbed)
    send_and_check_answer(testbed, client)
    (connection,) = testbed.gate.fronts[0].server.active_connections
    if stops:
        testbed.gate.stop()
    connection.idle_deadline = testbed.loop.now()
    client.sendall(INFER_REQUEST)  # received by the kernel, not read yet
    connection.park()
    testbed.until(lambda: not testbed.gate.core.in_flight)
    testbed.rest(10 * MILLI)
    assert statuses(client.recv(65536)) == [200]


def test_a_request_whose_rest_has_just_arrived_is_not_rejected_as_slow(rig, connect_client, monkeypatch):
    testbed = rig(hosts=1)
    client = connect_client(testbed)
    client.sendall(INFER_REQUEST[:40])
    testbed.until(lambda: testbed.gate.fronts[0].server.active_connections)
    (connection,) = testbed.gate.fronts[0].server.active_connections
    client.sendall(INFER_REQUEST[40:])
    connection.deadline = testbed.loop.now() - 1
    ServerConnection._on_deadline(connection)
    testbed.until(lambda: testbed.seen("task"))
    testbed.until(lambda: not testbed.gate.core.in_flight)
    testbed.rest(10 * MILLI)
    assert statuses(client.recv(65536)) == [200]


@pytest.mark.parametrize("asks_first", [True, False])
def test_a_client_rejected_at_the_connection_limit_is_answered_with_or_without_a_request(
    rig, connect_client, asks_first
):
    testbed = rig(hosts=1, configuration=CONFIGURATION + "clients connections 1\n")
    connect_client(testbed)
    late = socket.create_connection(testbed.at[1])
    late.settimeout(5)
    if asks_first:
        late.sendall(INFER_REQUEST)  # received by the kernel before the connection is accepted
    testbed.until(lambda: testbed.gate.fronts[0].server.rejected_connections)
    received = read_to_end(late)
    late.close()
    assert statuses(received) == [503]
    assert close_flags(received) == [True]
    assert not testbed.seen("task")
