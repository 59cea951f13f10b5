"""Followers of a scripted change log, and a wall clock that a test steps, on a clock that the test moves."""

import pytest
from helpers import makers
from scripted import Followed, Handed
from stepped_walls import Wall

from gaproute.loop import Loop


@pytest.fixture
def follow():
    yield from makers(lambda *args, **options: Followed(*args, clock=Handed(), **options))


@pytest.fixture
def clock():
    return Handed()


@pytest.fixture
def wall(clock):
    return Wall(clock)


@pytest.fixture
def loop(clock):
    made = Loop(clock)
    yield made
    made.close()
