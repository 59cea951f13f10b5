"""A loop that must end clean, and sockets whose calls fail, for the tests of dialing and accepting."""

import gc
import socket

import pytest
from failing import Failing, FailingSocket, open_descriptors

from gaproute.loop import Loop, SteppedClock, dialing, listening

SECOND = 1_000_000_000


class EvictionCounter:
    """Stands for the accepted connections of a loop."""

    count = 0

    def evict_idle(self):
        """Counts the calls."""
        self.count += 1


@pytest.fixture
def loop():
    """A loop on a stepped clock, on which nothing may be left behind."""
    gc.collect()  # what an earlier test left unclosed is not to be collected between the two counts
    before = open_descriptors()
    made = Loop(SteppedClock(now=7 * SECOND))
    made.faults = []
    made.on_error = made.faults.append
    yield made
    assert made.faults == []
    assert not made.watched
    assert not made.pending_registrations
    assert not [entry for entry in made.timers if entry[2].call is not None]
    made.close()
    assert open_descriptors() == before


@pytest.fixture
def real():
    """A loop on the real clock."""
    made = Loop()
    yield made
    made.close()


@pytest.fixture
def evictions(loop):
    """Counts how often the loop asks for idle connections to be closed."""
    loop.connections = EvictionCounter()
    return loop.connections


@pytest.fixture
def sockets(monkeypatch):
    """Makes a call of the next sockets of dials and listeners fail: `sockets(name, *codes)`, one number for
    each socket."""

    class Made:
        def __getattr__(self, name):
            return getattr(socket, name)

    stand_in = Made()
    monkeypatch.setattr(dialing, "socket", stand_in)
    monkeypatch.setattr(listening, "socket", stand_in)

    def fail(name, *codes):
        if name == "socket":
            stand_in.socket = Failing(socket.socket, *codes)
            return
        left = list(codes)

        def make(*args):
            made = FailingSocket(socket.socket(*args))
            if left:
                made.fail(name, left.pop(0))
            return made

        stand_in.socket = make

    return fail
