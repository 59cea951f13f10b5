"""A persistent HTTP/1.1 connection is not closed before a request that has arrived is answered."""

import socket

import pytest
from helpers import CONFIGURATION, MILLI, SECOND

from gaproute.http1.connection import ServerConnection
from tests.appliance.test_stopping import ASK, asked_and_answered, clients, closes, rest_of, run_out, statuses

__all__ = ["clients"]


def test_a_request_that_arrives_while_parked_connections_are_closed_at_a_stop_is_answered(rig, clients):
    testbed = rig(hosts=1)
    idle_clients = [clients(testbed) for _ in range(3)]
    for client in idle_clients:
        asked_and_answered(testbed, client)
    testbed.until(lambda: testbed.gate.fronts[0].server.parked_count == 3)
    connections, sent = testbed.gate.connections, []
    close_parked = connections._close_parked

    def slow_close(fd):
        if not sent:
            sent.append(True)
            idle_clients[-1].sendall(ASK)
        close_parked(fd)

    connections._close_parked = slow_close
    testbed.gate.stop()
    run_out(testbed)
    assert [rest_of(client) for client in idle_clients[:2]] == [b"", b""]
    received = rest_of(idle_clients[-1])
    assert statuses(received) == [200]
    assert closes(received) == [True]


@pytest.mark.parametrize("stops", [True, False])
def test_a_request_that_arrives_as_a_quiet_connection_is_closed_is_answered(rig, clients, monkeypatch, stops):
    """At a stop, or when its idle time is over."""
    monkeypatch.setattr("gaproute.http1.deadlines.QUIET_TIME", 10 * SECOND)  # it is not parked in between
    testbed = rig(hosts=1)
    client = clients(testbed)
    asked_and_answered(testbed, client)
    (connection,) = testbed.gate.fronts[0].server.active_connections
    if stops:
        testbed.gate.stop()
    connection.idle_deadline = testbed.loop.now()
    client.sendall(ASK)  # received by the kernel, not read yet
    connection.park()
    testbed.until(lambda: not testbed.gate.core.in_flight)
    testbed.rest(10 * MILLI)
    assert statuses(client.recv(65536)) == [200]


def test_a_request_whose_rest_has_just_arrived_is_not_rejected_as_slow(rig, clients, monkeypatch):
    testbed = rig(hosts=1)
    client = clients(testbed)
    client.sendall(ASK[:40])
    testbed.until(lambda: testbed.gate.fronts[0].server.active_connections)
    (connection,) = testbed.gate.fronts[0].server.active_connections
    client.sendall(ASK[40:])
    connection.deadline = testbed.loop.now() - 1
    ServerConnection._on_deadline(connection)
    testbed.until(lambda: testbed.seen("task"))
    testbed.until(lambda: not testbed.gate.core.in_flight)
    testbed.rest(10 * MILLI)
    assert statuses(client.recv(65536)) == [200]


@pytest.mark.parametrize("asks_first", [True, False])
def test_a_client_rejected_at_the_connection_limit_is_answered_with_or_without_a_request(
    rig, clients, asks_first
):
    testbed = rig(hosts=1, configuration=CONFIGURATION + "clients connections 1\n")
    clients(testbed)
    late = socket.create_connection(testbed.at[1])
    late.settimeout(5)
    if asks_first:
        late.sendall(ASK)  # received by the kernel before the connection is accepted
    testbed.until(lambda: testbed.gate.fronts[0].server.rejected_connections)
    received = rest_of(late)
    late.close()
    assert statuses(received) == [503]
    assert closes(received) == [True]
    assert not testbed.seen("task")
