"""The persistent state of a node: incarnation, term, vote, log and snapshot, in memory and on its disk.

Memory is ahead of the disk until `sync` returns that they agree; nothing may be sent before. After an error
nothing is written until `rewrite` has written the whole state again: the file may end in the middle of a
record, and a record after a gap would be read as if nothing were missing.
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
    """The candidate that has a vote."""

    name: str
    incarnation: int


NO_CANDIDATE = Candidate("", 0)


class Store:
    """The state of the node called `name`.

    `restore_state` restores the state of the sessions and the state machine from a snapshot; it raises
    ValueError if the bytes are not an encoded state.
    """

    def __init__(
        self, name: str, disk: Disk, random: RandomSource, restore_state: Callable[[bytes], None]
    ) -> None:
        self.name, self.disk, self.random, self.restore_state = name, disk, random, restore_state
        self.incarnation = self.term = 0
        self.voted_for = NO_CANDIDATE  # in the present term
        self.log = ReplicatedLog()
        self.snapshot: bytes | None = None  # the state of sessions and machine at the log's `snapshot_index`
        self.failure = ""  # why the disk cannot be written, or ''
        self.discard_reason = ""  # why the content of the disk could not be used, or ''
        self.is_open = False  # whether the disk was read, and an incarnation is on it
        self.has_unsynced_records = False  # whether records were appended since the last sync
        self.open()

    @property
    def is_blank(self) -> bool:
        """Whether the node never voted and never took an entry since its disk was empty."""
        return self.is_open and not (self.term or self.log.last_index)

    def open(self) -> None:
        """Reads the disk. `failure` is set if it cannot be read or written at the moment."""
        unusable_reason = ""
        try:
            self._load(self.disk.read())
        except UnusableDiskError as error:
            unusable_reason = self.discard_reason = error.reason
        except OSError as error:
            self.failure = f"not read: {error}"
            return
        try:
            if unusable_reason:
                self.disk.quarantine(unusable_reason)
            if not self.incarnation:
                # A new disk means a new node: it does not know what the name promised or voted before.
                incarnation = 1 + self.random.below(MAX_COUNT)
                self.disk.replace([encode(IdentityRecord(self.name, incarnation))])
                self.incarnation = incarnation
        except OSError as error:
            self.failure = f"not written: {error}"
            return
        self.failure, self.is_open = "", True

    def _load(self, records: Sequence[bytes]) -> None:
        """Takes over the records. Errors: UnusableDiskError, after which nothing was taken over."""
        loaded = LoadedState(self.name)
        try:
            for position, record in enumerate(map(decode, records)):
                is_first = position == 0
                if isinstance(record, IdentityRecord) is not is_first:
                    raise UnusableDiskError("its head is not where it belongs")
                loaded.apply_record(record)
            if loaded.log.last_term > loaded.term:
                raise UnusableDiskError("entries of terms that it never entered")
            if loaded.snapshot is not None:
                # Last, so that the machine stays empty if the disk cannot be used
                self.restore_state(loaded.snapshot)
        except ValueError as error:
            raise UnusableDiskError(f"not understood: {error}") from error
        self.incarnation, self.term, self.voted_for = loaded.incarnation, loaded.term, loaded.voted_for
        self.log, self.snapshot = loaded.log, loaded.snapshot

    def _write(self, record: Record) -> None:
        if self.failure:
            return
        self.has_unsynced_records = True
        try:
            self.disk.append(encode(record))
        except OSError as error:
            self.failure = f"not written: {error}"

    def save_vote(self, term: int, name: str = "", incarnation: int = 0) -> None:
        """Enters a term or votes in it; an empty name: no vote yet."""
        self.term, self.voted_for = term, Candidate(name, incarnation)
        self._write(VoteRecord(term, name, incarnation))

    def append(self, index: int, entry: Entry) -> None:
        """Appends an entry to the log. Errors: ValueError as of `ReplicatedLog.append`."""
        self.log.append(index, entry)
        self._write(EntryRecord(index, entry))

    def sync(self) -> bool:
        """Makes everything durable; returns whether memory and disk agree."""
        if self.has_unsynced_records and not self.failure:
            try:
                self.disk.sync()
                self.has_unsynced_records = False
            except OSError as error:
                self.failure = f"not synced: {error}"
        return not self.failure

    def compact(self, index: int, state: bytes) -> None:
        """Replaces the entries up to `index` by the snapshot `state`, which is the state after that entry."""
        self.log.compact(index)
        self.snapshot = state
        self.rewrite()

    def install(self, index: int, term: int, members: tuple[Member, ...], state: bytes) -> None:
        """Takes over a snapshot of the leader: the state after the entry at `index` of `term`.

        Later entries stay if they follow from it, as the leader may rely on them already.
        """
        if self.log.term_at(index) == term:
            self.log.compact(index)
        else:
            self.log = ReplicatedLog(index, term, members)
        self.snapshot = state
        self.rewrite()

    def rewrite(self) -> bool:
        """Writes the complete state to the disk again; returns whether that succeeded."""
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
            self.failure = f"not rewritten: {error}"
            return False
        self.failure, self.has_unsynced_records = "", False
        return True


class LoadedState:
    """The state by the records that were read so far."""

    def __init__(self, name: str) -> None:
        self.name, self.incarnation, self.term, self.voted_for = name, 0, 0, NO_CANDIDATE
        self.log = ReplicatedLog()
        self.snapshot: bytes | None = None

    def apply_record(self, record: Record) -> None:
        """Applies a record. Errors: UnusableDiskError; ValueError for an entry that does not fit in the
        log.
        """
        if isinstance(record, IdentityRecord):
            if record.name != self.name:
                raise UnusableDiskError(f"of another gateway: {record.name}")
            self.incarnation = record.incarnation
        elif isinstance(record, VoteRecord):
            if record.term < self.term:
                raise UnusableDiskError("terms fall")
            self.term, self.voted_for = record.term, Candidate(record.name, record.incarnation)
        elif isinstance(record, SnapshotRecord):
            self.log = ReplicatedLog(record.last_included_index, record.last_included_term, record.members)
            self.snapshot = record.state
        else:
            self.log.append(record.index, record.entry)
