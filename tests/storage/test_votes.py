"""A keeper's votes on disk: what is synced is there again, what went bad is never taken for a whole
memory."""

import errno
import os
from types import SimpleNamespace

import pytest

from gaproute.faultinjection.disk import BROKEN, FULL, FaultyDisk
from gaproute.faultinjection.plan import FaultPlan, Script
from gaproute.shared.raft import UnusableDiskError
from gaproute.shared.raft.store import Store
from gaproute.simulation import Chance, Disk
from gaproute.storage import Votes, files
from gaproute.storage import votes as module
from gaproute.storage.records import Bad, packed, parsed, whole


@pytest.fixture
def votes(tmp_path):
    opened = []

    def make():
        texts = []
        one = Votes(tmp_path / "votes", texts.append, lambda: 17)
        one.texts = texts
        opened.append(one)
        return one.open()

    yield make
    for one in opened:
        one.close()


def filled(votes, *batches):
    one = votes()
    assert one.read() == []
    for batch in batches:
        for record in batch:
            one.append(record)
        one.sync()
    one.close()
    return one.path


def again(votes):
    one = votes()
    records = one.read()
    one.close()
    return records


def test_there_again_in_order(votes):
    filled(votes, [b"a", b""], [b"c" * 5000])
    two = votes()
    assert two.read() == [b"a", b"", b"c" * 5000]
    two.replace([b"x", b"y"])
    two.append(b"z")
    two.sync()
    two.close()
    assert again(votes) == [b"x", b"y", b"z"]


def flipped(data, at):
    return data[:at] + bytes([data[at] ^ 0x41]) + data[at + 1 :]


def test_any_cut_gives_a_prefix_that_can_be_gone_on_from(votes):
    path = filled(votes, [b"one"], [b"two", b"three"])
    written = path.read_bytes()
    seen = {tuple(parsed(written[:length])[0]) for length in range(len(written))}
    assert seen == {(), (b"one",), (b"one", b"two")}
    path.write_bytes(written[:-3])
    one = votes()
    assert one.read() == [b"one", b"two"] and "torn tail" in one.texts[0] and one.torn == 1
    one.append(b"more")
    one.sync()
    one.close()
    assert again(votes) == [b"one", b"two", b"more"]


def test_any_bad_byte_before_the_last_batch_is_lost_and_never_a_part(votes):
    path = filled(votes, [b"one", b"two"], [b"three"])
    written = path.read_bytes()
    for at in range(len(written) - len(packed(0, 0, b"three"))):
        with pytest.raises(Bad):
            parsed(flipped(written, at))
    path.write_bytes(flipped(written, 40))
    one = votes()
    with pytest.raises(UnusableDiskError):
        one.read()
    with pytest.raises(OSError, match="not read yet"):
        one.append(b"x")
    one.aside("a bad record")
    assert "set aside as" in one.texts[0] and not path.exists() and path.with_name("votes.broken-17").exists()
    one.replace([b"new"])
    one.close()
    assert again(votes) == [b"new"]


def test_a_replacement_was_whole_so_any_bad_byte_of_its_records_is_lost():
    written = whole([b"one", b"two"])
    for at in range(len(written) - len(packed(0, 0, b""))):
        with pytest.raises(Bad):
            parsed(flipped(written, at))
    assert parsed(written[:-1])[0] == parsed(written)[0] == [b"one", b"two"]


def test_a_batch_torn_out_of_order_is_a_torn_tail(votes):
    """The kernel may write the page of a later record and lose that of an earlier one, of what was not
    synced."""
    path = filled(votes, [b"one"], [b"two", b"three"])
    whole = path.read_bytes()
    at = whole.index(b"two")
    path.write_bytes(whole[:at] + b"\0\0\0" + whole[at + 3 :])
    one = votes()
    assert one.read() == [b"one"] and one.torn == 1 and "torn tail" in one.texts[0]


def test_held_by_another(votes):
    votes()
    with pytest.raises(BlockingIOError):
        votes()


@pytest.mark.parametrize("call", ["write", "fsync"])
def test_after_a_failure_nothing_is_appended_until_all_is_written_anew(votes, monkeypatch, call):
    filled(votes, [b"one"])
    one = votes()
    one.read()

    def full(*_):
        raise OSError(errno.ENOSPC, "No space left on device")

    with monkeypatch.context() as patch:
        patch.setattr(module.os, call, full)
        with pytest.raises(OSError) as told:
            one.append(b"two")
            one.sync()
        with pytest.raises(OSError):
            one.replace([b"one", b"two"])
    assert told.value.errno == errno.ENOSPC and len(one.texts) == 1 and "neither votes" in one.texts[0]
    for refused in (one.sync, lambda: one.append(b"x")):
        with pytest.raises(OSError, match="not used since"):
            refused()
    one.replace([b"one", b"two"])
    one.append(b"three")
    one.sync()
    one.close()
    assert again(votes) == [b"one", b"two", b"three"]


def test_a_replacement_that_fails_leaves_the_old(votes, monkeypatch):
    filled(votes, [b"one"])
    one = votes()
    one.read()
    with monkeypatch.context() as patch:
        patch.setattr(module, "whole", lambda records: {}[0])
        with pytest.raises(KeyError):
            one.replace([b"other"])
    one.close()
    assert again(votes) == [b"one"]


def faulty(tmp_path, *lines):
    return FaultyDisk(tmp_path, FaultPlan(Script.of(*lines)))


def test_a_close_that_fails_leaks_nothing_and_closes_no_descriptor_twice(votes, tmp_path):
    """close(2) releases the descriptor also where it reports an error: closing it again would take that of
    another file."""
    disk = faulty(tmp_path, *[("close", number, BROKEN) for number in range(1, 9)])
    with disk.installed(module, files):
        one = votes()
        assert one.read() == []
        one.replace([b"one"])
        assert disk.open_descriptors == 2  # the lock and the file
        one.append(b"two")
        one.sync()
        one.close()
    assert disk.open_descriptors == 0
    assert again(votes) == [b"one", b"two"]


@pytest.mark.parametrize("call", ["write", "fsync", "rename"])
def test_a_replacement_that_fails_gives_its_space_back(votes, tmp_path, call):
    filled(votes, [b"one"])
    one = votes()
    one.read()
    disk = faulty(tmp_path, (call, 1, FULL))
    with disk.installed(module, files), pytest.raises(OSError, match="No space"):
        one.replace([b"other"])
    assert disk.open_descriptors == 0 and not (tmp_path / "votes.new").exists()
    one.close()
    assert again(votes) == [b"one"]


def test_what_a_failed_sync_left_in_memory_is_not_believed_at_the_next_opening(votes, tmp_path):
    """The next process reads it from the page cache, and its own fsync succeeds: the kernel took the pages
    for clean when the first one failed."""
    disk = faulty(tmp_path)
    disk.chance = SimpleNamespace(randrange=lambda below: 0)  # the least that may be left
    with disk.installed(module, files):
        one = votes()
        one.read()
        disk.plan = FaultPlan(Script.of(("fsync", 1, BROKEN)))
        one.append(b"one")
        with pytest.raises(OSError, match="Input/output"):
            one.sync()
        disk.end_process()
        one.file = one.lock = None
        assert votes().read() == [b"one"]  # so it may be acted on
        disk.fail_power()
        assert votes().read() == [b"one"]
        disk.end_process()


def test_a_read_that_failed_is_read_again_and_goes_on(votes, tmp_path):
    filled(votes, [b"one"])
    disk = faulty(tmp_path, ("open", 1, FULL), ("read", 1, BROKEN), ("fsync", 1, FULL))
    with disk.installed(module, files):
        one = Votes(tmp_path / "votes", lambda text: None)
        for _ in range(3):
            with pytest.raises(OSError):
                one.read()
        assert one.read() == [b"one"]
        one.append(b"two")
        one.sync()
        one.close()
    assert disk.open_descriptors == 0 and again(votes) == [b"one", b"two"]


def test_a_file_is_said_to_be_set_aside_although_the_folder_was_not_synced(votes, tmp_path):
    path = filled(votes, [b"one"], [b"two"])
    written = path.read_bytes()
    path.write_bytes(flipped(written, written.index(b"one")))
    one = votes()
    with pytest.raises(UnusableDiskError):
        one.read()
    disk = faulty(tmp_path, ("fsync", 1, BROKEN))
    with disk.installed(module, files), pytest.raises(OSError, match="Input/output"):
        one.aside("a bad record")
    assert "a bad record; set aside as" in one.texts[0] and one.read() == []


def test_a_full_device_is_told(votes):
    one = votes()
    one.read()
    full = os.open("/dev/full", os.O_WRONLY)
    os.dup2(full, one.file)
    os.close(full)
    with pytest.raises(OSError) as told:
        one.append(b"x")
    assert told.value.errno == errno.ENOSPC


def test_a_folder_that_is_not_there(tmp_path):
    with pytest.raises(OSError):
        Votes(tmp_path / "none" / "votes").open()


def test_a_keepers_memory_from_this_file_and_none_from_anothers(votes):
    one = votes()
    store = Store("k1", one, Chance(1), lambda state: None)
    store.save_vote(3, "k2", 5)
    assert store.sync()
    one.close()
    two = votes()
    back = Store("k1", two, Chance(2), lambda state: None)
    assert (back.term, back.voted_for, back.incarnation) == (3, ("k2", 5), store.incarnation)
    two.close()
    other = Store("k9", votes(), Chance(3), lambda state: None)
    assert (
        other.term == 0
        and other.incarnation not in (0, store.incarnation)
        and "another gateway" in other.discard_reason
    )


def test_the_simulated_disk_has_the_same_face():
    for name in ("read", "append", "sync", "replace", "aside"):
        assert callable(getattr(Disk(), name)) and callable(getattr(Votes("x"), name))
