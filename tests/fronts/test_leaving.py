"""A client that leaves or cancels, and connections that are being closed."""

import socket

import pytest
from scripted import MILLI, Handed, half_close, nothing

from gaproute.loop.addresses import parse_address


def test_a_client_that_takes_no_answers_is_seen_to_leave_though_nothing_is_read(gate):
    made = gate(nothing)
    client = made.client()
    client.ask(1)
    made.until(lambda: made.came())
    (link,) = made.process.front.active_connections
    link.stream.pause()
    half_close(client.stream)
    made.until(lambda: not made.process.core.in_flight)
    assert not made.process.front.active_connections
    assert not made.process.front.open_request_ids


def test_connections_that_say_farewell_count_and_make_room_in_a_full_house(gate):
    made = gate(sockets=70, clock=Handed())
    connections = made.process.front.connections
    deaf = [
        socket.create_connection(parse_address(made.where)[1])
        for _ in range(connections.admission.max_connections)
    ]
    for each in deaf:  # an error is owed to each, and none of them closes then
        each.sendall(b"noise" * 200)
    made.until(lambda: len(made.loop.closing_streams) == len(deaf))
    # The kernel may take 40 ms.
    made.until(lambda: all(stream.is_acknowledged() for stream in made.loop.closing_streams))
    late = made.client()
    late.ask(1)
    made.turns()
    assert connections.client_count == connections.admission.max_connections
    assert not late.answers
    made.passes(110 * MILLI)
    made.passes(20 * MILLI)
    made.until(lambda: late.answers)
    assert "result" in late.answers[0]
    assert (
        connections.client_count
        == connections.admission.max_connections
        == len(made.loop.closing_streams) + 1
    )
    for each in deaf:
        each.close()


@pytest.mark.parametrize("at_work", [False, True])
def test_nothing_begins_for_a_request_whose_client_has_closed_behind_it(gate, at_work):
    """Also where it waited at admission meanwhile: a parked connection that spoke."""
    made = gate(clock=Handed())
    client = made.client()
    if at_work:
        client.ask(1)
        made.until(lambda: client.answers)
    else:
        made.until(lambda: made.process.front.parked)
    client.ask(2)
    half_close(client.stream)
    made.until(lambda: not made.process.front.connection_count)
    made.turns()
    assert made.came() == at_work == made.process.core.submitted
    assert not made.process.front.open_request_ids


@pytest.mark.parametrize(
    ("abort", "answered", "relayed"),
    [
        ({"id": 2}, [3], 1),
        ({"i": f"{2:016x}"}, [3], 1),  # neither begun nor answered
        ({"id": 9}, [2, 3], 2),
        ({"id": None}, [2, 3], 2),
    ],
)
def test_an_abort_takes_back_a_request_that_came_in_the_same_read(gate, abort, answered, relayed):
    made = gate()
    client = made.client()
    client.ask(1)  # a connection to the host stands then
    made.until(lambda: client.answers)
    client.answers.clear()
    client.message({"jsonrpc": "2.0", "method": "abort", "params": abort})  # before it: names nothing
    client.ask(2)
    for _ in range(2):
        client.message({"jsonrpc": "2.0", "method": "abort", "params": abort})
    client.ask(3)
    made.until(lambda: len(client.answers) == len(answered))
    made.turns()
    assert sorted(each["id"] for each in client.answers) == answered
    assert made.came() == 1 + relayed
    assert made.process.front.protocol_errors == 0
    assert not made.process.core.in_flight


def test_an_abort_reaches_no_request_of_another_connection_and_a_second_one_nothing(gate):
    held = []
    made = gate(lambda *arguments: arguments[1]["type"] == "go" and held.append(arguments))
    one, other = made.client(), made.client()
    one.ask(1)
    other.ask(1, i="f" * 16)
    made.until(lambda: len(held) == 2)
    for named in ("f" * 16, f"{1:016x}", f"{1:016x}"):  # of the other's; its own; its own again
        one.message({"jsonrpc": "2.0", "method": "abort", "params": {"i": named}})
    made.until(lambda: made.hosts[0].seen("halt"))
    for each in held:
        made.hosts[0].serve(*each)
    made.until(lambda: other.answers)
    made.turns()
    assert "result" in other.answers[0]
    assert one.answers == []
    assert len(made.hosts[0].seen("halt")) == 1
