"""A parked or closing connection is not closed before a request that has arrived is answered: when its idle
time is over, to free capacity or descriptors, and at the end of the process."""

import pytest
from request_scenarios import codes, takes_nothing
from scripted import MILLI, SECOND, Handed

from tests.fronts.test_unanswered_requests import UNDECODABLE_MESSAGE


def parked_client(gateway, asks=1):
    """A client whose connection is parked after `asks` answered requests."""
    client = gateway.client()
    for number in range(1, asks + 1):
        client.ask(number)
        gateway.until(lambda number=number: len(client.answers) == number)
    gateway.passes(300 * MILLI)
    gateway.until(lambda: gateway.process.front.parked_count)
    return client


def expire_idle(connections, gateway):
    gateway.clock.now += 60 * SECOND
    connections._close_expired()


def evict_one(connections, gateway):
    connections._evict_one()


def evict_for_descriptors(connections, gateway):
    connections.evict_idle()


def close_by_owner(connections, gateway):
    connections.close_owned(gateway.process.front.owner_id)


@pytest.mark.parametrize("close", [expire_idle, evict_one, evict_for_descriptors, close_by_owner])
@pytest.mark.parametrize("asks", [0, 1])
def test_a_parked_connection_is_not_closed_if_a_request_has_just_arrived(gate, close, asks):
    """The first request of the connection or a later one, which the loop has not noticed yet."""
    gateway = gate(clock=Handed())
    client, quiet = parked_client(gateway, asks), gateway.client()
    gateway.until(lambda: gateway.process.front.parked_count == 2)
    gateway.passes(300 * MILLI)
    client.ask(asks + 1)
    close(gateway.process.front.connections, gateway)
    gateway.until(lambda: len(client.answers) == asks + 1)
    assert set(codes(client)[0].values()) == {None}
    assert not client.ended
    gateway.turns()
    assert quiet.ended


def test_a_request_that_arrives_while_other_connections_are_closed_is_answered(gate):
    gateway = gate(clock=Handed())
    clients = [gateway.client() for _ in range(3)]
    gateway.until(lambda: gateway.process.front.parked_count == 3)
    connections, last = gateway.process.front.connections, clients[-1]
    close_parked = connections._close_parked

    def slow_close(fd):
        if not last.buffer and not sent:
            sent.append(True)
            last.ask(1)
        close_parked(fd)

    sent, connections._close_parked = [], slow_close
    connections.close_owned(gateway.process.front.owner_id)
    gateway.until(lambda: last.answers)
    assert codes(last)[0] == {1: None}
    assert [client.ended for client in clients] == [True, True, False]


def test_a_connection_accepted_in_place_of_a_parked_one_stays_if_that_one_sends_a_request(gate):
    gateway = gate(sockets=70, clock=Handed())
    connections = gateway.process.front.connections
    clients = [gateway.client() for _ in range(connections.admission.max_connections)]
    gateway.until(lambda: gateway.process.front.parked_count == len(clients))
    gateway.passes(200 * MILLI)
    late = gateway.client()
    late.ask(1, i="f" * 16)
    evict = connections._evict_one

    def evict_after_all_sent():
        for number, client in enumerate(clients):
            client.ask(1, i=f"{number:016x}")
        connections._evict_one = evict
        return evict()

    connections._evict_one = evict_after_all_sent
    gateway.until(lambda: late.answers and all(client.answers for client in clients))
    assert codes(late)[0] == {1: None}
    assert gateway.process.front.rejected_connections == 0


def test_a_connection_with_unsent_answers_is_not_evicted(gate, monkeypatch):
    gateway = gate(sockets=70, clock=Handed())
    client = gateway.client()
    client.ask(1)
    gateway.until(lambda: client.answers)
    (connection,) = gateway.process.front.active_connections
    resume_reading = takes_nothing(connection, monkeypatch)
    client.ask(2)
    gateway.until(lambda: connection.stream.bytes_unsent)
    client.send(UNDECODABLE_MESSAGE)
    gateway.until(lambda: gateway.loop.closing_streams)
    gateway.passes(200 * MILLI)
    connections = gateway.process.front.connections
    assert connections._evictable_stream() is None
    assert not connections._evict_one()
    resume_reading()
    gateway.until(lambda: client.ended)
    assert codes(client)[0] == {1: None, 2: None}
