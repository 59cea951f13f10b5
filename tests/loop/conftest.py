"""A loop that must leave nothing open, and sockets whose calls fail, for tests of dials and listeners."""

import gc
import socket

import pytest
from failing import Failing, FailingSocket, open_descriptors

from gaproute.loop import Loop, SteppedClock, dialing, listening

SECOND = 1_000_000_000


class EvictionCounter:
    """A stand-in for the accepted connections of a loop."""

    count = 0

    def evict_idle(self):
        """Counts the calls."""
        self.count += 1


@pytest.fixture
def loop():
    """A loop on a stepped clock; no error, timer, registration or descriptor may be left after the test."""
    gc.collect()  # closes what earlier tests left open; done later, it would change the second count
    before = open_descriptors()
    loop = Loop(SteppedClock(now=7 * SECOND))
    loop.reported_errors = []
    loop.on_error = loop.reported_errors.append
    yield loop
    assert loop.reported_errors == []
    assert not loop.watched
    assert not loop.pending_registrations
    assert not [entry for entry in loop.timers if entry[2].call is not None]
    loop.close()
    assert open_descriptors() == before


@pytest.fixture
def real_loop():
    """A loop on the real clock."""
    loop = Loop()
    yield loop
    loop.close()


@pytest.fixture
def evictions(loop):
    """Counts how often the loop asks for idle connections to be closed."""
    loop.connections = EvictionCounter()
    return loop.connections


@pytest.fixture
def fail_sockets(monkeypatch):
    """Makes calls of the next sockets of dials and listeners fail.

    `fail_sockets(name, *errnos)`: the call `name` fails once per socket, with the next errno.
    """

    class SocketModule:
        def __getattr__(self, name):
            return getattr(socket, name)

    socket_module = SocketModule()
    monkeypatch.setattr(dialing, "socket", socket_module)
    monkeypatch.setattr(listening, "socket", socket_module)

    def fail(name, *errnos):
        if name == "socket":
            socket_module.socket = Failing(socket.socket, *errnos)
            return
        remaining = list(errnos)

        def create(*args):
            sock = FailingSocket(socket.socket(*args))
            if remaining:
                sock.fail(name, remaining.pop(0))
            return sock

        socket_module.socket = create

    return fail
