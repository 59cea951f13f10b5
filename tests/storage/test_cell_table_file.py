"""The cell table file: atomic writes, quarantine of unusable files, and reports of outages."""

import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gaproute.faultinjection.disk import FaultyDisk
from gaproute.faultinjection.disk_faults import DISK_FULL, IO_ERROR
from gaproute.faultinjection.plan import FaultPlan, Script
from gaproute.storage import cell_table_file as cell_table_module
from gaproute.storage import files
from gaproute.storage.cell_table_file import MAX_FAILED_READS, MAX_FILE_BYTES, CellTableFile, StoredTable

STORED = StoredTable("north", 3, 17, (1 << 64) - 1, b"rows" * 100)


def table_file(path, fleet="north"):
    messages = []
    return CellTableFile(path, fleet, messages.append, wall_clock=lambda: 7), messages


def quarantined_names(path):
    return [name for name in sorted(os.listdir(path.parent)) if ".broken-" in name]


@pytest.fixture
def path(tmp_path):
    table_path = tmp_path / "cells.table"
    assert table_file(table_path)[0].write(STORED)
    return table_path


def test_the_last_stored_table_is_read(path):
    file, messages = table_file(path)
    assert file.read() == STORED
    newer = StoredTable("north", 3, 18, 5, b"")
    assert file.write(newer)
    assert table_file(path)[0].read() == newer
    assert messages == []
    assert os.listdir(path.parent) == [path.name]
    assert os.stat(path).st_mode & 0o777 == 0o600


def test_a_missing_file_is_not_reported(tmp_path):
    file, messages = table_file(tmp_path / "none")
    assert file.read() is None
    assert messages == []
    assert file.counts.quarantined == 0


@settings(max_examples=150, deadline=None)
@given(st.data())
def test_a_truncated_or_altered_file_is_quarantined(tmp_path_factory, data):
    path = tmp_path_factory.mktemp("table") / "cells.table"
    table_file(path)[0].write(STORED)
    content = bytearray(path.read_bytes())
    offset = data.draw(st.integers(0, len(content) - 1))
    if data.draw(st.booleans()):
        del content[offset:]
    else:
        content[offset] ^= data.draw(st.integers(1, 255))
    path.write_bytes(content)
    file, messages = table_file(path)
    assert file.read() is None
    assert file.counts.quarantined == 1
    assert len(messages) == 1
    assert quarantined_names(path) == ["cells.table.broken-7"]
    assert file.read() is None
    assert len(messages) == 1
    assert file.write(STORED)
    assert file.read() == STORED


def test_a_table_of_another_fleet_is_quarantined_unchanged(path):
    file, messages = table_file(path, "south")
    assert file.read() is None
    assert "of fleet 'north'" in messages[0]
    assert table_file(path.parent / quarantined_names(path)[0])[0].read() == STORED


def test_a_table_older_than_the_newest_known_version_is_quarantined(path):
    file, messages = table_file(path)
    assert file.read((3, 17)) == STORED
    assert file.read((4, 0)) is None
    assert "others hold version 4.0" in messages[0]
    assert file.counts.quarantined == 1


def test_an_oversized_file_is_not_read_as_a_whole(path):
    with path.open("ab") as longer:
        longer.truncate(1 << 40)
    file, messages = table_file(path)
    assert file.read() is None
    assert "more than" in messages[0]


def test_an_unfinished_write_leaves_the_previous_table(path):
    path.with_name("cells.table.new").write_bytes(b"half")
    assert table_file(path)[0].read() == STORED


def test_failed_writes_and_reads_are_counted_and_reported_once(path, tmp_path):
    file, messages = table_file(tmp_path / "missing" / "cells.table")
    for _ in range(3):
        assert not file.write(STORED)
    assert file.counts.failed == 3
    assert len(messages) == 1
    assert "not stored on disk" in messages[0]
    file, messages = table_file(path)
    assert not file.write(StoredTable("north", 4, 1, 0, bytes(MAX_FILE_BYTES)))
    assert file.read() == STORED
    file, messages = table_file(tmp_path)
    assert file.read() is None
    assert file.counts.failed == 1
    assert len(messages) == 1


def test_each_outage_is_reported_once(path):
    disk = FaultyDisk(
        path.parent, FaultPlan(Script.of(*[("write", number, DISK_FULL) for number in (1, 2, 4)]))
    )
    file, messages = table_file(path)
    with disk.installed(files):
        assert [file.write(STORED) for _ in range(5)] == [False, False, True, False, True]
    assert len(messages) == 2
    assert file.counts.failed == 3
    assert disk.open_descriptors == 0
    assert os.listdir(path.parent) == [path.name]


def test_transient_read_failures_are_counted_until_a_read_succeeds(path):
    disk = FaultyDisk(path.parent, FaultPlan(Script.of(("open", 1, DISK_FULL), ("read", 1, IO_ERROR))))
    file, messages = table_file(path)
    with disk.installed(files):
        assert file.read() is None
        assert file.failed_reads == 1
        assert file.read() is None
        assert file.failed_reads == 2
        assert file.read() == STORED
        assert file.failed_reads == 0
        assert len(messages) == 1


def test_a_file_that_stays_unreadable_is_quarantined(path):
    failures = [("read", number, IO_ERROR) for number in range(1, MAX_FAILED_READS + 1)]
    file, messages = table_file(path)
    with FaultyDisk(path.parent, FaultPlan(Script.of(*failures))).installed(files):
        assert [file.read() for _ in range(MAX_FAILED_READS)] == [None] * MAX_FAILED_READS
        assert file.failed_reads == 0
        assert quarantined_names(path) == ["cells.table.broken-7"]
        assert file.write(STORED)
        assert file.read() == STORED
    assert len(messages) == 2
    assert f"{MAX_FAILED_READS} reads in a row failed" in messages[1]


def test_the_reason_is_reported_even_if_the_quarantine_fails(path):
    path.write_bytes(b"no table")
    file, messages = table_file(path)
    with FaultyDisk(path.parent, FaultPlan(Script.of(("rename", 1, IO_ERROR)))).installed(cell_table_module):
        assert file.read() is None
    assert len(messages) == 1
    assert (
        "the file is not a cell table: it does not begin with 'gaproute-table-1'; not quarantined: "
        in messages[0]
    )


def test_a_short_write_does_not_replace_the_table(path, monkeypatch):
    write = os.write

    def write_until_full(file, view):
        if len(view) <= 100:
            raise OSError(28, "No space left on device")
        return write(file, view[:100])

    monkeypatch.setattr(os, "write", write_until_full)
    file, messages = table_file(path)
    assert not file.write(StoredTable("north", 4, 1, 0, bytes(5_000)))
    monkeypatch.undo()
    assert file.read() == STORED
    assert "No space left" in messages[0]
