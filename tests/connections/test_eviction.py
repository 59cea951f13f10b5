"""Full gateways evict idle connections, and reject new connections if none is idle."""

from client_admission import admission

from benchmarks.scale.meters import function_calls
from gaproute.connections import AcceptedConnections
from gaproute.decisions.admission.admission import (
    MIN_EVICTION_IDLE_TIME,
    Admission,
)
from gaproute.decisions.chance import RandomGenerator
from gaproute.http1 import Limits
from gaproute.loop import Loop

MILLI, SECOND = 1_000_000, 1_000_000_000
HEAD = b"GET / HTTP/1.1\r\nHost: g\r\n\r\n"
LIMITS = Limits(idle_timeout=60 * SECOND)


def was_rejected(client):
    """Whether the server sent one 503 answer and closed the connection."""
    answer = b""
    while part := client.recv(4096):
        answer += part
    return (
        answer.startswith(b"HTTP/1.1 503")
        and answer.count(b"HTTP/1.1") == 1
        and b"Connection: close" in answer
    )


def test_a_full_gateway_evicts_an_idle_connection_and_rejects_a_new_one_if_none_is_idle(make_harness):
    harness = make_harness(admission=admission(max_connections=3))
    harness.connections.admission.announces_close = lambda client_count: False
    valuable, idle, busy = harness.connect_client(), harness.connect_client(), harness.connect_client()
    harness.run_until(lambda: harness.connections.parked_count == 3)
    harness.request(valuable)
    harness.clock_offset += 1300 * MILLI
    harness.run_until(lambda: harness.connections.parked_count == 3)
    rejected = harness.connect_client()
    harness.run_until(
        lambda: harness.connections.rejected_count == 1
    )  # no connection has been idle for long enough
    assert was_rejected(rejected)
    harness.clock_offset += MIN_EVICTION_IDLE_TIME
    harness.request(busy)
    accepted = harness.connect_client()
    harness.run_until(lambda: harness.connections.evicted_count == 1)
    assert idle.recv(1) == b""
    assert harness.connections.client_count == 3
    assert b"200" in harness.request(accepted)
    assert b"200" in harness.request(valuable)


def test_one_address_cannot_take_all_connections(make_harness):
    harness = make_harness(admission=admission(max_per_address=2))
    idle = [harness.connect_client("127.0.0.9") for _ in range(2)]
    harness.run_until(lambda: harness.connections.client_count == 2)
    third = harness.connect_client("127.0.0.9")
    harness.run_until(lambda: harness.connections.rejected_count == 1)
    assert was_rejected(third)
    other = harness.connect_client("127.0.0.8")
    harness.run_until(lambda: harness.connections.client_count == 3)
    idle.pop().close()
    harness.run_until(lambda: harness.connections.client_count == 2)
    again = harness.connect_client("127.0.0.9")
    harness.run_until(lambda: harness.connections.client_count == 3)
    assert b"200" in harness.request(again)
    assert b"200" in harness.request(other)


def test_answers_close_their_connection_when_nearly_all_connections_are_in_use(make_harness):
    harness = make_harness(admission=admission(max_connections=2))
    first, second = harness.connect_client(), harness.connect_client()
    harness.run_until(lambda: harness.connections.client_count == 2)
    assert b"Connection: close" in harness.request(first)
    harness.run_until(lambda: harness.connections.client_count == 1)
    assert b"Connection: close" not in harness.request(second)


def test_an_address_stays_counted_if_its_only_connection_is_evicted_for_its_next_one():
    loop = Loop()
    connections = AcceptedConnections(loop, Admission(1, 10, 1000, RandomGenerator(1)))
    first = connections.admit("a", counted=True)

    def evict_first():
        connections.release(first, counted=True)
        return True

    connections._evict_one = evict_first
    second = connections.admit("a", counted=True)
    connections.release(second, counted=True)
    assert connections.client_count == 0
    assert not connections.addresses
    loop.close()


def calls_of_has_capacity(make_harness, idle_clients):
    """The number of function calls of `has_capacity` in a server that is full of idle clients."""
    harness = make_harness(admission=admission(max_connections=idle_clients, max_per_address=idle_clients))
    for _ in range(idle_clients):
        harness.connect_client()
    harness.run_until(lambda: harness.connections.parked_count == idle_clients)
    harness.clock_offset += 2 * MIN_EVICTION_IDLE_TIME
    assert harness.connections.has_capacity()  # the first call also handles pending registrations
    return function_calls(harness.connections.has_capacity)


def test_choosing_a_connection_to_evict_calls_no_function_per_idle_connection(make_harness):
    assert calls_of_has_capacity(make_harness, 5) == calls_of_has_capacity(make_harness, 40)
