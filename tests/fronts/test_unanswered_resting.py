"""A connection that rests, or that says farewell, is not closed over a request or an answer: where its time
is over, where a full house or a shortage of descriptors asks for room, and at the end of the process."""

import pytest
from scripted import MILLI, SECOND, Handed

from tests.fronts.test_unanswered_requests import BAD, codes, deaf


def resting(made, asks=1):
    """A client whose connection rests at admission; with `asks` requests answered before."""
    client = made.client()
    for number in range(1, asks + 1):
        client.ask(number)
        made.until(lambda number=number: len(client.answers) == number)
    made.passes(300 * MILLI)
    made.until(lambda: made.process.front.parked)
    return client


def over_time(connections, made):
    made.clock.now += 60 * SECOND
    connections._close_expired()


def displaced(connections, made):
    connections._evict_one()


def short_of_descriptors(connections, made):
    connections.evict_idle()


def closed_by_its_owner(connections, made):
    connections.close_owned(made.process.front.number)


@pytest.mark.parametrize("close", [over_time, displaced, short_of_descriptors, closed_by_its_owner])
@pytest.mark.parametrize("asks", [0, 1])
def test_a_connection_is_not_closed_over_a_request_that_has_just_come(gate, close, asks):
    """The first request of a connection, or a later one, not seen by the loop as yet."""
    made = gate(clock=Handed())
    client, quiet = resting(made, asks), made.client()
    made.until(lambda: made.process.front.parked == 2)
    made.passes(300 * MILLI)
    client.ask(asks + 1)
    close(made.process.front.connections, made)
    made.until(lambda: len(client.answers) == asks + 1)
    assert set(codes(client)[0].values()) == {None} and not client.ended
    made.turns()
    assert quiet.ended


def test_a_request_that_comes_while_others_are_being_closed_is_answered(gate):
    made = gate(clock=Handed())
    clients = [made.client() for _ in range(3)]
    made.until(lambda: made.process.front.parked == 3)
    connections, last = made.process.front.connections, clients[-1]
    drop = connections._close_parked

    def slow_close(fd):
        if not last.buffer and not said:
            said.append(True)
            last.ask(1)
        drop(fd)

    said, connections._close_parked = [], slow_close
    connections.close_owned(made.process.front.number)
    made.until(lambda: last.answers)
    assert codes(last)[0] == {1: None} and [client.ended for client in clients] == [True, True, False]


def test_who_was_accepted_for_one_who_rested_stays_although_that_one_has_just_spoken(gate):
    made = gate(sockets=70, clock=Handed())
    connections = made.process.front.connections
    clients = [made.client() for _ in range(connections.admission.max_connections)]
    made.until(lambda: made.process.front.parked == len(clients))
    made.passes(200 * MILLI)
    late = made.client()
    late.ask(1, i="f" * 16)
    displace = connections._evict_one

    def all_have_spoken():
        for number, client in enumerate(clients):
            client.ask(1, i=f"{number:016x}")
        connections._evict_one = displace
        return displace()

    connections._evict_one = all_have_spoken
    made.until(lambda: late.answers and all(client.answers for client in clients))
    assert codes(late)[0] == {1: None} and made.process.front.turned_away == 0


def test_a_connection_whose_answers_are_on_their_way_makes_no_room(gate, monkeypatch):
    made = gate(sockets=70, clock=Handed())
    client = made.client()
    client.ask(1)
    made.until(lambda: client.answers)
    (link,) = made.process.front.links
    reads = deaf(link, monkeypatch)
    client.ask(2)
    made.until(lambda: link.stream.bytes_unsent)
    client.send(BAD)
    made.until(lambda: made.loop.closing_streams)
    made.passes(200 * MILLI)
    connections = made.process.front.connections
    assert connections._evictable_stream() is None and not connections._evict_one()
    reads()
    made.until(lambda: client.ended)
    assert codes(client)[0] == {1: None, 2: None}
