"""The platform's gateway on loopback at its limit of client connections."""

from scripted import MILLI

from gaproute.fronts.jsonrpc import connection as connections
from gaproute.fronts.jsonrpc import front as fronts


def test_a_parked_connection_is_evicted_when_a_client_connects_at_the_limit(gate, monkeypatch):
    monkeypatch.setattr(connections, "QUIET_TIME", 0)
    monkeypatch.setattr(fronts, "SWEEP_INTERVAL", 5 * MILLI)
    gateway = gate(sockets=90)
    gateway.process.front.connections.admission.min_eviction_idle_time = 0
    max_connections = gateway.process.front.connections.admission.max_connections
    first_clients = [gateway.client() for _ in range(max_connections)]
    for number, client in enumerate(first_clients):
        client.ask(1, i=f"{number:016x}")
    gateway.until(lambda: all(client.answers for client in first_clients))
    gateway.until(lambda: gateway.process.front.parked_count == max_connections)
    late = gateway.client()
    late.ask(1, i="f" * 16)
    gateway.until(lambda: late.answers)
    assert "result" in late.answers[0]
    assert sum(client.ended for client in first_clients) == 1


def test_no_connection_is_rejected_at_the_limit_if_idle_ones_can_be_evicted(gate):
    gateway = gate(sockets=90)
    max_connections = gateway.process.front.connections.admission.max_connections
    clients = []
    for number in range(3 * max_connections):  # no faster than idle connections may be evicted
        clients.append(gateway.client())
        clients[-1].ask(1, i=f"{number:016x}")
        gateway.until(lambda: clients[-1].answers)
        end = gateway.loop.now() + 400 * MILLI // max_connections
        gateway.until(lambda end=end: gateway.loop.now() >= end)
    assert gateway.process.front.rejected_connections == 0
    assert gateway.process.front.connections.evicted_count >= max_connections


def test_new_connections_wait_and_are_served_when_all_accepted_ones_are_busy(gate):
    held_commands = []
    gateway = gate(
        lambda stream, command: command["type"] == "go" and held_commands.append((stream, command)),
        sockets=90,
    )
    max_connections = gateway.process.front.connections.admission.max_connections
    clients = []
    for number in range(max_connections + 5):
        clients.append(gateway.client())
        clients[-1].ask(1, i=f"{number:016x}")
        gateway.until(lambda number=number: len(held_commands) == min(number + 1, max_connections))
    gateway.until(lambda: gateway.process.front.listener.pause_count)
    gateway.hosts[0].answer = gateway.hosts[0].serve
    for stream, command in held_commands:
        gateway.hosts[0].serve(stream, command)
    gateway.until(lambda: all(client.answers for client in clients))
    assert gateway.process.front.rejected_connections == 0
