"""The time limit of a forwarded request is at most what its client has left when it is written."""

import socket
import time

import pytest
from request_scenarios import fill_after
from scripted import MILLI, SECOND, HeldDials

from gaproute.http1 import Limits, Server
from gaproute.http1 import exchange as exchange_module
from gaproute.interface import Result
from gaproute.loop import Loop, connect
from gaproute.loop.addresses import parse_address
from tests.appliance.test_departed_forwarded import CALL, ForwardingSetup
from tests.http1.test_http1 import HEAD

SLACK_MS = 150  # by which a time limit may be too long, by the operators' terms


@pytest.fixture
def forwarding():
    forwarding = ForwardingSetup()
    yield forwarding
    forwarding.close()


def last_time_limit_ms(forwarding):
    return int(forwarding.received[-1].headers[b"gaproute-limit-ms"])


def test_forwarded_request_has_the_time_left_after_connecting(forwarding, monkeypatch):
    monkeypatch.setattr(exchange_module, "connect", dials := HeldDials())
    forwarding.forward(within=2 * SECOND)
    time.sleep(0.6)
    loop, host_address, timeout, on_connected, _ = dials.held[0]
    connect(loop, host_address, timeout, on_connected)
    forwarding.until(lambda: forwarding.received)
    assert 1000 <= last_time_limit_ms(forwarding) <= 1400


def test_request_forwarded_again_has_the_time_left_then(forwarding):
    call, start = CALL, forwarding.loop.now()
    forwarding.forward(call, within=2 * SECOND)
    forwarding.until(lambda: forwarding.received)
    first_limit = last_time_limit_ms(forwarding)
    forwarding.server.answer(forwarding.received[0], 429, (), b"")
    forwarding.until(lambda: forwarding.outcomes)
    time.sleep(0.3)
    forwarding.forward(call, within=start + 2 * SECOND - forwarding.loop.now())
    forwarding.until(lambda: len(forwarding.received) == 2)
    assert 1900 <= first_limit <= 2000
    assert last_time_limit_ms(forwarding) <= 1700


def test_forwarded_request_does_not_wait_in_the_buffer_of_a_full_connection(forwarding, monkeypatch):
    """An idle connection that takes no byte is not used; a repeat of the request has the time left then."""
    forwarding.forward()
    forwarding.until(lambda: forwarding.received)
    forwarding.server.answer(forwarding.received[0], 200, (), b"")
    forwarding.until(lambda: forwarding.outcomes)
    ((connection,),) = [host.idle_connections for host in forwarding.entry_gateways.client.hosts.values()]
    full_socket = fill_after(connection, 0)
    handle = forwarding.forward()
    forwarding.until(lambda: len(forwarding.outcomes) == 2)
    full_socket.emptied()
    forwarding.loop.run(until=forwarding.loop.sleep(20 * MILLI))
    assert forwarding.outcomes[1].result is Result.CONNECT_FAILED
    assert len(forwarding.received) == 1
    assert not connection.open
    assert not handle.exchange.any_byte_sent


@pytest.fixture
def server_setup():
    """A loop, a server that reads two requests ahead on a connection, its requests, and a client."""
    loop, received = Loop(), []
    server = Server(loop, parse_address("127.0.0.1:0"), received.append, Limits(max_pipelined=2))
    client = socket.create_connection(parse_address(server.address)[1])
    yield loop, server, received, client
    client.close()
    server.close()
    loop.close()


def run_until(loop, condition):
    deadline = loop.now() + 5 * SECOND
    while not condition():
        assert loop.now() < deadline, "waited too long"
        loop.call_later(MILLI, lambda: None)
        loop.turn()


REQUEST = HEAD + b"Content-Length: 0\r\n\r\n"


def test_request_unread_behind_pipelined_ones_counts_as_arrived_when_reading_paused(server_setup):
    loop, server, received, client = server_setup
    client.sendall(REQUEST * 2)
    run_until(loop, lambda: len(received) == 2)
    client.sendall(REQUEST)
    for _ in range(6):
        loop.run(until=loop.sleep(50 * MILLI))
    assert len(received) == 2
    server.answer(received[0], 200, (), b"")
    run_until(loop, lambda: len(received) == 3)
    assert loop.now() - received[2].arrived_at >= 280 * MILLI
    for request in received[1:]:
        server.answer(request, 200, (), b"")
    client.sendall(REQUEST)  # is read at once
    run_until(loop, lambda: len(received) == 4)
    assert loop.now() - received[3].arrived_at <= SLACK_MS * MILLI


@pytest.mark.parametrize("wait_ms", [0, 300])
def test_request_on_a_connection_not_yet_accepted_counts_as_arrived_when_its_bytes_came(
    server_setup, wait_ms
):
    loop, server, received, client = server_setup
    client.sendall(REQUEST)
    time.sleep(wait_ms / 1000)
    run_until(loop, lambda: received)
    assert (wait_ms - 20) * MILLI <= loop.now() - received[0].arrived_at <= (wait_ms + SLACK_MS) * MILLI
