"""Servers on sockets whose clock a test may move, and their clients."""

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
LIMITS = Limits(idle_time=60 * SECOND)


class ServedClients:
    """A server on a loop of the test's own clock, and blocking clients."""

    def __init__(self, limits=LIMITS, made=None, *, answer=True):
        self.skew = 0
        self.loop = Loop(lambda: time.monotonic_ns() + self.skew)
        self.connections = AcceptedConnections(self.loop, made)
        self.asked, self.clients, self.answers = [], [], answer
        self.server = Server(self.loop, parse_address("127.0.0.1:0"), self.handle, limits, counted=True)
        self.at = parse_address(self.server.address)[1]

    def handle(self, request):
        self.asked.append(request)
        if self.answers:
            self.server.answer(request, 200, (), b"ok")

    def client(self, source="127.0.0.1"):
        made = socket.create_connection(self.at, source_address=(source, 0))
        made.settimeout(5)
        self.clients.append(made)
        return made

    def turns(self, condition, most=2000):
        for _ in range(most):
            if condition():
                return
            self.loop.run(until=self.loop.sleep(MILLI // 5))
        raise AssertionError("it did not come about")

    def ask(self, client):
        before = len(self.asked)
        client.sendall(HEAD)
        self.turns(lambda: len(self.asked) > before)
        return client.recv(4096)

    def close(self):
        for client in self.clients:
            client.close()
        self.server.close()
        self.loop.close()


@pytest.fixture
def serving():
    """Makes servers with their clients and closes them after the test."""
    yield from makers(ServedClients)


class SteppedServer:
    """A server on a loop of its own whose clock the test moves, and clients that are plain sockets."""

    def __init__(self):
        self.before = open_descriptors()
        self.clock, self.faults, self.clients, self.taken = Handed(), [], [], []
        self.loop = Loop(self.clock)
        self.loop.on_error = self.faults.append
        self.loop.parked_epoll = FailingEpoll(self.loop.parked_epoll)
        self.server = Server(self.loop, parse_address("127.0.0.1:0"), self.handle, counted=True)
        self.connections = self.server.connections

    def handle(self, request):
        self.taken.append(request)
        self.server.answer(request, 200, (), b"well")

    def client(self, data=b""):
        made = socket.create_connection(parse_address(self.server.address)[1])
        made.sendall(data)
        made.setblocking(False)
        self.clients.append(made)
        return made

    def passes(self, span, step=MILLI):
        until = self.clock.now + span
        while self.clock.now < until:
            self.clock.now = min(until, self.clock.now + step)
            for _ in range(4):
                self.loop.soon(lambda: None)
                self.loop.turn()

    def answers(self, client):
        self.passes(20 * MILLI)
        try:
            return client.recv(65536).count(b"200")
        except BlockingIOError:
            return 0

    def close(self):
        for client in self.clients:
            client.close()
        self.passes(SECOND, 20 * MILLI)
        self.server.close()
        self.loop.close()
        assert not self.connections.client_count
        assert not self.connections.parked_count
        assert not self.server.active_connections
        assert not self.loop.watched
        assert self.faults == []
        assert open_descriptors() == self.before


@pytest.fixture
def stepped():
    made = SteppedServer()
    yield made
    made.close()
