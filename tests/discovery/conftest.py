"""Watchers of a scripted change log, and a wall clock and a monotonic clock that tests move."""

import pytest
from helpers import makers
from scripted import Followed, Handed
from stepped_wall_clock import SteppedWallClock

from gaproute.loop import Loop


@pytest.fixture
def follow():
    yield from makers(lambda *args, **options: Followed(*args, clock=Handed(), **options))


@pytest.fixture
def clock():
    return Handed()


@pytest.fixture
def wall_clock(clock):
    return SteppedWallClock(clock)


@pytest.fixture
def loop(clock):
    loop = Loop(clock)
    yield loop
    loop.close()
