"""The Raft log file: synced records are read back, and damage is detected or removed as a torn tail."""

import errno
import os
from types import SimpleNamespace

import pytest

from gaproute.faultinjection.disk import FaultyDisk
from gaproute.faultinjection.disk_faults import DISK_FULL, IO_ERROR
from gaproute.faultinjection.plan import FaultPlan, Script
from gaproute.shared.raft import UnusableDiskError
from gaproute.shared.raft.store import Store
from gaproute.simulation import SeededRandom, SimulatedDisk
from gaproute.storage import RaftLogFile, files
from gaproute.storage import raft_log_file as log_module
from gaproute.storage.log_records import CorruptRecordError, decode_records, encode_record, encode_replacement


@pytest.fixture
def log_file(tmp_path):
    opened = []

    def make():
        messages = []
        log = RaftLogFile(tmp_path / "votes", messages.append, lambda: 17)
        log.messages = messages
        opened.append(log)
        return log.open()

    yield make
    for log in opened:
        log.close()


def write_log(log_file, *batches):
    log = log_file()
    assert log.read() == []
    for batch in batches:
        for record in batch:
            log.append(record)
        log.sync()
    log.close()
    return log.path


def append_and_sync(opened, record):
    opened.append(record)
    opened.sync()


def read_records(log_file):
    log = log_file()
    records = log.read()
    log.close()
    return records


def test_records_are_read_in_the_order_of_appends(log_file):
    write_log(log_file, [b"a", b""], [b"c" * 5000])
    reopened = log_file()
    assert reopened.read() == [b"a", b"", b"c" * 5000]
    reopened.replace([b"x", b"y"])
    reopened.append(b"z")
    reopened.sync()
    reopened.close()
    assert read_records(log_file) == [b"x", b"y", b"z"]


def with_flipped_byte(data, offset):
    return data[:offset] + bytes([data[offset] ^ 0x41]) + data[offset + 1 :]


def test_any_truncated_file_yields_a_prefix_and_accepts_further_records(log_file):
    path = write_log(log_file, [b"one"], [b"two", b"three"])
    written = path.read_bytes()
    seen = {tuple(decode_records(written[:length]).payloads) for length in range(len(written))}
    assert seen == {(), (b"one",), (b"one", b"two")}
    path.write_bytes(written[:-3])
    log = log_file()
    assert log.read() == [b"one", b"two"]
    assert "torn tail" in log.messages[0]
    assert log.torn_tails == 1
    log.append(b"more")
    log.sync()
    log.close()
    assert read_records(log_file) == [b"one", b"two", b"more"]


def test_any_damaged_byte_before_the_last_batch_is_detected(log_file):
    path = write_log(log_file, [b"one", b"two"], [b"three"])
    written = path.read_bytes()
    for offset in range(len(written) - len(encode_record(0, 0, b"three"))):
        with pytest.raises(CorruptRecordError):
            decode_records(with_flipped_byte(written, offset))
    path.write_bytes(with_flipped_byte(written, 40))
    log = log_file()
    with pytest.raises(UnusableDiskError):
        log.read()
    with pytest.raises(OSError, match="the file has not been read yet"):
        log.append(b"x")
    log.quarantine("a bad record")
    assert "quarantined as" in log.messages[0]
    assert not path.exists()
    assert path.with_name("votes.broken-17").exists()
    log.replace([b"new"])
    log.close()
    assert read_records(log_file) == [b"new"]


def test_any_damaged_byte_in_the_records_of_a_replacement_is_detected():
    written = encode_replacement([b"one", b"two"])
    for offset in range(len(written) - len(encode_record(0, 0, b""))):
        with pytest.raises(CorruptRecordError):
            decode_records(with_flipped_byte(written, offset))
    assert decode_records(written[:-1]).payloads == decode_records(written).payloads == [b"one", b"two"]


def test_a_batch_written_out_of_order_is_a_torn_tail(log_file):
    """Before a sync, the kernel may write the page of a later record and lose the page of an earlier one."""
    path = write_log(log_file, [b"one"], [b"two", b"three"])
    whole = path.read_bytes()
    offset = whole.index(b"two")
    path.write_bytes(whole[:offset] + b"\0\0\0" + whole[offset + 3 :])
    log = log_file()
    assert log.read() == [b"one"]
    assert log.torn_tails == 1
    assert "torn tail" in log.messages[0]


def test_a_file_locked_by_another_process_is_not_opened(log_file):
    log_file()
    with pytest.raises(BlockingIOError):
        log_file()


@pytest.mark.parametrize("call", ["write", "fsync"])
def test_after_a_failure_appends_are_refused_until_all_records_are_replaced(log_file, monkeypatch, call):
    write_log(log_file, [b"one"])
    log = log_file()
    log.read()

    def fail_with_full_disk(*_):
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(log_module.os, call, fail_with_full_disk)
        with pytest.raises(OSError, match="No space left on device") as caught:
            append_and_sync(log, b"two")
        with pytest.raises(OSError, match="No space left on device"):
            log.replace([b"one", b"two"])
    assert caught.value.errno == errno.ENOSPC
    assert len(log.messages) == 1
    assert "neither votes" in log.messages[0]
    for refused in (log.sync, lambda: log.append(b"x")):
        with pytest.raises(OSError, match="the file is not used until it is written again"):
            refused()
    log.replace([b"one", b"two"])
    log.append(b"three")
    log.sync()
    log.close()
    assert read_records(log_file) == [b"one", b"two", b"three"]


def test_a_failed_replacement_leaves_the_old_records(log_file, monkeypatch):
    write_log(log_file, [b"one"])
    log = log_file()
    log.read()
    with monkeypatch.context() as patch:
        patch.setattr(log_module, "encode_replacement", lambda records: {}[0])
        with pytest.raises(KeyError):
            log.replace([b"other"])
    log.close()
    assert read_records(log_file) == [b"one"]


def faulty_disk(tmp_path, *failures):
    return FaultyDisk(tmp_path, FaultPlan(Script.of(*failures)))


def test_a_failed_close_leaks_no_descriptor_and_closes_none_twice(log_file, tmp_path):
    """close(2) releases the descriptor even if it reports an error, so that a second close could close the
    descriptor of another file."""
    disk = faulty_disk(tmp_path, *[("close", number, IO_ERROR) for number in range(1, 9)])
    with disk.installed(log_module, files):
        log = log_file()
        assert log.read() == []
        log.replace([b"one"])
        assert disk.open_descriptors == 2  # of the lock file and the log file
        log.append(b"two")
        log.sync()
        log.close()
    assert disk.open_descriptors == 0
    assert read_records(log_file) == [b"one", b"two"]


@pytest.mark.parametrize("call", ["write", "fsync", "rename"])
def test_a_failed_replacement_removes_its_temporary_file(log_file, tmp_path, call):
    write_log(log_file, [b"one"])
    log = log_file()
    log.read()
    disk = faulty_disk(tmp_path, (call, 1, DISK_FULL))
    with disk.installed(log_module, files), pytest.raises(OSError, match="No space"):
        log.replace([b"other"])
    assert disk.open_descriptors == 0
    assert not (tmp_path / "votes.new").exists()
    log.close()
    assert read_records(log_file) == [b"one"]


def test_records_in_the_page_cache_after_a_failed_sync_are_written_again_at_the_next_read(log_file, tmp_path):
    """The next process reads the records from the page cache, and its own fsync succeeds, since the kernel
    marked the pages clean when the first fsync failed."""
    disk = faulty_disk(tmp_path)
    disk.chance = SimpleNamespace(randrange=lambda below: 0)  # keeps as little unsynced data as the disk may
    with disk.installed(log_module, files):
        log = log_file()
        log.read()
        disk.plan = FaultPlan(Script.of(("fsync", 1, IO_ERROR)))
        log.append(b"one")
        with pytest.raises(OSError, match="Input/output"):
            log.sync()
        disk.end_process()
        log.descriptor = log.lock = None
        assert log_file().read() == [b"one"]  # the node may act on the record from here on
        disk.fail_power()
        assert log_file().read() == [b"one"]
        disk.end_process()


def test_a_failed_read_can_be_repeated(log_file, tmp_path):
    write_log(log_file, [b"one"])
    disk = faulty_disk(tmp_path, ("open", 1, DISK_FULL), ("read", 1, IO_ERROR), ("fsync", 1, DISK_FULL))
    with disk.installed(log_module, files):
        log = RaftLogFile(tmp_path / "votes", lambda text: None)
        for text in ("No space left", "Input/output", "No space left"):
            with pytest.raises(OSError, match=text):
                log.read()
        assert log.read() == [b"one"]
        log.append(b"two")
        log.sync()
        log.close()
    assert disk.open_descriptors == 0
    assert read_records(log_file) == [b"one", b"two"]


def test_a_quarantine_is_reported_even_if_the_directory_sync_fails(log_file, tmp_path):
    path = write_log(log_file, [b"one"], [b"two"])
    written = path.read_bytes()
    path.write_bytes(with_flipped_byte(written, written.index(b"one")))
    log = log_file()
    with pytest.raises(UnusableDiskError):
        log.read()
    disk = faulty_disk(tmp_path, ("fsync", 1, IO_ERROR))
    with disk.installed(log_module, files), pytest.raises(OSError, match="Input/output"):
        log.quarantine("a bad record")
    assert "a bad record; quarantined as" in log.messages[0]
    assert log.read() == []


def test_a_full_device_is_reported(log_file):
    log = log_file()
    log.read()
    full = os.open("/dev/full", os.O_WRONLY)
    os.dup2(full, log.descriptor)
    os.close(full)
    with pytest.raises(OSError, match="No space left on device") as caught:
        log.append(b"x")
    assert caught.value.errno == errno.ENOSPC


def test_opening_a_log_in_a_missing_directory_fails(tmp_path):
    with pytest.raises(FileNotFoundError):
        RaftLogFile(tmp_path / "none" / "votes").open()


def test_a_node_restores_the_state_of_its_own_file_and_rejects_that_of_another_node(log_file):
    log = log_file()
    store = Store("k1", log, SeededRandom(1), lambda state: None)
    store.save_vote(3, "k2", 5)
    assert store.sync()
    log.close()
    reopened = log_file()
    restored = Store("k1", reopened, SeededRandom(2), lambda state: None)
    assert (restored.term, restored.voted_for, restored.incarnation) == (3, ("k2", 5), store.incarnation)
    reopened.close()
    other = Store("k9", log_file(), SeededRandom(3), lambda state: None)
    assert other.term == 0
    assert other.incarnation not in (0, store.incarnation)
    assert "another gateway" in other.discard_reason


def test_the_simulated_disk_has_the_same_methods():
    for name in ("read", "append", "sync", "replace", "quarantine"):
        assert callable(getattr(SimulatedDisk(), name))
        assert callable(getattr(RaftLogFile("x"), name))
