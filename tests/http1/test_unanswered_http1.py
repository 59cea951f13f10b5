"""HTTP/1.1: a persistent connection is not closed over a request that has come by then."""

import socket

import pytest
from helpers import CONFIGURATION, MILLI, SECOND

from gaproute.http1.connection import ServerConnection
from tests.appliance.test_stopping import ASK, asked_and_answered, clients, closes, rest_of, run_out, statuses

__all__ = ["clients"]


def test_a_request_that_comes_while_resting_connections_are_closed_at_a_stop_is_answered(rig, clients):
    made = rig(hosts=1)
    idle_clients = [clients(made) for _ in range(3)]
    for client in idle_clients:
        asked_and_answered(made, client)
    made.until(lambda: made.gate.fronts[0].server.parked == 3)
    connections, said = made.gate.connections, []
    drop = connections._close_parked

    def slow_close(fd):
        if not said:
            said.append(True)
            idle_clients[-1].sendall(ASK)
        drop(fd)

    connections._close_parked = slow_close
    made.gate.stop()
    run_out(made)
    assert [rest_of(client) for client in idle_clients[:2]] == [b"", b""]
    said = rest_of(idle_clients[-1])
    assert statuses(said) == [200]
    assert closes(said) == [True]


@pytest.mark.parametrize("stops", [True, False])
def test_a_request_that_comes_as_a_quiet_connection_is_closed_is_answered(rig, clients, monkeypatch, stops):
    """At a stop, or as its idle time is over."""
    monkeypatch.setattr("gaproute.http1.deadlines.QUIET_TIME", 10 * SECOND)  # it is not parked meanwhile
    made = rig(hosts=1)
    client = clients(made)
    asked_and_answered(made, client)
    (link,) = made.gate.fronts[0].server.active_connections
    if stops:
        made.gate.stop()
    link.idle_deadline = made.loop.now()
    client.sendall(ASK)  # in the gateway's socket, not read by it
    link.park()
    made.until(lambda: not made.gate.core.in_flight)
    made.rest(10 * MILLI)
    assert statuses(client.recv(65536)) == [200]


def test_a_request_whose_rest_has_just_come_is_not_refused_as_a_slow_one(rig, clients, monkeypatch):
    made = rig(hosts=1)
    client = clients(made)
    client.sendall(ASK[:40])
    made.until(lambda: made.gate.fronts[0].server.active_connections)
    (link,) = made.gate.fronts[0].server.active_connections
    client.sendall(ASK[40:])
    link.deadline = made.loop.now() - 1
    ServerConnection._on_deadline(link)
    made.until(lambda: made.seen("task"))
    made.until(lambda: not made.gate.core.in_flight)
    made.rest(10 * MILLI)
    assert statuses(client.recv(65536)) == [200]


@pytest.mark.parametrize("asks_first", [True, False])
def test_a_client_that_finds_no_room_is_answered_whether_it_has_asked_or_not(rig, clients, asks_first):
    made = rig(hosts=1, configuration=CONFIGURATION + "clients connections 1\n")
    clients(made)
    late = socket.create_connection(made.at[1])
    late.settimeout(5)
    if asks_first:
        late.sendall(ASK)  # in the gateway's socket before it is accepted
    made.until(lambda: made.gate.fronts[0].server.rejected_connections)
    said = rest_of(late)
    late.close()
    assert statuses(said) == [503]
    assert closes(said) == [True]
    assert not made.seen("task")
