"""Faults planted in the ledger, each of which its tests have to catch by name.

A plant is put in by `patch(owner, attribute, value)`; `player` and `names`: whose work shows it, and as what.
"""

import os
from pathlib import Path
from typing import NamedTuple

from faulty_ledger import (
    ENTRY_UNSAID,
    LEAKED,
    RECORD_INVENTED,
    RECORD_LOST,
    TABLE_LOST,
    TAKEN_FOR_BAD,
    VOTE_UNSAID,
    Node,
    Records,
    Tables,
)

from gaproute.shared.raft import UnusableDiskError
from gaproute.shared.raft.store import Store
from gaproute.storage import files
from gaproute.storage import votes as votes_module
from gaproute.storage.records import Bad, head, parsed
from gaproute.storage.votes import Votes


class Planted(NamedTuple):
    """A fault, whose work shows it, and the names that it may be caught by."""

    put: object
    player: type
    names: tuple


def failed_sync_is_forgotten(patch):
    def sync(self):
        try:
            votes_module.os.fsync(self.file)
        except OSError:
            pass
        self.first = self.number

    patch(Votes, "sync", sync)


def failed_sync_is_repeated_and_believed(patch):
    def sync(self):
        try:
            votes_module.os.fsync(self.file)
        except OSError:
            votes_module.os.fsync(self.file)
        self.first = self.number

    patch(Votes, "sync", sync)


def what_is_read_at_opening_is_only_synced(patch):
    """As the landed version did it."""

    def read(self):
        if self.lock is None:
            self.open()
        self._forget()
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
        self.file = votes_module.os.open(self.path, flags, files.ONLY_OWNER)
        data = files.read_whole(self.path)
        try:
            records, good, last = parsed(data)
        except Bad as fault:
            raise UnusableDiskError(str(fault)) from fault
        if good < len(data):
            votes_module.os.ftruncate(self.file, good)
        votes_module.os.fsync(self.file)
        files.sync_folder(self.path.parent)
        self.number = self.first = last + 1
        self.failed = None
        return records

    patch(Votes, "read", read)


def a_torn_tail_stays(patch):
    def read(self):
        if self.lock is None:
            self.open()
        self._forget()
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
        self.file = votes_module.os.open(self.path, flags, files.ONLY_OWNER)
        try:
            records, _, last = parsed(files.read_whole(self.path))
        except Bad as fault:
            raise UnusableDiskError(str(fault)) from fault
        votes_module.os.fsync(self.file)
        files.sync_folder(self.path.parent)
        self.number = self.first = last + 1
        self.failed = None
        return records

    patch(Votes, "read", read)


def a_torn_tail_is_accepted(patch):
    """What is left of the last record is taken for it."""

    def read_torn(data):
        records, good, last = parsed(data)
        rest = data[good + head.size :]
        return ([*records, rest], len(data), last + 1) if rest else (records, good, last)

    patch(votes_module, "parsed", read_torn)


def the_folder_is_not_synced(patch):
    patch(files, "sync_folder", lambda folder: None)


def a_file_is_renamed_before_it_is_synced(patch):
    def put_in_place(path, content):
        beside = f"{path}.new"
        file = files.os.open(beside, files.NEW_FILE, files.ONLY_OWNER)
        try:
            files.write_all(file, content)
            files.os.rename(beside, path)
            files.sync_folder(Path(path).parent)
        except BaseException:
            files.close(file)
            raise
        return file

    patch(files, "put_in_place", put_in_place)


def a_descriptor_is_left_open_on_a_full_disk(patch):
    def put_in_place(path, content):
        beside = f"{path}.new"
        file = files.os.open(beside, files.NEW_FILE, files.ONLY_OWNER)
        files.write_all(file, content)
        files.os.fsync(file)
        files.os.rename(beside, path)
        files.sync_folder(Path(path).parent)
        return file

    patch(files, "put_in_place", put_in_place)


def a_short_write_is_taken_for_a_whole_one(patch):
    patch(files, "write_all", lambda file, data: files.os.write(file, data))


def an_answer_leaves_before_the_sync(patch):
    patch(Store, "sync", lambda self: not self.failure)


def a_node_goes_on_after_a_further_sync(patch):
    def rewrite(self):
        self.disk.failed = None
        try:
            self.disk.sync()
        except OSError as fault:
            self.failure = str(fault)
            return False
        self.failure, self.dirty = "", False
        return True

    patch(Store, "rewrite", rewrite)


LOST = (RECORD_LOST, RECORD_INVENTED, TAKEN_FOR_BAD)
UNSAID = (ENTRY_UNSAID, VOTE_UNSAID)
PLANTED = [
    Planted(failed_sync_is_forgotten, Records, LOST),
    Planted(failed_sync_is_forgotten, Node, UNSAID),
    Planted(failed_sync_is_repeated_and_believed, Records, LOST),
    Planted(failed_sync_is_repeated_and_believed, Node, UNSAID),
    Planted(what_is_read_at_opening_is_only_synced, Records, LOST),
    Planted(a_torn_tail_stays, Records, LOST),
    Planted(a_torn_tail_is_accepted, Records, (RECORD_INVENTED,)),
    Planted(the_folder_is_not_synced, Records, LOST),
    Planted(the_folder_is_not_synced, Tables, (TABLE_LOST,)),
    Planted(a_file_is_renamed_before_it_is_synced, Records, LOST),
    Planted(a_file_is_renamed_before_it_is_synced, Tables, (TABLE_LOST, TAKEN_FOR_BAD)),
    Planted(a_descriptor_is_left_open_on_a_full_disk, Records, (LEAKED,)),
    Planted(a_descriptor_is_left_open_on_a_full_disk, Tables, (LEAKED,)),
    Planted(a_short_write_is_taken_for_a_whole_one, Records, LOST),
    Planted(an_answer_leaves_before_the_sync, Node, UNSAID),
    Planted(a_node_goes_on_after_a_further_sync, Node, (*UNSAID, TAKEN_FOR_BAD)),
]
