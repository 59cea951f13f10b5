import pytest
from helpers import Rig


@pytest.fixture
def rig():
    """Makes gateways on sockets and closes them after the test."""
    made = []

    def make(*args, **told):
        made.append(Rig(*args, **told))
        return made[-1]

    yield make
    for each in made:
        each.close()
