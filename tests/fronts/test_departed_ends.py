"""A client's end is heard although bytes lie unread before it: as FIN, as a reset, as half a close."""

import socket

import pytest
from request_scenarios import ENDS, buffers_much, connected, end, requests
from scripted import MILLI, Handed, nothing

from gaproute.http1 import Limits, Server
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address
from gaproute.loop.streams import READ_SIZE


@pytest.mark.parametrize("way", ENDS)
def test_nothing_begins_for_requests_whose_client_had_closed_behind_more_than_one_read(gate, way):
    made = gate(clock=Handed())
    buffers_much(made.process.front.listener)
    data = requests(made, 10, 10_000)
    assert len(data) > 2 * READ_SIZE
    sock = connected(made.where)
    sock.sendall(data)
    end(sock, way)
    made.until(lambda: not made.process.front.connection_count)
    made.turns()
    assert made.came() == 0
    assert made.process.core.submitted == 0
    assert not made.process.front.open_request_ids
    sock.close()


@pytest.mark.parametrize("way", ENDS)
def test_an_end_behind_many_unread_bytes_is_heard_in_the_turn_in_which_it_comes(gate, way):
    made = gate(nothing, clock=Handed())
    buffers_much(made.process.front.listener)
    sock = connected(made.where)
    sock.sendall(requests(made, 1, 10))
    made.until(made.came)
    sock.sendall(requests(made, 11, 10_000, 2))
    end(sock, way)
    made.loop.turn()
    assert not made.process.core.in_flight or not any(
        request.on_final is not None for request in made.process.core.in_flight.values()
    )
    made.turns()
    assert made.came() == 1
    assert not made.process.front.active_connections
    sock.close()


def read_to_end(made, sock):
    """All that a client reads until the gateway closes."""
    came, ended = [], []

    def read():
        try:
            data = sock.recv(65536, socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        (came if data else ended).append(data)
        return bool(ended)

    made.until(read)
    sock.close()
    return b"".join(came)


HEAD = b"POST /v2/models/%b/infer HTTP/1.1\r\nHost: g\r\nContent-Length: 2\r\n\r\n{}"


@pytest.mark.parametrize("way", ENDS)
def test_over_http_nothing_begins_for_a_request_that_was_read_when_its_client_had_closed(rig, way):
    """One that closed half reads a clear answer."""
    made = rig()
    sock = socket.create_connection(made.at[1])
    sock.sendall(HEAD % b"lamp" * 3)
    end(sock, way)
    if way == "half":
        answers = read_to_end(made, sock)
        assert answers.count(b"HTTP/1.1 504") == 3
        assert answers.count(b"closed its side") == 3
    made.rest(50 * MILLI)
    assert made.gate.core.submitted == 0
    assert not made.gate.fronts[0].connection_count


def test_over_http_what_is_asked_of_the_gateway_itself_is_answered_to_one_that_closed_half(rig):
    made = rig()
    sock = socket.create_connection(made.at[1])
    sock.sendall(b"GET /v2/health/live HTTP/1.1\r\nHost: g\r\n\r\n")
    end(sock, "half")
    assert read_to_end(made, sock).startswith(b"HTTP/1.1 200")


def test_over_http_half_a_close_behind_a_long_body_still_gets_its_answer():
    """The end is heard in the turn in which the first bytes are read, and the request is read whole."""
    loop, came = Loop(), []
    server = Server(loop, parse_address("127.0.0.1:0"), came.append, Limits())
    buffers_much(server.listener)
    sock = connected(server.address)
    sock.sendall(b"POST /a HTTP/1.1\r\nHost: g\r\nContent-Length: 150000\r\n\r\n" + b"x" * 150_000)
    sock.shutdown(socket.SHUT_WR)
    while not came:
        loop.after(MILLI, lambda: None)
        loop.turn()
    assert came[0].client_closed
    assert len(came[0].body) == 150_000
    server.answer(came[0], 504, (), b"late")
    assert sock.recv(65536).startswith(b"HTTP/1.1 504")
    sock.close()
    server.close()
    loop.close()
