"""The observation store on a disk that fails and with a file that cannot be used."""

import gc
import os

import pytest
from helpers import SECOND
from observation_stores import LATER, OUTAGES, WARM, Clocks, written

from gaproute.faultinjection.disk import FaultyDisk
from gaproute.faultinjection.disk_faults import IO_ERROR
from gaproute.faultinjection.plan import FaultPlan, Script
from gaproute.storage import ObservationStore, ObservationStoreError
from gaproute.storage import observation_store as module
from gaproute.storage.observation_store import MAX_BACKOFF, MIN_BACKOFF


@pytest.mark.parametrize("harm", ["cut", "nonsense", "empty", "hole"])
def test_a_file_that_is_no_good_is_quarantined_and_a_new_one_begun(store, tmp_path, harm):
    written(store, *[(("warm", "x", f"f{n}"), (1, 0), SECOND) for n in range(2000)])
    path = tmp_path / "m"
    data = path.read_bytes()
    path.write_bytes(
        {
            "cut": data[:5000],
            "nonsense": b"never a database" * 100,
            "empty": b"",
            "hole": data[:4096] + bytes(len(data) - 4096),
        }[harm]
    )
    made = store()
    assert made.read(9) == []
    assert harm == "empty" or "quarantined" in made.texts[0]
    assert harm == "empty" or list(tmp_path.glob("m.broken-*"))
    made.write([(WARM, (4, 0), 99 * SECOND)])
    assert made.read(9) == [(WARM, (4, 0), SECOND)]


def test_a_torn_row_is_left_out_and_counted(store):
    written(store, (WARM, (4, 0), 99 * SECOND), (("load",), (5,), 95 * SECOND))
    made = store()
    made.connection.execute(
        "UPDATE facts SET data = ? WHERE subject = (SELECT subject FROM facts LIMIT 1)", (b"\x94",)
    )
    assert len(made.read(9)) == 1
    assert made.torn_rows == 1
    assert "torn" in made.texts[0]


def test_a_write_that_fails_is_counted_and_reported_once(store):
    made = store()
    made.connection.execute("DROP TABLE facts")
    for _ in range(2):
        made.write([(WARM, (4, 0), SECOND)])
    assert made.failed == 2
    assert len(made.texts) == 1


def test_a_full_file_is_written_again_once_there_is_room(store):
    """SQLite's own bound on the pages stands for the full disk; it ends with the connection."""
    clocks = Clocks()
    made = store(clocks)
    assert made.write([(WARM, (4, 0), 99 * SECOND)])
    made.connection.execute("PRAGMA max_page_count = 3")
    many = [(("warm", "x", f"f{number}"), (4, 0), 98 * SECOND) for number in range(2000)]
    assert not made.write(many)
    assert made.failed == 1
    assert "full" in made.texts[0]
    assert not made.write(many)
    assert made.failed == 2
    assert len(made.texts) == 1
    clocks.now += MIN_BACKOFF
    assert made.write(many)
    assert len(made.read(9999)) == 2001
    assert len(made.texts) == 1


@pytest.mark.parametrize(("code", "text"), OUTAGES)
def test_a_disk_that_fails_for_a_while_costs_no_fact_and_is_tried_less_and_less(store, disk, code, text):
    clocks = Clocks()
    made = store(clocks)
    assert made.write([(WARM, (4, 0), 99 * SECOND)])
    disk.fails(code, text)
    tried = []
    for _ in range(200):
        before = made.retry_at
        assert not made.write([LATER])
        if made.retry_at != before:
            tried.append((made.retry_at - clocks.now) // SECOND)
        clocks.now += SECOND // 2
    assert tried == [1, 2, 4, 8, 16, 30, 30, 30]
    assert len(made.texts) == 1
    disk.fault = None
    clocks.now += MAX_BACKOFF
    assert made.write([LATER])
    assert {subject for subject, _, _ in made.read(9)} == {WARM, ("load",)}
    assert not list(made.path.parent.glob("*.broken-*"))
    disk.fails(code, text)
    assert not made.write([LATER])
    assert len(made.texts) == 2


@pytest.mark.parametrize(("code", "text"), OUTAGES)
def test_a_start_on_a_disk_that_fails_leaves_the_file_where_it_is(store, disk, tmp_path, code, text):
    written(store)
    disk.fails(code, text)
    clocks = Clocks()
    made = ObservationStore(tmp_path / "m", print, lambda: clocks.now, lambda: clocks.wall, "b1")
    gc.collect()  # what an earlier test left unclosed is not to be collected between the two counts
    before = set(os.listdir("/proc/self/fd"))
    with pytest.raises(ObservationStoreError, match=text):
        made.open()
    assert set(os.listdir("/proc/self/fd")) == before
    assert not made.ensure_open()
    assert not list(tmp_path.glob("*.broken-*"))
    disk.fault = None
    clocks.now += MIN_BACKOFF
    assert made.ensure_open()
    assert made.write([LATER])
    assert len(made.read(9)) == 2
    made.close()


def test_a_disk_that_fails_while_it_is_read_is_no_end(store, disk):
    written(store)
    clocks = Clocks()
    made = store(clocks)
    disk.fails(*OUTAGES[0])
    assert made.read(9) == []
    assert not made.ensure_open()
    disk.fault = None
    clocks.now += MIN_BACKOFF
    assert made.ensure_open()
    assert len(made.read(9)) == 1


def test_a_file_that_is_found_damaged_by_a_write_is_quarantined_and_a_new_one_begun(store):
    clocks = Clocks()
    made = store(clocks)
    made.connection.execute("DROP TABLE facts")
    assert not made.write([LATER])
    clocks.now += MIN_BACKOFF
    assert made.write([LATER])
    assert len(made.read(9)) == 1
    assert "quarantined" in made.texts[1]


def test_of_a_damaged_file_the_log_goes_first(store, tmp_path):
    """Left behind alone it would be played into the file that takes the place."""
    names = [tmp_path / f"m{end}" for end in ("", "-wal", "-shm")]
    for name in names:
        name.write_bytes(b"never a database" * 100)
    faults = FaultyDisk(tmp_path, FaultPlan(Script.of(("replace", 3, IO_ERROR))))
    with faults.installed(module), pytest.raises(ObservationStoreError, match="not a database.*Input/output"):
        store()
    assert [name.exists() for name in names] == [True, False, False]
    store()
    assert list(tmp_path.glob("m.broken-*"))
