"""The limit sent with a forwarded call is at most what its client has left when its bytes are written."""

import socket
import time

import pytest
from request_scenarios import fill_after
from scripted import MILLI, SECOND, HeldDials

from gaproute.http1 import Limits, Server
from gaproute.http1 import exchange as exchanges
from gaproute.interface import Result
from gaproute.loop import Loop, connect
from gaproute.loop.addresses import parse_address
from tests.appliance.test_departed_forwarded import CALL, Way
from tests.http1.test_http1 import HEAD

SLACK = 150  # ms, by the operators' terms


@pytest.fixture
def way():
    made = Way()
    yield made
    made.close()


def limit(way):
    return int(way.came[-1].headers[b"gaproute-limit-ms"])


def test_a_forwarded_call_carries_what_is_left_after_its_dial(way, monkeypatch):
    monkeypatch.setattr(exchanges, "connect", dials := HeldDials())
    way.forward(within=2 * SECOND)
    time.sleep(0.6)
    loop, where, within, done, _ = dials.held[0]
    connect(loop, where, within, done)
    way.until(lambda: way.came)
    assert 1000 <= limit(way) <= 1400


def test_a_forwarded_call_that_goes_again_carries_what_is_left_then(way):
    call, now = CALL, way.loop.now()
    way.forward(call, within=2 * SECOND)
    way.until(lambda: way.came)
    first = limit(way)
    way.server.answer(way.came[0], 429, (), b"")
    way.until(lambda: way.heard)
    time.sleep(0.3)
    way.forward(call, within=now + 2 * SECOND - way.loop.now())
    way.until(lambda: len(way.came) == 2)
    assert 1900 <= first <= 2000
    assert limit(way) <= 1700


def test_a_forwarded_call_waits_in_no_connections_buffer(way, monkeypatch):
    """An idle connection that takes no byte is not used: the call goes again, with what is left then."""
    way.forward()
    way.until(lambda: way.came)
    way.server.answer(way.came[0], 200, (), b"")
    way.until(lambda: way.heard)
    ((link,),) = [host.idle for host in way.entries.hosts.hosts.values()]
    full = fill_after(link, 0)
    hold = way.forward()
    way.until(lambda: len(way.heard) == 2)
    full.emptied()
    way.loop.run(until=way.loop.sleep(20 * MILLI))
    assert way.heard[1].result is Result.CONNECT_FAILED
    assert len(way.came) == 1
    assert not link.open
    assert not hold.exchange.any_byte_sent


@pytest.fixture
def served():
    """A server that reads no more than two requests of a connection, with a clock of the test's own."""
    loop, held = Loop(), []
    server = Server(loop, parse_address("127.0.0.1:0"), held.append, Limits(max_pipelined=2))
    client = socket.create_connection(parse_address(server.address)[1])
    yield loop, server, held, client
    client.close()
    server.close()
    loop.close()


def until(loop, condition):
    end = loop.now() + 5 * SECOND
    while not condition():
        assert loop.now() < end, "waited too long"
        loop.call_later(MILLI, lambda: None)
        loop.turn()


REQUEST = HEAD + b"Content-Length: 0\r\n\r\n"


def test_a_request_that_lay_unread_behind_those_in_hand_counts_from_the_pause(served):
    loop, server, held, client = served
    client.sendall(REQUEST * 2)
    until(loop, lambda: len(held) == 2)
    client.sendall(REQUEST)
    for _ in range(6):
        loop.run(until=loop.sleep(50 * MILLI))
    assert len(held) == 2
    server.answer(held[0], 200, (), b"")
    until(loop, lambda: len(held) == 3)
    assert loop.now() - held[2].arrived_at >= 280 * MILLI
    for request in held[1:]:
        server.answer(request, 200, (), b"")
    client.sendall(REQUEST)  # read as it comes
    until(loop, lambda: len(held) == 4)
    assert loop.now() - held[3].arrived_at <= SLACK * MILLI


@pytest.mark.parametrize("waits", [0, 300])
def test_a_request_that_lay_in_the_queue_of_those_to_be_accepted_counts_from_when_it_came(served, waits):
    loop, server, held, client = served
    client.sendall(REQUEST)
    time.sleep(waits / 1000)
    until(loop, lambda: held)
    assert (waits - 20) * MILLI <= loop.now() - held[0].arrived_at <= (waits + SLACK) * MILLI
