"""A stop of a server closes parked connections and answers the requests that were sent before it."""

import pytest

from gaproute.connections import accepted
from gaproute.http1 import Limits

MILLI, SECOND = 1_000_000, 1_000_000_000
HEAD = b"GET / HTTP/1.1\r\nHost: g\r\n\r\n"
LIMITS = Limits(idle_timeout=60 * SECOND)


def test_a_stop_closes_parked_connections_and_accepts_no_more(make_harness):
    harness = make_harness()
    client = harness.connect_client()
    harness.run_until(lambda: harness.connections.parked_count == 1)
    harness.server.stop()
    assert harness.connections.client_count == harness.connections.parked_count == 0
    assert client.recv(1) == b""
    with pytest.raises(ConnectionRefusedError):
        harness.connect_client()


def test_requests_sent_before_a_stop_are_answered_and_their_connections_closed(make_harness):
    harness = make_harness()
    parked = harness.connect_client()
    harness.run_until(lambda: harness.connections.parked_count == 1)
    unaccepted = harness.connect_client()
    for client in (parked, unaccepted):
        client.sendall(HEAD)
    harness.server.stop()
    harness.run_until(lambda: len(harness.requests) == 2)
    for client in (parked, unaccepted):
        answer = client.recv(4096)
        assert b"200" in answer
        assert b"Connection: close" in answer
        assert client.recv(1) == b""
        client.close()
    harness.run_until(lambda: harness.connections.client_count == 0)


def test_all_requests_sent_before_a_stop_are_answered_although_one_poll_reports_one(
    make_harness, monkeypatch
):
    monkeypatch.setattr(accepted, "MAX_PARKED_EVENTS", 1)
    harness = make_harness()
    clients = [harness.connect_client() for _ in range(3)]
    harness.run_until(lambda: harness.connections.parked_count == 3)
    for client in clients:
        client.sendall(HEAD)
    harness.server.stop()
    harness.run_until(lambda: len(harness.requests) == 3)
    assert all(b"200" in client.recv(4096) for client in clients)
