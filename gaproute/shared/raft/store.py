"""The persistent state of a node: its incarnation, term, vote, log and snapshot, in memory and on its disk.

The state in memory is ahead of the disk until `sync` returns True; the node may send nothing before that.
After an error no record is appended until `rewrite` has written the whole state again, because the file may
end in the middle of a record, and a record after a gap would be read as if no record were missing.
"""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from gaproute.shared.messages import MAX_COUNT
from gaproute.shared.raft.disk import Disk, UnusableDiskError
from gaproute.shared.raft.log import ReplicatedLog
from gaproute.shared.raft.messages import Entry, Member
from gaproute.shared.raft.records import (
    EntryRecord,
    IdentityRecord,
    Record,
    SnapshotRecord,
    VoteRecord,
    decode,
    encode,
)
from gaproute.shared.randomness import RandomSource


class Candidate(NamedTuple):
    """The candidate that got a node's vote."""

    name: str
    incarnation: int


NO_CANDIDATE = Candidate("", 0)


class Store:
    """The persistent state of the node called `name`.

    `restore_state` restores the state of the sessions and the state machine from a snapshot; it raises
    ValueError if the bytes are not an encoded state.
    """

    def __init__(
        self, name: str, disk: Disk, random: RandomSource, restore_state: Callable[[bytes], None]
    ) -> None:
        self.name, self.disk, self.random, self.restore_state = name, disk, random, restore_state
        self.incarnation = self.term = 0
        self.voted_for = NO_CANDIDATE  # in the current term
        self.log = ReplicatedLog()
        self.snapshot: bytes | None = None  # the encoded `Sessions` at the log's `snapshot_index`
        self.failure = ""  # why the disk cannot be read or written, or ''
        self.discard_reason = ""  # why the disk's records were quarantined, or ''
        self.is_open = False  # whether the disk has been read and has an incarnation
        self.has_unsynced_records = False  # whether any were appended since the last sync
        self.open()

    @property
    def is_blank(self) -> bool:
        """Whether the node has never voted and never stored an entry since its disk was empty."""
        return self.is_open and not (self.term or self.log.last_index)

    def open(self) -> None:
        """Reads the disk; sets `failure` if the disk cannot be read or written at the moment."""
        unusable_reason = ""
        try:
            self._load(self.disk.read())
        except UnusableDiskError as error:
            unusable_reason = self.discard_reason = error.reason
        except OSError as error:
            self.failure = f"reading the disk failed: {error}"
            return
        try:
            if unusable_reason:
                self.disk.quarantine(unusable_reason)
            if not self.incarnation:
                # A new disk needs a new incarnation: the votes and answers of the old one are unknown here.
                incarnation = 1 + self.random.below(MAX_COUNT)
                self.disk.replace([encode(IdentityRecord(self.name, incarnation))])
                self.incarnation = incarnation
        except OSError as error:
            self.failure = f"writing to the disk failed: {error}"
            return
        self.failure, self.is_open = "", True

    def _load(self, records: Sequence[bytes]) -> None:
        """Restores the state from the records. Errors: UnusableDiskError, after which nothing is restored."""
        loaded = LoadedState(self.name)
        try:
            for position, record in enumerate(map(decode, records)):
                is_first = position == 0
                if isinstance(record, IdentityRecord) is not is_first:
                    raise UnusableDiskError(
                        "the identity record is missing, is not the first record, or occurs twice"
                    )
                loaded.apply_record(record)
            if loaded.log.last_term > loaded.term:
                raise UnusableDiskError("the log has entries of a later term than the node's term")
            if loaded.snapshot is not None:
                # The last step, so that the state machine stays empty if the disk cannot be used
                self.restore_state(loaded.snapshot)
        except ValueError as error:
            raise UnusableDiskError(f"a stored record or snapshot cannot be restored: {error}") from error
        self.incarnation, self.term, self.voted_for = loaded.incarnation, loaded.term, loaded.voted_for
        self.log, self.snapshot = loaded.log, loaded.snapshot

    def _write(self, record: Record) -> None:
        if self.failure:
            return
        self.has_unsynced_records = True
        try:
            self.disk.append(encode(record))
        except OSError as error:
            self.failure = f"writing to the disk failed: {error}"

    def save_vote(self, term: int, name: str = "", incarnation: int = 0) -> None:
        """Enters a term, or votes in it for the candidate; an empty name means no vote."""
        self.term, self.voted_for = term, Candidate(name, incarnation)
        self._write(VoteRecord(term, name, incarnation))

    def append(self, index: int, entry: Entry) -> None:
        """Appends an entry to the log. Errors: ValueError, for the reasons of `ReplicatedLog.append`."""
        self.log.append(index, entry)
        self._write(EntryRecord(index, entry))

    def sync(self) -> bool:
        """Makes all appended records durable; returns whether the disk has the state in memory."""
        if self.has_unsynced_records and not self.failure:
            try:
                self.disk.sync()
                self.has_unsynced_records = False
            except OSError as error:
                self.failure = f"syncing the disk failed: {error}"
        return not self.failure

    def compact(self, index: int, state: bytes) -> None:
        """Replaces the entries up to `index` by the snapshot `state`, which is the state after that entry."""
        self.log.compact(index)
        self.snapshot = state
        self.rewrite()

    def install(self, index: int, term: int, members: tuple[Member, ...], state: bytes) -> None:
        """Installs the leader's snapshot: the state after the entry at `index` of `term`.

        If the log has this entry, its later entries stay, as this node may have acknowledged them already.
        """
        if self.log.term_at(index) == term:
            self.log.compact(index)
        else:
            self.log = ReplicatedLog(index, term, members)
        self.snapshot = state
        self.rewrite()

    def rewrite(self) -> bool:
        """Replaces the disk's records by the complete state in memory; returns whether that succeeded."""
        log = self.log
        records: list[Record] = [
            IdentityRecord(self.name, self.incarnation),
            VoteRecord(self.term, *self.voted_for),
        ]
        if self.snapshot is not None:
            members = log.members_at(log.snapshot_index)
            records.append(SnapshotRecord(log.snapshot_index, log.snapshot_term, members, self.snapshot))
        records.extend(
            EntryRecord(index, entry) for index, entry in enumerate(log.entries, log.snapshot_index + 1)
        )
        try:
            self.disk.replace([encode(record) for record in records])
        except OSError as error:
            self.failure = f"rewriting the disk failed: {error}"
            return False
        self.failure, self.has_unsynced_records = "", False
        return True


class LoadedState:
    """The state according to the records that were applied so far."""

    def __init__(self, name: str) -> None:
        self.name, self.incarnation, self.term, self.voted_for = name, 0, 0, NO_CANDIDATE
        self.log = ReplicatedLog()
        self.snapshot: bytes | None = None

    def apply_record(self, record: Record) -> None:
        """Applies a record. Errors: UnusableDiskError; ValueError if an entry does not follow the log."""
        if isinstance(record, IdentityRecord):
            if record.name != self.name:
                raise UnusableDiskError(f"the records belong to another gateway: {record.name}")
            self.incarnation = record.incarnation
        elif isinstance(record, VoteRecord):
            if record.term < self.term:
                raise UnusableDiskError("a vote record has a lower term than an earlier one")
            self.term, self.voted_for = record.term, Candidate(record.name, record.incarnation)
        elif isinstance(record, SnapshotRecord):
            self.log = ReplicatedLog(record.last_included_index, record.last_included_term, record.members)
            self.snapshot = record.state
        else:
            self.log.append(record.index, record.entry)
