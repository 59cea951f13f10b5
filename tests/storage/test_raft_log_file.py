"""The Raft log file: what is synced is read again, what went bad is never taken for a whole log."""

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
from gaproute.storage import raft_log_file as module
from gaproute.storage.log_records import CorruptRecordError, decode_records, encode_record, encode_replacement


@pytest.fixture
def log_file(tmp_path):
    opened = []

    def make():
        texts = []
        one = RaftLogFile(tmp_path / "votes", texts.append, lambda: 17)
        one.texts = texts
        opened.append(one)
        return one.open()

    yield make
    for one in opened:
        one.close()


def filled(log_file, *batches):
    one = log_file()
    assert one.read() == []
    for batch in batches:
        for record in batch:
            one.append(record)
        one.sync()
    one.close()
    return one.path


def append_and_sync(opened, record):
    opened.append(record)
    opened.sync()


def again(log_file):
    one = log_file()
    records = one.read()
    one.close()
    return records


def test_records_are_read_again_in_order(log_file):
    filled(log_file, [b"a", b""], [b"c" * 5000])
    two = log_file()
    assert two.read() == [b"a", b"", b"c" * 5000]
    two.replace([b"x", b"y"])
    two.append(b"z")
    two.sync()
    two.close()
    assert again(log_file) == [b"x", b"y", b"z"]


def flipped(data, at):
    return data[:at] + bytes([data[at] ^ 0x41]) + data[at + 1 :]


def test_any_cut_gives_a_prefix_that_can_be_gone_on_from(log_file):
    path = filled(log_file, [b"one"], [b"two", b"three"])
    written = path.read_bytes()
    seen = {tuple(decode_records(written[:length]).payloads) for length in range(len(written))}
    assert seen == {(), (b"one",), (b"one", b"two")}
    path.write_bytes(written[:-3])
    one = log_file()
    assert one.read() == [b"one", b"two"]
    assert "torn tail" in one.texts[0]
    assert one.torn_tails == 1
    one.append(b"more")
    one.sync()
    one.close()
    assert again(log_file) == [b"one", b"two", b"more"]


def test_any_bad_byte_before_the_last_batch_is_lost_and_never_a_part(log_file):
    path = filled(log_file, [b"one", b"two"], [b"three"])
    written = path.read_bytes()
    for at in range(len(written) - len(encode_record(0, 0, b"three"))):
        with pytest.raises(CorruptRecordError):
            decode_records(flipped(written, at))
    path.write_bytes(flipped(written, 40))
    one = log_file()
    with pytest.raises(UnusableDiskError):
        one.read()
    with pytest.raises(OSError, match="the file has not been read yet"):
        one.append(b"x")
    one.quarantine("a bad record")
    assert "quarantined as" in one.texts[0]
    assert not path.exists()
    assert path.with_name("votes.broken-17").exists()
    one.replace([b"new"])
    one.close()
    assert again(log_file) == [b"new"]


def test_a_replacement_was_whole_so_any_bad_byte_of_its_records_is_lost():
    written = encode_replacement([b"one", b"two"])
    for at in range(len(written) - len(encode_record(0, 0, b""))):
        with pytest.raises(CorruptRecordError):
            decode_records(flipped(written, at))
    assert decode_records(written[:-1]).payloads == decode_records(written).payloads == [b"one", b"two"]


def test_a_batch_torn_out_of_order_is_a_torn_tail(log_file):
    """The kernel may write the page of a later record and lose that of an earlier one, of what was not
    synced."""
    path = filled(log_file, [b"one"], [b"two", b"three"])
    whole = path.read_bytes()
    at = whole.index(b"two")
    path.write_bytes(whole[:at] + b"\0\0\0" + whole[at + 3 :])
    one = log_file()
    assert one.read() == [b"one"]
    assert one.torn_tails == 1
    assert "torn tail" in one.texts[0]


def test_a_file_that_another_process_holds_is_not_opened(log_file):
    log_file()
    with pytest.raises(BlockingIOError):
        log_file()


@pytest.mark.parametrize("call", ["write", "fsync"])
def test_after_a_failure_nothing_is_appended_until_all_is_written_anew(log_file, monkeypatch, call):
    filled(log_file, [b"one"])
    one = log_file()
    one.read()

    def full(*_):
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(module.os, call, full)
        with pytest.raises(OSError, match="No space left on device") as caught:
            append_and_sync(one, b"two")
        with pytest.raises(OSError, match="No space left on device"):
            one.replace([b"one", b"two"])
    assert caught.value.errno == errno.ENOSPC
    assert len(one.texts) == 1
    assert "neither votes" in one.texts[0]
    for refused in (one.sync, lambda: one.append(b"x")):
        with pytest.raises(OSError, match="the file is not used until it is written again"):
            refused()
    one.replace([b"one", b"two"])
    one.append(b"three")
    one.sync()
    one.close()
    assert again(log_file) == [b"one", b"two", b"three"]


def test_a_replacement_that_fails_leaves_the_old(log_file, monkeypatch):
    filled(log_file, [b"one"])
    one = log_file()
    one.read()
    with monkeypatch.context() as patch:
        patch.setattr(module, "encode_replacement", lambda records: {}[0])
        with pytest.raises(KeyError):
            one.replace([b"other"])
    one.close()
    assert again(log_file) == [b"one"]


def faulty(tmp_path, *lines):
    return FaultyDisk(tmp_path, FaultPlan(Script.of(*lines)))


def test_a_close_that_fails_leaks_nothing_and_closes_no_descriptor_twice(log_file, tmp_path):
    """close(2) releases the descriptor also where it reports an error: closing it again would take that of
    another file."""
    disk = faulty(tmp_path, *[("close", number, IO_ERROR) for number in range(1, 9)])
    with disk.installed(module, files):
        one = log_file()
        assert one.read() == []
        one.replace([b"one"])
        assert disk.open_descriptors == 2  # the lock and the file
        one.append(b"two")
        one.sync()
        one.close()
    assert disk.open_descriptors == 0
    assert again(log_file) == [b"one", b"two"]


@pytest.mark.parametrize("call", ["write", "fsync", "rename"])
def test_a_replacement_that_fails_gives_its_space_back(log_file, tmp_path, call):
    filled(log_file, [b"one"])
    one = log_file()
    one.read()
    disk = faulty(tmp_path, (call, 1, DISK_FULL))
    with disk.installed(module, files), pytest.raises(OSError, match="No space"):
        one.replace([b"other"])
    assert disk.open_descriptors == 0
    assert not (tmp_path / "votes.new").exists()
    one.close()
    assert again(log_file) == [b"one"]


def test_what_a_failed_sync_left_in_memory_is_not_believed_at_the_next_opening(log_file, tmp_path):
    """The next process reads it from the page cache, and its own fsync succeeds: the kernel took the pages
    for clean when the first one failed."""
    disk = faulty(tmp_path)
    disk.chance = SimpleNamespace(randrange=lambda below: 0)  # the least that may be left
    with disk.installed(module, files):
        one = log_file()
        one.read()
        disk.plan = FaultPlan(Script.of(("fsync", 1, IO_ERROR)))
        one.append(b"one")
        with pytest.raises(OSError, match="Input/output"):
            one.sync()
        disk.end_process()
        one.descriptor = one.lock = None
        assert log_file().read() == [b"one"]  # so it may be acted on
        disk.fail_power()
        assert log_file().read() == [b"one"]
        disk.end_process()


def test_a_read_that_failed_is_read_again_and_goes_on(log_file, tmp_path):
    filled(log_file, [b"one"])
    disk = faulty(tmp_path, ("open", 1, DISK_FULL), ("read", 1, IO_ERROR), ("fsync", 1, DISK_FULL))
    with disk.installed(module, files):
        one = RaftLogFile(tmp_path / "votes", lambda text: None)
        for text in ("No space left", "Input/output", "No space left"):
            with pytest.raises(OSError, match=text):
                one.read()
        assert one.read() == [b"one"]
        one.append(b"two")
        one.sync()
        one.close()
    assert disk.open_descriptors == 0
    assert again(log_file) == [b"one", b"two"]


def test_a_file_is_said_to_be_quarantined_although_the_folder_was_not_synced(log_file, tmp_path):
    path = filled(log_file, [b"one"], [b"two"])
    written = path.read_bytes()
    path.write_bytes(flipped(written, written.index(b"one")))
    one = log_file()
    with pytest.raises(UnusableDiskError):
        one.read()
    disk = faulty(tmp_path, ("fsync", 1, IO_ERROR))
    with disk.installed(module, files), pytest.raises(OSError, match="Input/output"):
        one.quarantine("a bad record")
    assert "a bad record; quarantined as" in one.texts[0]
    assert one.read() == []


def test_a_full_device_is_reported(log_file):
    one = log_file()
    one.read()
    full = os.open("/dev/full", os.O_WRONLY)
    os.dup2(full, one.descriptor)
    os.close(full)
    with pytest.raises(OSError, match="No space left on device") as caught:
        one.append(b"x")
    assert caught.value.errno == errno.ENOSPC


def test_a_folder_that_is_not_there(tmp_path):
    with pytest.raises(FileNotFoundError):
        RaftLogFile(tmp_path / "none" / "votes").open()


def test_a_nodes_state_is_read_from_its_own_file_and_not_from_anothers(log_file):
    one = log_file()
    store = Store("k1", one, SeededRandom(1), lambda state: None)
    store.save_vote(3, "k2", 5)
    assert store.sync()
    one.close()
    two = log_file()
    back = Store("k1", two, SeededRandom(2), lambda state: None)
    assert (back.term, back.voted_for, back.incarnation) == (3, ("k2", 5), store.incarnation)
    two.close()
    other = Store("k9", log_file(), SeededRandom(3), lambda state: None)
    assert other.term == 0
    assert other.incarnation not in (0, store.incarnation)
    assert "another gateway" in other.discard_reason


def test_the_simulated_disk_has_the_same_methods():
    for name in ("read", "append", "sync", "replace", "quarantine"):
        assert callable(getattr(SimulatedDisk(), name))
        assert callable(getattr(RaftLogFile("x"), name))
