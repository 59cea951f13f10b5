"""The last good cell table on disk: stored whole, and quarantined where it cannot be used."""

import os

import pytest
from hypothesis import given, settings
from hypothesis import strategies as some

from gaproute.faultinjection.disk import FaultyDisk
from gaproute.faultinjection.disk_faults import DISK_FULL, IO_ERROR
from gaproute.faultinjection.plan import FaultPlan, Script
from gaproute.storage import cell_table_file as cell_table_module
from gaproute.storage import files
from gaproute.storage.cell_table_file import MAX_FAILED_READS, MAX_FILE_BYTES, CellTableFile, StoredTable

STORED = StoredTable("north", 3, 17, (1 << 64) - 1, b"rows" * 100)


def opened(path, fleet="north"):
    messages = []
    return CellTableFile(path, fleet, messages.append, wall_clock=lambda: 7), messages


def quarantined(path):
    return [name for name in sorted(os.listdir(path.parent)) if ".broken-" in name]


@pytest.fixture
def path(tmp_path):
    made = tmp_path / "cells.table"
    assert opened(made)[0].write(STORED)
    return made


def test_what_was_stored_is_read_and_the_last_one_stands(path):
    file, messages = opened(path)
    assert file.read() == STORED
    newer = StoredTable("north", 3, 18, 5, b"")
    assert file.write(newer)
    assert opened(path)[0].read() == newer
    assert messages == []
    assert os.listdir(path.parent) == [path.name]
    assert os.stat(path).st_mode & 0o777 == 0o600


def test_without_a_file_nothing_is_said(tmp_path):
    file, messages = opened(tmp_path / "none")
    assert file.read() is None
    assert messages == []
    assert file.counts.quarantined == 0


@settings(max_examples=150, deadline=None)
@given(some.data())
def test_a_file_cut_short_or_altered_anywhere_is_quarantined(tmp_path_factory, data):
    path = tmp_path_factory.mktemp("table") / "cells.table"
    opened(path)[0].write(STORED)
    content = bytearray(path.read_bytes())
    place = data.draw(some.integers(0, len(content) - 1))
    if data.draw(some.booleans()):
        del content[place:]
    else:
        content[place] ^= data.draw(some.integers(1, 255))
    path.write_bytes(content)
    file, messages = opened(path)
    assert file.read() is None
    assert file.counts.quarantined == 1
    assert len(messages) == 1
    assert quarantined(path) == ["cells.table.broken-7"]
    assert file.read() is None
    assert len(messages) == 1
    assert file.write(STORED)
    assert file.read() == STORED


def test_a_table_of_another_fleet_is_quarantined_whole(path):
    file, messages = opened(path, "south")
    assert file.read() is None
    assert "of fleet 'north'" in messages[0]
    assert opened(path.parent / quarantined(path)[0])[0].read() == STORED


def test_a_table_older_than_what_is_heard_is_quarantined(path):
    file, messages = opened(path)
    assert file.read((3, 17)) == STORED
    assert file.read((4, 0)) is None
    assert "others hold version 4.0" in messages[0]
    assert file.counts.quarantined == 1


def test_an_absurdly_large_file_is_not_read_whole(path):
    with path.open("ab") as longer:
        longer.truncate(1 << 40)
    file, messages = opened(path)
    assert file.read() is None
    assert "more than" in messages[0]


def test_a_write_that_was_not_finished_leaves_the_table_before(path):
    path.with_name("cells.table.new").write_bytes(b"half")
    assert opened(path)[0].read() == STORED


def test_a_disk_that_cannot_be_written_is_counted_and_reported_once(path, tmp_path):
    file, messages = opened(tmp_path / "missing" / "cells.table")
    for _ in range(3):
        assert not file.write(STORED)
    assert file.counts.failed == 3
    assert len(messages) == 1
    assert "not stored on disk" in messages[0]
    file, messages = opened(path)
    assert not file.write(StoredTable("north", 4, 1, 0, bytes(MAX_FILE_BYTES)))
    assert file.read() == STORED
    file, messages = opened(tmp_path)
    assert file.read() is None
    assert file.counts.failed == 1
    assert len(messages) == 1


def test_an_outage_is_reported_once_and_the_next_one_again(path):
    disk = FaultyDisk(path.parent, FaultPlan(Script.of(*[("write", each, DISK_FULL) for each in (1, 2, 4)])))
    file, messages = opened(path)
    with disk.installed(files):
        assert [file.write(STORED) for _ in range(5)] == [False, False, True, False, True]
    assert len(messages) == 2
    assert file.counts.failed == 3
    assert disk.open_descriptors == 0
    assert os.listdir(path.parent) == [path.name]


def test_a_file_that_is_not_read_for_a_moment_stays_and_is_to_be_read_first(path):
    disk = FaultyDisk(path.parent, FaultPlan(Script.of(("open", 1, DISK_FULL), ("read", 1, IO_ERROR))))
    file, messages = opened(path)
    with disk.installed(files):
        assert file.read() is None
        assert file.failed_reads == 1
        assert file.read() is None
        assert file.failed_reads == 2
        assert file.read() == STORED
        assert file.failed_reads == 0
        assert len(messages) == 1


def test_a_file_that_is_never_read_is_given_up_and_quarantined(path):
    lines = [("read", each, IO_ERROR) for each in range(1, MAX_FAILED_READS + 1)]
    file, messages = opened(path)
    with FaultyDisk(path.parent, FaultPlan(Script.of(*lines))).installed(files):
        assert [file.read() for _ in range(MAX_FAILED_READS)] == [None] * MAX_FAILED_READS
        assert file.failed_reads == 0
        assert quarantined(path) == ["cells.table.broken-7"]
        assert file.write(STORED)
        assert file.read() == STORED
    assert len(messages) == 2
    assert f"{MAX_FAILED_READS} reads in a row failed" in messages[1]


def test_why_a_table_cannot_be_used_is_reported_also_where_it_cannot_be_quarantined(path):
    path.write_bytes(b"no table")
    file, messages = opened(path)
    with FaultyDisk(path.parent, FaultPlan(Script.of(("rename", 1, IO_ERROR)))).installed(cell_table_module):
        assert file.read() is None
    assert len(messages) == 1
    assert (
        "the file is not a cell table: it does not begin with 'gaproute-table-1'; not quarantined: "
        in messages[0]
    )


def test_a_short_write_does_not_replace_the_table(path, monkeypatch):
    write = os.write

    def full(file, view):
        if len(view) <= 100:
            raise OSError(28, "No space left on device")
        return write(file, view[:100])

    monkeypatch.setattr(os, "write", full)
    file, messages = opened(path)
    assert not file.write(StoredTable("north", 4, 1, 0, bytes(5_000)))
    monkeypatch.undo()
    assert file.read() == STORED
    assert "No space left" in messages[0]
