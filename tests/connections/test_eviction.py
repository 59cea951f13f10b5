"""Full gateways: idle connections are evicted for others, or arrivals rejected."""

from client_admission import admission

from benchmarks.scale.meters import function_calls
from gaproute.connections import AcceptedConnections
from gaproute.decisions.admission.admission import (
    MIN_IDLE,
    Admission,
)
from gaproute.decisions.chance import Chance
from gaproute.http1 import Limits
from gaproute.loop import Loop

MILLI, SECOND = 1_000_000, 1_000_000_000
HEAD = b"GET / HTTP/1.1\r\nHost: g\r\n\r\n"
LIMITS = Limits(idle_timeout=60 * SECOND)


def was_rejected(client):
    """Whether the connection was answered that there is no room, and closed."""
    said = b""
    while part := client.recv(4096):
        said += part
    return said.startswith(b"HTTP/1.1 503") and said.count(b"HTTP/1.1") == 1 and b"Connection: close" in said


def test_a_full_gateway_evicts_the_idle_and_rejects_where_none_is(serving):
    made = serving(made=admission(most=3))
    made.connections.admission.announces_close = lambda held: False
    worthy, idle, busy = made.client(), made.client(), made.client()
    made.turns(lambda: made.connections.parked_count == 3)
    made.ask(worthy)
    made.skew += 1300 * MILLI
    made.turns(lambda: made.connections.parked_count == 3)
    late = made.client()
    made.turns(lambda: made.connections.rejected == 1)  # all were busy or came just now
    assert was_rejected(late)
    made.skew += MIN_IDLE
    made.ask(busy)
    fresh = made.client()
    made.turns(lambda: made.connections.evicted == 1)
    assert idle.recv(1) == b""
    assert made.connections.client_count == 3
    assert b"200" in made.ask(fresh)
    assert b"200" in made.ask(worthy)


def test_one_address_cannot_take_all_connections(serving):
    made = serving(made=admission(per_address=2))
    idle = [made.client("127.0.0.9") for _ in range(2)]
    made.turns(lambda: made.connections.client_count == 2)
    third = made.client("127.0.0.9")
    made.turns(lambda: made.connections.rejected == 1)
    assert was_rejected(third)
    other = made.client("127.0.0.8")
    made.turns(lambda: made.connections.client_count == 3)
    idle.pop().close()
    made.turns(lambda: made.connections.client_count == 2)
    again = made.client("127.0.0.9")
    made.turns(lambda: made.connections.client_count == 3)
    assert b"200" in made.ask(again)
    assert b"200" in made.ask(other)


def test_where_connections_are_nearly_used_up_answers_say_that_the_connection_closes(serving):
    made = serving(made=admission(most=2))
    one, two = made.client(), made.client()
    made.turns(lambda: made.connections.client_count == 2)
    assert b"Connection: close" in made.ask(one)
    made.turns(lambda: made.connections.client_count == 1)
    assert b"Connection: close" not in made.ask(two)


def test_an_address_whose_last_connection_makes_room_for_itself_is_counted_on():
    loop = Loop()
    connections = AcceptedConnections(loop, Admission(1, 10, 1000, Chance(1)))
    first = connections.admit("a", counted=True)

    def displace():
        connections.release(first, counted=True)
        return True

    connections._evict_one = displace
    place = connections.admit("a", counted=True)
    connections.release(place, counted=True)
    assert connections.client_count == 0
    assert not connections.addresses
    loop.close()


def calls_to_choose(serving, idle_clients):
    """How many functions are called to find out whether a gateway that is full of so many idle clients has
    one to evict."""
    made = serving(made=admission(most=idle_clients, per_address=idle_clients))
    for _ in range(idle_clients):
        made.client()
    made.turns(lambda: made.connections.parked_count == idle_clients)
    made.skew += 2 * MIN_IDLE
    assert made.connections.has_capacity()  # which also registers all of them with the inner epoll
    return function_calls(made.connections.has_capacity)


def test_choosing_whom_to_evict_calls_no_function_for_each_idle_connection(serving):
    assert calls_to_choose(serving, 5) == calls_to_choose(serving, 40)
