"""A stop of a server: what is parked is closed, what was sent before is answered."""

import pytest

from gaproute.connections import accepted
from gaproute.http1 import Limits

MILLI, SECOND = 1_000_000, 1_000_000_000
HEAD = b"GET / HTTP/1.1\r\nHost: g\r\n\r\n"
LIMITS = Limits(idle_timeout=60 * SECOND)


def test_a_stop_closes_what_is_parked_and_accepts_no_more(serving):
    made = serving()
    client = made.client()
    made.turns(lambda: made.connections.parked_count == 1)
    made.server.stop()
    assert made.connections.client_count == made.connections.parked_count == 0
    assert client.recv(1) == b""
    with pytest.raises(ConnectionRefusedError):
        made.client()


def test_what_was_sent_before_a_stop_is_answered_and_its_connection_closed(serving):
    made = serving()
    parked = made.client()
    made.turns(lambda: made.connections.parked_count == 1)
    arriving = made.client()  # not yet accepted
    for client in (parked, arriving):
        client.sendall(HEAD)
    made.server.stop()
    made.turns(lambda: len(made.asked) == 2)
    for client in (parked, arriving):
        answer = client.recv(4096)
        assert b"200" in answer
        assert b"Connection: close" in answer
        assert client.recv(1) == b""
        client.close()
    made.turns(lambda: made.connections.client_count == 0)


def test_all_who_have_spoken_before_a_stop_are_answered_though_one_poll_reports_few(serving, monkeypatch):
    monkeypatch.setattr(accepted, "MAX_PARKED_EVENTS", 1)
    made = serving()
    clients = [made.client() for _ in range(3)]
    made.turns(lambda: made.connections.parked_count == 3)
    for client in clients:
        client.sendall(HEAD)
    made.server.stop()
    made.turns(lambda: len(made.asked) == 3)
    assert all(b"200" in client.recv(4096) for client in clients)
