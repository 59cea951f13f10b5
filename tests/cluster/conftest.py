"""A link emulator with slots around it."""

import pytest
from link_network import LinkNetwork


@pytest.fixture
def network():
    made = LinkNetwork()
    yield made
    made.close()
