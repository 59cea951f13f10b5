"""Crossings at the platform's front: a client's leaving, a connection's close and the end of the process."""
import socket

from gaproute.loop.streams import address
from scripted import MILLI, Handed, half_close, nothing


def test_a_client_that_takes_no_answers_is_seen_to_leave_though_nothing_is_read(gate):
    made = gate(nothing)
    client = made.client()
    client.ask(1)
    made.until(lambda: made.came())
    link, = made.process.front.links
    link.stream.pause()
    half_close(client.stream)
    made.until(lambda: not made.process.core.held)
    assert not made.process.front.links and not made.process.front.marks


def test_connections_that_say_farewell_count_and_make_room_in_a_full_house(gate):
    made = gate(sockets=70, clock=Handed())
    lot = made.process.front.lot
    deaf = [socket.create_connection(address(made.where)[1]) for _ in range(lot.door.most)]
    for each in deaf:                    # an error is owed to each, and none of them closes then
        each.sendall(b"noise" * 200)
    made.until(lambda: len(made.loop.leaving) == len(deaf))
    late = made.client()
    late.ask(1)
    made.turns()
    assert lot.held == lot.door.most and not late.answers
    made.passes(110 * MILLI)
    made.passes(20 * MILLI)
    made.until(lambda: late.answers)
    assert "result" in late.answers[0] and lot.held == lot.door.most == len(made.loop.leaving) + 1
    for each in deaf:
        each.close()
