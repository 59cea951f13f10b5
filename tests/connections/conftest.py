"""Harnesses with a server on real sockets, a clock that the test moves, and clients."""

import socket
import time

import pytest
from failing import FailingEpoll, open_descriptors
from helpers import makers
from scripted import MILLI, SECOND, Handed

from gaproute.connections import AcceptedConnections
from gaproute.http1 import Limits, Server
from gaproute.loop import Loop
from gaproute.loop.addresses import parse_address

HEAD = b"GET / HTTP/1.1\r\nHost: g\r\n\r\n"
LIMITS = Limits(idle_timeout=60 * SECOND)


class ServerHarness:
    """A server on a loop whose clock runs `clock_offset` ns ahead of the real one, and blocking clients."""

    def __init__(self, limits=LIMITS, admission=None, *, answer_requests=True):
        self.clock_offset = 0
        self.loop = Loop(lambda: time.monotonic_ns() + self.clock_offset)
        self.connections = AcceptedConnections(self.loop, admission)
        self.requests, self.clients, self.answer_requests = [], [], answer_requests
        self.server = Server(self.loop, parse_address("127.0.0.1:0"), self.handle, limits, counted=True)
        self.address = parse_address(self.server.address)[1]

    def handle(self, request):
        self.requests.append(request)
        if self.answer_requests:
            self.server.answer(request, 200, (), b"ok")

    def connect_client(self, source="127.0.0.1"):
        client = socket.create_connection(self.address, source_address=(source, 0))
        client.settimeout(5)
        self.clients.append(client)
        return client

    def run_until(self, condition, max_turns=2000):
        for _ in range(max_turns):
            if condition():
                return
            self.loop.run(until=self.loop.sleep(MILLI // 5))
        raise AssertionError(f"the condition does not hold after {max_turns} turns of the loop")

    def request(self, client):
        """Sends a request and returns the bytes of its answer."""
        before = len(self.requests)
        client.sendall(HEAD)
        self.run_until(lambda: len(self.requests) > before)
        return client.recv(4096)

    def close(self):
        for client in self.clients:
            client.close()
        self.server.close()
        self.loop.close()


@pytest.fixture
def make_harness():
    """Creates harnesses and closes them after the test."""
    yield from makers(ServerHarness)


class SteppedServerHarness:
    """A server on a loop whose clock stands still unless the test advances it, and non-blocking clients."""

    def __init__(self):
        self.descriptors_before = open_descriptors()
        self.clock, self.errors, self.clients, self.requests = Handed(), [], [], []
        self.loop = Loop(self.clock)
        self.loop.on_error = self.errors.append
        self.loop.parked_epoll = FailingEpoll(self.loop.parked_epoll)
        self.server = Server(self.loop, parse_address("127.0.0.1:0"), self.handle, counted=True)
        self.connections = self.server.connections

    def handle(self, request):
        self.requests.append(request)
        self.server.answer(request, 200, (), b"well")

    def connect_client(self, data=b""):
        client = socket.create_connection(parse_address(self.server.address)[1])
        client.sendall(data)
        client.setblocking(False)
        self.clients.append(client)
        return client

    def advance(self, span, step=MILLI):
        until = self.clock.now + span
        while self.clock.now < until:
            self.clock.now = min(until, self.clock.now + step)
            for _ in range(4):
                self.loop.call_soon(lambda: None)
                self.loop.turn()

    def count_answers(self, client):
        self.advance(20 * MILLI)
        try:
            return client.recv(65536).count(b"200")
        except BlockingIOError:
            return 0

    def close(self):
        for client in self.clients:
            client.close()
        self.advance(SECOND, 20 * MILLI)
        self.server.close()
        self.loop.close()
        assert not self.connections.client_count
        assert not self.connections.parked_count
        assert not self.server.active_connections
        assert not self.loop.watched
        assert self.errors == []
        assert open_descriptors() == self.descriptors_before


@pytest.fixture
def harness():
    harness = SteppedServerHarness()
    yield harness
    harness.close()
