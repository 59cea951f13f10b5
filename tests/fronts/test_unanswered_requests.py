"""A request that was read has its answer before its connection is closed, whatever the connection is closed
for: a bad message behind it, its client's slowness, a full house, a shortage of descriptors."""

import pytest
from scripted import MILLI, Handed

from gaproute.fronts.jsonrpc import front as fronts
from gaproute.fronts.jsonrpc import link as links
from gaproute.fronts.jsonrpc.front import OPEN
from gaproute.fronts.jsonrpc.messages import FAILED, NO_PARAMS, NO_REQUEST, REFUSED, UNREADABLE
from gaproute.loop.streams import Stream

BAD = b"Content-Length: none\r\n\r\n"  # nothing behind it can be read
EMPTY = b"Content-Length: 2\r\n\r\n{}"  # no request, and what is behind it can be read


def holding(gate, **told):
    """A gateway whose host answers when the test says so, and what the host holds."""
    held = []
    made = gate(lambda *each: each[1]["type"] == "go" and held.append(each), clock=Handed(), **told)
    return made, held


def codes(client):
    """What each number was answered: a code, or None for a result; the errors without a number apart."""
    named = {each["id"]: each.get("error", {}).get("code") for each in client.answers if each["id"]}
    return named, [each["error"]["code"] for each in client.answers if each["id"] is None]


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
    "bad, code", [(BAD, UNREADABLE), (EMPTY * links.FAULTS, NO_REQUEST)], ids=["unreadable", "many"]
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
    assert not client.ended and set(codes(client)[1]) == {code}
    made.hosts[0].serve(*held[1])
    made.until(lambda: client.ended and not made.process.front.held)
    assert codes(client)[0] == {1: None, 2: None}


def test_a_request_in_the_same_read_as_bad_messages_is_answered_before_and_behind_them(gate):
    made = gate(clock=Handed())
    client = made.client()
    said_in_one(
        client,
        lambda: client.ask(1),
        lambda: client.send(EMPTY * (links.FAULTS + 5)),
        lambda: client.ask(2),
        lambda: client.send(BAD),
    )
    made.until(lambda: client.ended)
    numbered, errors = codes(client)
    assert numbered == {1: None, 2: None} and len(errors) == links.FAULTS


def test_rejections_are_answers_and_no_faults_of_the_client(gate):
    made, held = holding(gate)
    client, most = made.client(), OPEN + 2 * links.FAULTS
    for number in range(1, most + 1):
        client.ask(number)
    made.until(lambda: len(client.answers) == most - OPEN)
    assert set(codes(client)[0].values()) == {REFUSED} and made.process.front.faults == 0
    for each in held:
        made.hosts[0].serve(*each)
    made.until(lambda: len(client.answers) == most)
    assert len(codes(client)[0]) == most and not client.ended


def test_a_figure_beyond_all_figures_is_refused_and_spoils_no_request_behind_it(gate):
    made = gate(clock=Handed())
    client = made.client()
    said_in_one(client, lambda: client.ask(1, d=10**400), lambda: client.ask(2))
    made.until(lambda: len(client.answers) == 2)
    assert codes(client)[0] == {1: NO_PARAMS, 2: None} and not made.loop.errors


def test_an_error_of_the_gateway_over_one_request_is_told_and_spoils_no_other(gate, monkeypatch):
    made = gate(clock=Handed())
    task = fronts.Front.task
    monkeypatch.setattr(fronts.Front, "task", lambda *told: 1 / 0 if told[2] == 1 else task(*told))
    client = made.client()
    said_in_one(client, lambda: client.ask(1), lambda: client.ask(2))
    made.until(lambda: len(client.answers) == 2)
    assert codes(client)[0] == {1: FAILED, 2: None}


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
    made.until(lambda: made.process.front.links)
    (link,) = made.process.front.links
    made.clock.now += links.PROGRESS + MILLI
    client.send(rest)  # in the gateway's socket, not read by it
    link.look(made.loop.now())
    made.until(lambda: client.answers)
    assert codes(client)[0] == {1: None} and not client.ended


def test_a_message_that_stays_half_is_swept_and_what_was_asked_before_it_is_answered(gate):
    made, held = holding(gate)
    client = made.client()
    client.ask(1, d=2900)
    made.until(lambda: held)
    client.send(halves(client, 2)[0])
    made.until(lambda: next(iter(made.process.front.links)).reader.midway)
    made.passes(links.PROGRESS + MILLI)
    made.passes(fronts.SWEEP)
    assert codes(client) == ({}, [UNREADABLE]) and not client.ended
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


def deaf(link, monkeypatch):
    """The client of this connection takes nothing from now on; a call that makes it read again."""
    send, away = Stream._send, [True]
    monkeypatch.setattr(
        Stream, "_send", lambda stream, data: 0 if away[0] and stream is link.stream else send(stream, data)
    )

    def reads():
        away[0] = False
        link.stream._flush()

    return reads


def test_a_client_that_takes_nothing_for_a_while_still_gets_the_answers_it_waits_for(gate, monkeypatch):
    made, held = holding(gate)
    client = made.client()
    client.ask(1, d=2900)
    client.ask(2, d=2900)
    made.until(lambda: len(held) == 2)
    (link,) = made.process.front.links
    reads = deaf(link, monkeypatch)
    made.hosts[0].serve(*held[0])
    made.until(lambda: link.stream.bytes_unsent)
    made.passes(links.PROGRESS + MILLI)
    made.passes(fronts.SWEEP)
    made.hosts[0].serve(*held[1])
    made.until(lambda: not link.open)
    made.passes(700 * MILLI)
    assert not client.answers and not client.ended
    reads()
    made.until(lambda: len(client.answers) == 2)
    assert codes(client)[0] == {1: None, 2: None}


def test_a_client_that_takes_nothing_beyond_its_time_is_ended(gate, monkeypatch):
    made = gate(clock=Handed())
    client = made.client()
    client.ask(1, d=1000)
    made.until(lambda: client.answers)
    (link,) = made.process.front.links
    deaf(link, monkeypatch)
    client.ask(2, d=1000)
    made.until(lambda: link.stream.bytes_unsent)
    made.passes(links.PROGRESS + MILLI)
    made.passes(fronts.SWEEP)
    assert client.ended and made.process.front.deaf == 1


def test_of_clients_that_hold_too_much_together_those_who_are_owed_nothing_go_first(gate, monkeypatch):
    monkeypatch.setattr(fronts, "WEIGHT", 60_000)
    made, held = holding(gate)
    clients = [made.client() for _ in range(2)]
    clients[0].ask(1)
    made.until(lambda: held)
    for client, size in zip(clients, (40_000, 30_000), strict=True):
        client.send(b"Content-Length: 45000\r\n\r\n" + b"x" * size)
    made.until(lambda: sum(link.weight() for link in made.process.front.links) == 70_000)
    made.passes(fronts.SWEEP)
    assert [client.ended for client in clients] == [False, True]
    made.hosts[0].serve(*held[0])
    made.until(lambda: clients[0].answers)
