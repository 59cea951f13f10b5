"""Fixtures of the tests of the observation store."""

import pytest
from observation_stores import Clocks, SqliteDisk

from gaproute.storage import ObservationStore


@pytest.fixture
def store(tmp_path):
    opened = []

    def make(clocks=None, boot="b1", path=tmp_path / "m"):
        clocks = clocks or Clocks()
        texts = []
        made = ObservationStore(path, texts.append, lambda: clocks.now, lambda: clocks.wall, boot)
        made.texts = texts
        made.open()
        opened.append(made)
        return made

    yield make
    for made in opened:
        made.close()


@pytest.fixture
def disk(monkeypatch):
    return SqliteDisk(monkeypatch)
