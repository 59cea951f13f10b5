import io
from functools import partial

import pytest
from cell_fleet import CellFleet
from followed_cells import FollowedCells
from helpers import CONFIGURATION, Rig, Steady, makers
from hypothesis import settings
from scripted import Gate

from gaproute.appliance import Appliance
from gaproute.config import read_configuration
from gaproute.telemetry.logs import logger

pytest_plugins = ["known_red", "pytester"]

settings.register_profile("steady", derandomize=True, deadline=None)  # the same verdict every time
settings.load_profile("steady")


@pytest.fixture
def rig():
    """Makes gateways on sockets and closes them after the test."""
    yield from makers(Rig)


@pytest.fixture
def fleet(rig):
    """A gateway on the rig's loop, and a call that starts further ones with lines of their own."""
    yield from gateways_of(rig(hosts=3, more="listen peers 127.0.0.1:0"))


@pytest.fixture
def steady_fleet(rig):
    """The same on a clock on which the machine never stalls."""
    yield from gateways_of(rig(hosts=3, more="listen peers 127.0.0.1:0", clock=Steady()))


def gateways_of(made):
    """The rig and a call that starts further gateways; all of these are closed after the test."""
    started = []

    def start(name, *lines, listen=True):
        text = f"{CONFIGURATION.replace('name g', f'name {name}')}hosts-file {made.list} look 5ms\n"
        text += "\n".join(["listen peers 127.0.0.1:0"] * listen + list(lines)) + "\n"
        other = Appliance(read_configuration(name, text), made.loop, 9, logger(io.StringIO()))
        other.start()
        started.append(other)
        return other

    yield made, start
    for other in started:
        other.close()


@pytest.fixture
def gate(tmp_path):
    """Makes the platform's gateway among scripted peers (`scripted.Gate`) and closes it after the test."""
    yield from makers(partial(Gate, tmp_path))


@pytest.fixture
def cells(tmp_path):
    """Makes fleets of cells, whose gateways are processes (`cell_fleet`), and ends them after the test."""
    yield from makers(partial(CellFleet, tmp_path))


@pytest.fixture
def followed_cells():
    """Makes host lists that follow stand-in sources (`followed_cells`), and ends them after the test."""
    yield from makers(FollowedCells)
