"""The faulty disk itself: what it fails, and what it lets a kill leave behind."""

import errno
import os
import random
from types import SimpleNamespace

import pytest

from gaproute.faultinjection.disk import FaultyDisk
from gaproute.faultinjection.disk_faults import IO_ERROR
from gaproute.faultinjection.faulty_os import FaultyOs
from gaproute.faultinjection.kills import KillPoint, Moment, ProcessKilled
from gaproute.faultinjection.plan import Failure, FaultPlan, Script, ShortTransfer

NEW = os.O_WRONLY | os.O_CREAT | os.O_APPEND


def disk_of(folder, *lines, kill=None, seed=0):
    return FaultyDisk(folder, FaultPlan(Script.of(*lines)), kill=kill, chance=random.Random(seed))


def written(disk, path, *parts, sync=True):
    """A file with these parts, each synced where asked for; its descriptor."""
    calls = FaultyOs(disk)
    file = calls.open(path, NEW, 0o600)
    for part in parts:
        calls.write(file, part)
        if sync:
            calls.fsync(file)
    return file


def sync_folder(disk, folder):
    calls = FaultyOs(disk)
    file = calls.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    calls.fsync(file)
    calls.close(file)


def outcomes(tmp_path, play, seeds=40):
    """What the folder holds after a power failure, over many seeds: {((name, content), ...)}."""
    seen = set()
    for seed in range(seeds):
        folder = tmp_path / str(seed)
        folder.mkdir()
        disk = disk_of(folder, seed=seed)
        play(disk, folder)
        disk.fail_power()
        seen.add(tuple(sorted((path.name, path.read_bytes()) for path in folder.iterdir())))
    return seen


def test_synced_bytes_and_names_stay_and_of_the_rest_any_prefix(tmp_path):
    def play(disk, folder):
        file = written(disk, folder / "a", b"one")
        sync_folder(disk, folder)
        FaultyOs(disk).write(file, b"two")

    assert {content for ((_, content),) in outcomes(tmp_path, play)} == {
        b"one",
        b"onet",
        b"onetw",
        b"onetwo",
        b"one\0\0\0",
        b"onet\0\0",
        b"onetw\0",
    }


def test_a_name_that_was_not_synced_may_be_there_or_not(tmp_path):
    assert outcomes(tmp_path, lambda disk, folder: written(disk, folder / "a", b"one")) == {
        (),
        (("a", b"one"),),
    }


def test_a_rename_that_was_not_synced_may_be_done_or_not(tmp_path):
    def play(disk, folder):
        written(disk, folder / "a", b"old")
        written(disk, folder / "b", b"new")
        sync_folder(disk, folder)
        FaultyOs(disk).rename(folder / "b", folder / "a")

    assert outcomes(tmp_path, play) == {(("a", b"new"),), (("a", b"old"), ("b", b"new"))}


def test_what_a_failed_sync_dropped_a_further_sync_does_not_bring_back(tmp_path):
    def play(disk, folder):
        disk.plan = FaultPlan(Script.of(("fsync", 2, IO_ERROR)))
        calls = FaultyOs(disk)
        file = written(disk, folder / "a", sync=False)
        sync_folder(disk, folder)
        calls.write(file, b"one")
        with pytest.raises(OSError, match="Input/output"):
            calls.fsync(file)
        calls.fsync(file)
        assert (folder / "a").read_bytes() == b"one"  # as from the page cache

    assert (("a", b""),) in outcomes(tmp_path, play)


@pytest.mark.parametrize("moment", Moment)
def test_a_kill_comes_before_within_or_after_its_call(tmp_path, moment):
    disk = disk_of(tmp_path, kill=KillPoint(2, moment), seed=1)
    calls = FaultyOs(disk)
    file = calls.open(tmp_path / "a", NEW, 0o600)
    with pytest.raises(ProcessKilled):
        calls.write(file, b"x" * 100)
    with pytest.raises(ProcessKilled, match="after the kill"):
        calls.unlink(tmp_path / "a")  # cleaning up is not done by the dead
    disk.end_process()
    size = (tmp_path / "a").stat().st_size
    assert {Moment.BEFORE: size == 0, Moment.WITHIN: 0 < size < 100, Moment.AFTER: size == 100}[moment]
    assert disk.open_descriptors == 0
    with pytest.raises(OSError, match="Bad file descriptor"):
        os.fstat(file)


def test_calls_fail_and_are_short_by_the_plan(tmp_path):
    disk = disk_of(
        tmp_path,
        ("write", 1, ShortTransfer(1)),
        ("read", 1, ShortTransfer(1)),
        ("open", 3, Failure(errno.EMFILE)),
        ("close", 1, IO_ERROR),
    )
    calls = FaultyOs(disk)
    file = calls.open(tmp_path / "a", NEW, 0o600)
    assert calls.write(file, b"abc") == 1
    reading = calls.open(tmp_path / "a", os.O_RDONLY)
    assert calls.read(reading, 10) == b"a"
    with pytest.raises(OSError, match="Too many open files"):
        calls.open(tmp_path / "b", NEW, 0o600)
    assert not (tmp_path / "b").exists()
    assert disk.open_descriptors == 2
    with pytest.raises(OSError, match="Input/output"):
        calls.close(reading)
    assert disk.open_descriptors == 1  # released all the same
    assert disk.plan.report().count("\n") == 3


def test_a_module_has_its_own_calls_back_afterwards(tmp_path):
    module = SimpleNamespace(os=os)
    with disk_of(tmp_path).installed(module):
        assert isinstance(module.os, FaultyOs)
        assert module.os.O_RDONLY == os.O_RDONLY
    assert module.os is os
