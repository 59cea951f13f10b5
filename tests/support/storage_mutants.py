"""Mutants of the storage package, each of which its tests have to catch by name.

A mutant is applied by `patch(owner, attribute, value)`; `scenario` and `names`: the work that shows it, and
as what.
"""

import os
from contextlib import suppress
from pathlib import Path
from typing import NamedTuple

from raft_node_scenario import RaftNodeState
from storage_file_scenarios import CellTables, LogRecords
from storage_scenario import (
    DESCRIPTOR_LEAKED,
    ENTRY_LOST,
    RECORD_INVENTED,
    RECORD_LOST,
    SOUND_FILE_REFUSED,
    TABLE_LOST,
    VOTE_FORGOTTEN,
)

from gaproute.shared.raft import UnusableDiskError
from gaproute.shared.raft.store import Store
from gaproute.storage import files
from gaproute.storage import raft_log_file as raft_log_module
from gaproute.storage.log_records import HEADER, CorruptRecordError, DecodedRecords, decode_records
from gaproute.storage.raft_log_file import RaftLogFile


class StorageMutant(NamedTuple):
    """A fault, the work that shows it, and the names that it may be caught by."""

    apply: object
    scenario: type
    names: tuple


def failed_sync_is_forgotten(patch):
    def sync(self):
        with suppress(OSError):
            raft_log_module.os.fsync(self.descriptor)
        self.batch_start = self.next_number

    patch(RaftLogFile, "sync", sync)


def failed_sync_is_repeated_and_believed(patch):
    def sync(self):
        try:
            raft_log_module.os.fsync(self.descriptor)
        except OSError:
            raft_log_module.os.fsync(self.descriptor)
        self.batch_start = self.next_number

    patch(RaftLogFile, "sync", sync)


def _read_in_place(*, cut_torn_tail):
    """A `RaftLogFile.read` that goes on with the file it finds, and only syncs it."""

    def read(self):
        if self.lock is None:
            self.open()
        self._close_file()
        flags = os.O_RDWR | os.O_CREAT | os.O_APPEND
        self.descriptor = raft_log_module.os.open(self.path, flags, files.OWNER_ONLY_MODE)
        data = files.read_file(self.path)
        try:
            records, valid_length, last_number = decode_records(data)
        except CorruptRecordError as error:
            raise UnusableDiskError(str(error)) from error
        if cut_torn_tail and valid_length < len(data):
            raft_log_module.os.ftruncate(self.descriptor, valid_length)
        raft_log_module.os.fsync(self.descriptor)
        files.sync_directory(self.path.parent)
        self.next_number = self.batch_start = last_number + 1
        self.failure = None
        return records

    return read


def what_is_read_at_opening_is_only_synced(patch):
    """As version 9f58c07 did it."""
    patch(RaftLogFile, "read", _read_in_place(cut_torn_tail=True))


def a_torn_tail_stays(patch):
    patch(RaftLogFile, "read", _read_in_place(cut_torn_tail=False))


def a_torn_tail_is_accepted(patch):
    """What is left of the last record is taken for it."""

    def read_torn(data):
        records, good, last = decode_records(data)
        rest = data[good + HEADER.size :]
        return (
            DecodedRecords([*records, rest], len(data), last + 1)
            if rest
            else DecodedRecords(records, good, last)
        )

    patch(raft_log_module, "decode_records", read_torn)


def the_folder_is_not_synced(patch):
    patch(files, "sync_directory", lambda folder: None)


def a_file_is_renamed_before_it_is_synced(patch):
    def replace_file(path, content):
        beside = f"{path}.new"
        file = files.os.open(beside, files.NEW_FILE_FLAGS, files.OWNER_ONLY_MODE)
        try:
            files.write_all(file, content)
            files.os.rename(beside, path)
            files.sync_directory(Path(path).parent)
        except BaseException:
            files.close(file)
            raise
        return file

    patch(files, "replace_file", replace_file)


def a_descriptor_is_left_open_on_a_full_disk(patch):
    def replace_file(path, content):
        beside = f"{path}.new"
        file = files.os.open(beside, files.NEW_FILE_FLAGS, files.OWNER_ONLY_MODE)
        files.write_all(file, content)
        files.os.fsync(file)
        files.os.rename(beside, path)
        files.sync_directory(Path(path).parent)
        return file

    patch(files, "replace_file", replace_file)


def a_short_write_is_taken_for_a_whole_one(patch):
    patch(files, "write_all", lambda file, data: files.os.write(file, data))


def an_answer_leaves_before_the_sync(patch):
    patch(Store, "sync", lambda self: not self.failure)


def a_node_goes_on_after_a_further_sync(patch):
    def rewrite(self):
        self.disk.failure = None
        try:
            self.disk.sync()
        except OSError as fault:
            self.failure = str(fault)
            return False
        self.failure, self.has_unsynced_records = "", False
        return True

    patch(Store, "rewrite", rewrite)


RECORDS_WRONG = (RECORD_LOST, RECORD_INVENTED, SOUND_FILE_REFUSED)
RAFT_STATE_LOST = (ENTRY_LOST, VOTE_FORGOTTEN)
STORAGE_MUTANTS = [
    StorageMutant(failed_sync_is_forgotten, LogRecords, RECORDS_WRONG),
    StorageMutant(failed_sync_is_forgotten, RaftNodeState, RAFT_STATE_LOST),
    StorageMutant(failed_sync_is_repeated_and_believed, LogRecords, RECORDS_WRONG),
    StorageMutant(failed_sync_is_repeated_and_believed, RaftNodeState, RAFT_STATE_LOST),
    StorageMutant(what_is_read_at_opening_is_only_synced, LogRecords, RECORDS_WRONG),
    StorageMutant(a_torn_tail_stays, LogRecords, RECORDS_WRONG),
    StorageMutant(a_torn_tail_is_accepted, LogRecords, (RECORD_INVENTED,)),
    StorageMutant(the_folder_is_not_synced, LogRecords, RECORDS_WRONG),
    StorageMutant(the_folder_is_not_synced, CellTables, (TABLE_LOST,)),
    StorageMutant(a_file_is_renamed_before_it_is_synced, LogRecords, RECORDS_WRONG),
    StorageMutant(a_file_is_renamed_before_it_is_synced, CellTables, (TABLE_LOST, SOUND_FILE_REFUSED)),
    StorageMutant(a_descriptor_is_left_open_on_a_full_disk, LogRecords, (DESCRIPTOR_LEAKED,)),
    StorageMutant(a_descriptor_is_left_open_on_a_full_disk, CellTables, (DESCRIPTOR_LEAKED,)),
    StorageMutant(a_short_write_is_taken_for_a_whole_one, LogRecords, RECORDS_WRONG),
    StorageMutant(an_answer_leaves_before_the_sync, RaftNodeState, RAFT_STATE_LOST),
    StorageMutant(a_node_goes_on_after_a_further_sync, RaftNodeState, (*RAFT_STATE_LOST, SOUND_FILE_REFUSED)),
]
