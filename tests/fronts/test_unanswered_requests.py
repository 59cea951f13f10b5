"""A request that was read has its answer before its connection is closed, whatever the connection is closed
for: a bad message behind it, its client's slowness, a full house, a shortage of descriptors."""

import pytest
from request_scenarios import codes, holding, takes_nothing
from scripted import MILLI, Handed

from gaproute.fronts.jsonrpc import connection as connections
from gaproute.fronts.jsonrpc import front as fronts
from gaproute.fronts.jsonrpc.errors import ErrorCode
from gaproute.fronts.jsonrpc.front import MAX_OPEN_REQUESTS

BAD = b"Content-Length: none\r\n\r\n"  # nothing behind it can be read
EMPTY = b"Content-Length: 2\r\n\r\n{}"  # no request, and what is behind it can be read


def said_in_one(client, *said):
    """Sends all that the calls say as one piece."""
    pieces = []
    client.send = pieces.append
    for say in said:
        say()
    del client.send
    client.send(b"".join(pieces))


# After a bad message


@pytest.mark.parametrize(
    ("bad", "code"),
    [(BAD, ErrorCode.PARSE_ERROR), (EMPTY * connections.MAX_PROTOCOL_ERRORS, ErrorCode.INVALID_REQUEST)],
    ids=["unreadable", "many"],
)
def test_a_bad_message_leaves_those_before_it_their_answers_and_closes_after_the_last(gate, bad, code):
    made, held = holding(gate)
    client = made.client()
    client.ask(1)
    client.ask(2)
    made.until(lambda: len(held) == 2)
    client.send(bad)
    made.until(lambda: client.answers)
    made.hosts[0].serve(*held[0])
    made.until(lambda: codes(client)[0] == {1: None})
    made.passes(400 * MILLI)
    assert not client.ended
    assert set(codes(client)[1]) == {code}
    made.hosts[0].serve(*held[1])
    made.until(lambda: client.ended and not made.process.front.connection_count)
    assert codes(client)[0] == {1: None, 2: None}


def test_a_request_in_the_same_read_as_bad_messages_is_answered_before_and_behind_them(gate):
    made = gate(clock=Handed())
    client = made.client()
    said_in_one(
        client,
        lambda: client.ask(1),
        lambda: client.send(EMPTY * (connections.MAX_PROTOCOL_ERRORS + 5)),
        lambda: client.ask(2),
        lambda: client.send(BAD),
    )
    made.until(lambda: client.ended)
    numbered, errors = codes(client)
    assert numbered == {1: None, 2: None}
    assert len(errors) == connections.MAX_PROTOCOL_ERRORS


def test_rejections_are_answers_and_no_faults_of_the_client(gate):
    made, held = holding(gate)
    client, most = made.client(), MAX_OPEN_REQUESTS + 2 * connections.MAX_PROTOCOL_ERRORS
    for number in range(1, most + 1):
        client.ask(number)
    made.until(lambda: len(client.answers) == most - MAX_OPEN_REQUESTS)
    made.until(lambda: len(held) == MAX_OPEN_REQUESTS)  # which the host may read later
    assert set(codes(client)[0].values()) == {ErrorCode.REJECTED}
    assert made.process.front.protocol_errors == 0
    for each in held:
        made.hosts[0].serve(*each)
    made.until(lambda: len(client.answers) == most)
    assert len(codes(client)[0]) == most
    assert not client.ended


def test_a_figure_beyond_all_figures_is_refused_and_spoils_no_request_behind_it(gate):
    made = gate(clock=Handed())
    client = made.client()
    said_in_one(client, lambda: client.ask(1, d=10**400), lambda: client.ask(2))
    made.until(lambda: len(client.answers) == 2)
    assert codes(client)[0] == {1: ErrorCode.INVALID_PARAMS, 2: None}
    assert not made.loop.errors


def test_an_error_of_the_gateway_over_one_request_is_reported_and_spoils_no_other(gate, monkeypatch):
    made = gate(clock=Handed())
    task = fronts.JsonRpcFront.start_request
    monkeypatch.setattr(
        fronts.JsonRpcFront,
        "start_request",
        lambda *arguments: 1 / 0 if arguments[2].number == 1 else task(*arguments),
    )
    client = made.client()
    said_in_one(client, lambda: client.ask(1), lambda: client.ask(2))
    made.until(lambda: len(client.answers) == 2)
    assert codes(client)[0] == {1: ErrorCode.FAILED, 2: None}


# Slow clients


def halves(client, number):
    """The two halves of a request's bytes."""
    pieces, client.send = [], lambda data: pieces.append(data)
    client.ask(number)
    del client.send
    return pieces[0][:40], pieces[0][40:]


def test_a_message_whose_rest_has_just_come_is_not_swept_as_a_slow_one(gate):
    made = gate(clock=Handed())
    client = made.client()
    first, rest = halves(client, 1)
    client.send(first)
    made.until(lambda: made.process.front.active_connections)
    (link,) = made.process.front.active_connections
    made.clock.now += connections.PROGRESS_TIMEOUT + MILLI
    client.send(rest)  # in the gateway's socket, not read by it
    link.check_progress(made.loop.now())
    made.until(lambda: client.answers)
    assert codes(client)[0] == {1: None}
    assert not client.ended


def test_a_message_that_stays_half_is_swept_and_what_was_asked_before_it_is_answered(gate):
    made, held = holding(gate)
    client = made.client()
    client.ask(1, d=2900)
    made.until(lambda: held)
    client.send(halves(client, 2)[0])
    made.until(lambda: next(iter(made.process.front.active_connections)).reader.mid_message)
    made.passes(connections.PROGRESS_TIMEOUT + MILLI)
    made.passes(fronts.SWEEP_INTERVAL)
    assert codes(client) == ({}, [ErrorCode.PARSE_ERROR])
    assert not client.ended
    made.hosts[0].serve(*held[0])
    made.until(lambda: client.ended)
    assert codes(client)[0] == {1: None}


def test_a_message_in_many_pieces_is_answered_and_so_are_those_that_share_its_pieces(gate):
    made = gate(clock=Handed())
    client = made.client()
    pieces = []
    client.send = pieces.append
    for number in range(1, 6):
        client.ask(number)
    del client.send
    said = b"".join(pieces)
    for place in range(0, len(said), 7):
        client.send(said[place : place + 7])
        made.turns(2)
    made.until(lambda: len(client.answers) == 5)
    assert codes(client) == (dict.fromkeys(range(1, 6)), [])


# Clients that take no answers


def test_a_client_that_takes_nothing_for_a_while_still_gets_the_answers_it_waits_for(gate, monkeypatch):
    made, held = holding(gate)
    client = made.client()
    client.ask(1, d=2900)
    client.ask(2, d=2900)
    made.until(lambda: len(held) == 2)
    (link,) = made.process.front.active_connections
    reads = takes_nothing(link, monkeypatch)
    made.hosts[0].serve(*held[0])
    made.until(lambda: link.stream.bytes_unsent)
    made.passes(connections.PROGRESS_TIMEOUT + MILLI)
    made.passes(fronts.SWEEP_INTERVAL)
    made.hosts[0].serve(*held[1])
    made.until(lambda: not link.open_requests)
    made.passes(700 * MILLI)
    assert not client.answers
    assert not client.ended
    reads()
    made.until(lambda: len(client.answers) == 2)
    assert codes(client)[0] == {1: None, 2: None}


def test_a_client_that_takes_nothing_beyond_its_time_is_ended(gate, monkeypatch):
    made = gate(clock=Handed())
    client = made.client()
    client.ask(1, d=1000)
    made.until(lambda: client.answers)
    (link,) = made.process.front.active_connections
    takes_nothing(link, monkeypatch)
    client.ask(2, d=1000)
    made.until(lambda: link.stream.bytes_unsent)
    made.passes(connections.PROGRESS_TIMEOUT + MILLI)
    made.passes(fronts.SWEEP_INTERVAL)
    assert client.ended
    assert made.process.front.unresponsive_clients == 1


def test_of_clients_that_hold_too_much_together_those_who_are_owed_nothing_go_first(gate, monkeypatch):
    monkeypatch.setattr(fronts, "MAX_BUFFERED_BYTES", 60_000)
    made, held = holding(gate)
    clients = [made.client() for _ in range(2)]
    clients[0].ask(1)
    made.until(lambda: held)
    for client, size in zip(clients, (40_000, 30_000), strict=True):
        client.send(b"Content-Length: 45000\r\n\r\n" + b"x" * size)
    made.until(lambda: sum(link.buffered_bytes() for link in made.process.front.active_connections) == 70_000)
    made.passes(fronts.SWEEP_INTERVAL)
    assert [client.ended for client in clients] == [False, True]
    made.hosts[0].serve(*held[0])
    made.until(lambda: clients[0].answers)
