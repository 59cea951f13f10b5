"""Mutants of the storage package, each of which a storage scenario has to detect.

A mutant replaces code by `patch(owner, attribute, value)`.
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
    RECORD_LOST,
    TABLE_LOST,
    UNWRITTEN_RECORD_READ,
    VALID_FILE_REJECTED,
    VOTE_FORGOTTEN,
)

from gaproute.shared.raft import UnusableDiskError
from gaproute.shared.raft.store import Store
from gaproute.storage import files
from gaproute.storage import raft_log_file as raft_log_module
from gaproute.storage.log_records import HEADER, CorruptRecordError, DecodedRecords, decode_records
from gaproute.storage.raft_log_file import RaftLogFile


class StorageMutant(NamedTuple):
    """A fault, the scenario that detects it, and the names of the guarantees that it may break."""

    apply: object
    scenario: type
    names: tuple


def a_failed_sync_is_ignored(patch):
    def sync(self):
        with suppress(OSError):
            raft_log_module.os.fsync(self.descriptor)
        self.batch_start = self.next_number

    patch(RaftLogFile, "sync", sync)


def a_failed_sync_is_repeated(patch):
    def sync(self):
        try:
            raft_log_module.os.fsync(self.descriptor)
        except OSError:
            raft_log_module.os.fsync(self.descriptor)
        self.batch_start = self.next_number

    patch(RaftLogFile, "sync", sync)


def _read_in_place(*, cut_torn_tail):
    """A `RaftLogFile.read` that syncs the existing file instead of writing all records again."""

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


def records_are_only_synced_after_reading(patch):
    """The behaviour of version 9f58c07."""
    patch(RaftLogFile, "read", _read_in_place(cut_torn_tail=True))


def a_torn_tail_is_kept(patch):
    patch(RaftLogFile, "read", _read_in_place(cut_torn_tail=False))


def a_torn_record_is_accepted(patch):
    """The rest of a torn record is returned as a record."""

    def read_torn(data):
        records, valid_length, last = decode_records(data)
        rest = data[valid_length + HEADER.size :]
        return (
            DecodedRecords([*records, rest], len(data), last + 1)
            if rest
            else DecodedRecords(records, valid_length, last)
        )

    patch(raft_log_module, "decode_records", read_torn)


def the_directory_is_not_synced(patch):
    patch(files, "sync_directory", lambda directory: None)


def a_file_is_renamed_before_it_is_synced(patch):
    def replace_file(path, content):
        temporary = f"{path}.new"
        file = files.os.open(temporary, files.NEW_FILE_FLAGS, files.OWNER_ONLY_MODE)
        try:
            files.write_all(file, content)
            files.os.rename(temporary, path)
            files.sync_directory(Path(path).parent)
        except BaseException:
            files.close(file)
            raise
        return file

    patch(files, "replace_file", replace_file)


def a_descriptor_is_left_open_on_a_full_disk(patch):
    def replace_file(path, content):
        temporary = f"{path}.new"
        file = files.os.open(temporary, files.NEW_FILE_FLAGS, files.OWNER_ONLY_MODE)
        files.write_all(file, content)
        files.os.fsync(file)
        files.os.rename(temporary, path)
        files.sync_directory(Path(path).parent)
        return file

    patch(files, "replace_file", replace_file)


def a_short_write_is_accepted_as_complete(patch):
    patch(files, "write_all", lambda file, data: files.os.write(file, data))


def an_answer_is_sent_before_the_sync(patch):
    patch(Store, "sync", lambda self: not self.failure)


def a_node_continues_after_a_repeated_sync(patch):
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


RECORDS_LOST_OR_WRONG = (RECORD_LOST, UNWRITTEN_RECORD_READ, VALID_FILE_REJECTED)
RAFT_STATE_LOST = (ENTRY_LOST, VOTE_FORGOTTEN)
STORAGE_MUTANTS = [
    StorageMutant(a_failed_sync_is_ignored, LogRecords, RECORDS_LOST_OR_WRONG),
    StorageMutant(a_failed_sync_is_ignored, RaftNodeState, RAFT_STATE_LOST),
    StorageMutant(a_failed_sync_is_repeated, LogRecords, RECORDS_LOST_OR_WRONG),
    StorageMutant(a_failed_sync_is_repeated, RaftNodeState, RAFT_STATE_LOST),
    StorageMutant(records_are_only_synced_after_reading, LogRecords, RECORDS_LOST_OR_WRONG),
    StorageMutant(a_torn_tail_is_kept, LogRecords, RECORDS_LOST_OR_WRONG),
    StorageMutant(a_torn_record_is_accepted, LogRecords, (UNWRITTEN_RECORD_READ,)),
    StorageMutant(the_directory_is_not_synced, LogRecords, RECORDS_LOST_OR_WRONG),
    StorageMutant(the_directory_is_not_synced, CellTables, (TABLE_LOST,)),
    StorageMutant(a_file_is_renamed_before_it_is_synced, LogRecords, RECORDS_LOST_OR_WRONG),
    StorageMutant(a_file_is_renamed_before_it_is_synced, CellTables, (TABLE_LOST, VALID_FILE_REJECTED)),
    StorageMutant(a_descriptor_is_left_open_on_a_full_disk, LogRecords, (DESCRIPTOR_LEAKED,)),
    StorageMutant(a_descriptor_is_left_open_on_a_full_disk, CellTables, (DESCRIPTOR_LEAKED,)),
    StorageMutant(a_short_write_is_accepted_as_complete, LogRecords, RECORDS_LOST_OR_WRONG),
    StorageMutant(an_answer_is_sent_before_the_sync, RaftNodeState, RAFT_STATE_LOST),
    StorageMutant(
        a_node_continues_after_a_repeated_sync, RaftNodeState, (*RAFT_STATE_LOST, VALID_FILE_REJECTED)
    ),
]
