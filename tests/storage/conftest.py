"""Fixtures of the tests of the observation store."""

import pytest
from observation_stores import ManualClocks, SqliteDisk

from gaproute.storage import ObservationStore


@pytest.fixture
def open_store(tmp_path):
    opened = []

    def make_store(clocks=None, boot="b1", path=tmp_path / "m"):
        clocks = clocks or ManualClocks()
        messages = []
        store = ObservationStore(path, messages.append, lambda: clocks.now, lambda: clocks.wall, boot)
        store.messages = messages
        store.open()
        opened.append(store)
        return store

    yield make_store
    for store in opened:
        store.close()


@pytest.fixture
def disk(monkeypatch):
    return SqliteDisk(monkeypatch)
