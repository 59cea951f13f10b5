"""The platform's gateway on loopback when it has as many connections as it may have."""

from scripted import MILLI

from gaproute.fronts.jsonrpc import connection as connections
from gaproute.fronts.jsonrpc import front as fronts


def test_resting_connections_make_room_and_those_at_work_stay(gate, monkeypatch):
    monkeypatch.setattr(connections, "QUIET_TIME", 0)
    monkeypatch.setattr(fronts, "SWEEP_INTERVAL", 5 * MILLI)
    made = gate(sockets=90)
    made.process.front.connections.admission.min_idle = 0
    most = made.process.front.connections.admission.max_connections
    first = [made.client() for _ in range(most)]
    for place, client in enumerate(first):
        client.ask(1, i=f"{place:016x}")
    made.until(lambda: all(client.answers for client in first))
    made.until(lambda: made.process.front.parked_count == most)
    late = made.client()
    late.ask(1, i="f" * 16)
    made.until(lambda: late.answers)
    assert "result" in late.answers[0]
    assert sum(client.ended for client in first) == 1


def test_a_house_full_of_connections_of_one_request_each_turns_none_away(gate):
    made = gate(sockets=90)
    most = made.process.front.connections.admission.max_connections
    clients = []
    for place in range(3 * most):  # as fast as resting ones may make room
        clients.append(made.client())
        clients[-1].ask(1, i=f"{place:016x}")
        made.until(lambda: clients[-1].answers)
        end = made.loop.now() + 400 * MILLI // most
        made.until(lambda end=end: made.loop.now() >= end)
    assert made.process.front.rejected_connections == 0
    assert made.process.front.connections.evicted_count >= most


def test_at_a_full_house_at_work_arrivals_wait_and_are_served_when_one_leaves(gate):
    held = []
    made = gate(
        lambda stream, command: command["type"] == "go" and held.append((stream, command)), sockets=90
    )
    most = made.process.front.connections.admission.max_connections
    clients = []
    for place in range(most + 5):
        clients.append(made.client())
        clients[-1].ask(1, i=f"{place:016x}")
        made.until(lambda place=place: len(held) == min(place + 1, most))
    made.until(lambda: made.process.front.listener.pause_count)
    made.hosts[0].answer = made.hosts[0].serve
    for each in held:
        made.hosts[0].serve(*each)
    made.until(lambda: all(client.answers for client in clients))
    assert made.process.front.rejected_connections == 0
