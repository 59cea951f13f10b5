"""The observation store on a failing disk and with a damaged file."""

import gc
import os

import pytest
from helpers import SECOND
from observation_stores import LOAD_OBSERVATION, OUTAGES, WARM_SUBJECT, ManualClocks, write_store

from gaproute.faultinjection.disk import FaultyDisk
from gaproute.faultinjection.disk_faults import IO_ERROR
from gaproute.faultinjection.plan import FaultPlan, Script
from gaproute.storage import ObservationStore, ObservationStoreError
from gaproute.storage import observation_store as store_module
from gaproute.storage.observation_store import MAX_BACKOFF, MIN_BACKOFF


@pytest.mark.parametrize("damage", ["cut", "nonsense", "empty", "hole"])
def test_a_damaged_file_is_quarantined_and_replaced(open_store, tmp_path, damage):
    write_store(open_store, *[(("warm", "x", f"f{n}"), (1, 0), SECOND) for n in range(2000)])
    path = tmp_path / "m"
    data = path.read_bytes()
    path.write_bytes(
        {
            "cut": data[:5000],
            "nonsense": b"never a database" * 100,
            "empty": b"",
            "hole": data[:4096] + bytes(len(data) - 4096),
        }[damage]
    )
    store = open_store()
    assert store.read(9) == []
    assert damage == "empty" or "quarantined" in store.messages[0]
    assert damage == "empty" or list(tmp_path.glob("m.broken-*"))
    store.write([(WARM_SUBJECT, (4, 0), 99 * SECOND)])
    assert store.read(9) == [(WARM_SUBJECT, (4, 0), SECOND)]


def test_a_torn_row_is_skipped_and_counted(open_store):
    write_store(open_store, (WARM_SUBJECT, (4, 0), 99 * SECOND), (("load",), (5,), 95 * SECOND))
    store = open_store()
    store.connection.execute(
        "UPDATE facts SET data = ? WHERE subject = (SELECT subject FROM facts LIMIT 1)", (b"\x94",)
    )
    assert len(store.read(9)) == 1
    assert store.torn_rows == 1
    assert "torn" in store.messages[0]


def test_failed_writes_are_counted_and_reported_once(open_store):
    store = open_store()
    store.connection.execute("DROP TABLE facts")
    for _ in range(2):
        store.write([(WARM_SUBJECT, (4, 0), SECOND)])
    assert store.failed == 2
    assert len(store.messages) == 1


def test_a_write_to_a_full_disk_succeeds_once_there_is_space(open_store):
    """SQLite's limit of pages simulates the full disk; the limit ends with the connection."""
    clocks = ManualClocks()
    store = open_store(clocks)
    assert store.write([(WARM_SUBJECT, (4, 0), 99 * SECOND)])
    store.connection.execute("PRAGMA max_page_count = 3")
    observations = [(("warm", "x", f"f{number}"), (4, 0), 98 * SECOND) for number in range(2000)]
    assert not store.write(observations)
    assert store.failed == 1
    assert "full" in store.messages[0]
    assert not store.write(observations)
    assert store.failed == 2
    assert len(store.messages) == 1
    clocks.now += MIN_BACKOFF
    assert store.write(observations)
    assert len(store.read(9999)) == 2001
    assert len(store.messages) == 1


@pytest.mark.parametrize(("code", "text"), OUTAGES)
def test_a_disk_outage_loses_no_observation_and_is_retried_with_backoff(open_store, disk, code, text):
    clocks = ManualClocks()
    store = open_store(clocks)
    assert store.write([(WARM_SUBJECT, (4, 0), 99 * SECOND)])
    disk.set_fault(code, text)
    backoffs = []
    for _ in range(200):
        before = store.retry_at
        assert not store.write([LOAD_OBSERVATION])
        if store.retry_at != before:
            backoffs.append((store.retry_at - clocks.now) // SECOND)
        clocks.now += SECOND // 2
    assert backoffs == [1, 2, 4, 8, 16, 30, 30, 30]
    assert len(store.messages) == 1
    disk.fault = None
    clocks.now += MAX_BACKOFF
    assert store.write([LOAD_OBSERVATION])
    assert {subject for subject, _, _ in store.read(9)} == {WARM_SUBJECT, ("load",)}
    assert not list(store.path.parent.glob("*.broken-*"))
    disk.set_fault(code, text)
    assert not store.write([LOAD_OBSERVATION])
    assert len(store.messages) == 2


@pytest.mark.parametrize(("code", "text"), OUTAGES)
def test_opening_a_store_on_a_failing_disk_does_not_quarantine_the_file(
    open_store, disk, tmp_path, code, text
):
    write_store(open_store)
    disk.set_fault(code, text)
    clocks = ManualClocks()
    store = ObservationStore(tmp_path / "m", print, lambda: clocks.now, lambda: clocks.wall, "b1")
    gc.collect()  # closes descriptors that earlier tests left open, so that both counts are comparable
    before = set(os.listdir("/proc/self/fd"))
    with pytest.raises(ObservationStoreError, match=text):
        store.open()
    assert set(os.listdir("/proc/self/fd")) == before
    assert not store.ensure_open()
    assert not list(tmp_path.glob("*.broken-*"))
    disk.fault = None
    clocks.now += MIN_BACKOFF
    assert store.ensure_open()
    assert store.write([LOAD_OBSERVATION])
    assert len(store.read(9)) == 2
    store.close()


def test_the_store_recovers_from_a_failed_read(open_store, disk):
    write_store(open_store)
    clocks = ManualClocks()
    store = open_store(clocks)
    disk.set_fault(*OUTAGES[0])
    assert store.read(9) == []
    assert not store.ensure_open()
    disk.fault = None
    clocks.now += MIN_BACKOFF
    assert store.ensure_open()
    assert len(store.read(9)) == 1


def test_a_file_whose_damage_is_found_by_a_write_is_quarantined_and_replaced(open_store):
    clocks = ManualClocks()
    store = open_store(clocks)
    store.connection.execute("DROP TABLE facts")
    assert not store.write([LOAD_OBSERVATION])
    clocks.now += MIN_BACKOFF
    assert store.write([LOAD_OBSERVATION])
    assert len(store.read(9)) == 1
    assert "quarantined" in store.messages[1]


def test_the_write_ahead_log_of_a_damaged_file_is_quarantined_first(open_store, tmp_path):
    """A write-ahead log left behind would be replayed into the new file."""
    names = [tmp_path / f"m{end}" for end in ("", "-wal", "-shm")]
    for name in names:
        name.write_bytes(b"never a database" * 100)
    faults = FaultyDisk(tmp_path, FaultPlan(Script.of(("replace", 3, IO_ERROR))))
    with (
        faults.installed(store_module),
        pytest.raises(ObservationStoreError, match="not a database.*Input/output"),
    ):
        open_store()
    assert [name.exists() for name in names] == [True, False, False]
    open_store()
    assert list(tmp_path.glob("m.broken-*"))
