"""What a node must not forget: incarnation, term, vote, log, snapshot; in memory and, record by record,
on its disk.

Memory goes ahead of the disk until `sync` says that they agree; nothing may be told before. After an error
the disk is not written to any more until `rewrite` has put all of memory there anew: what lies there may
end in the middle of a record, and a record behind a gap would be read as if nothing were missing.
"""

from gaproute.shared.messages import HIGHEST
from gaproute.shared.raft.log import Log
from gaproute.shared.raft.records import (
    EntryRecord,
    IdentityRecord,
    Lost,
    SnapshotRecord,
    VoteRecord,
    decode,
    encode,
)


class Store:
    """`restore(state)`: brings the machine to a snapshot's state. Errors: ValueError where it is none."""

    def __init__(self, name, disk, chance, restore):
        self.name, self.disk, self.chance, self.restore = name, disk, chance, restore
        self.incarnation = self.term = 0
        self.voted_for = ("", 0)  # (name, incarnation) that has this term's vote
        self.log, self.snapshot = Log(), None  # state: bytes of the machine at the log's base
        self.failure = ""  # why the disk cannot be written to
        self.discard_reason = ""  # why what was on the disk could not be used
        self.is_open = self.dirty = False
        self.open()

    @property
    def is_blank(self):
        """Never voted, never took an entry: the memory of a disk that was empty."""
        return self.is_open and not (self.term or self.log.last_index)

    def open(self):
        try:
            came = self.disk.read()
        except OSError as fault:
            self.failure = f"not read: {fault}"
            return
        if not isinstance(came, Lost):
            came = self._load(came)
        try:
            if isinstance(came, Lost):
                self.discard_reason = came.why
                self.disk.aside(came.why)
            if not self.incarnation:
                # A new disk is a new node: whatever the name promised or voted before, it does not know it.
                incarnation = 1 + self.chance.below(HIGHEST)
                self.disk.replace([encode(IdentityRecord(self.name, incarnation))])
                self.incarnation = incarnation
        except OSError as fault:
            self.failure = f"not written: {fault}"
            return
        self.failure, self.is_open = "", True

    def _load(self, records):
        """None, or Lost; then nothing of them was taken."""
        term, voted, log, state, incarnation = 0, ("", 0), Log(), None, 0
        try:
            for place, record in enumerate(map(decode, records)):
                if isinstance(record, IdentityRecord) is not (place == 0):
                    return Lost("its head is not where it belongs")
                if isinstance(record, IdentityRecord):
                    if record.name != self.name:
                        return Lost(f"of another gateway: {record.name}")
                    incarnation = record.incarnation
                elif isinstance(record, VoteRecord):
                    if record.term < term:
                        return Lost("terms fall")
                    term, voted = record.term, (record.name, record.incarnation)
                elif isinstance(record, SnapshotRecord):
                    log, state = (
                        Log(record.last_included_index, record.last_included_term, record.members),
                        record.state,
                    )
                else:
                    log.append(record.index, record.entry)
            if log.last_term > term:
                return Lost("entries of terms that it never entered")
            if state is not None:
                self.restore(state)  # last: the machine of a disk that cannot be used stays empty
        except ValueError as fault:
            return Lost(f"not understood: {fault}")
        self.incarnation, self.term, self.voted_for, self.log, self.snapshot = (
            incarnation,
            term,
            voted,
            log,
            state,
        )
        return None

    def _write(self, record):
        if self.failure:
            return
        self.dirty = True
        try:
            self.disk.append(encode(record))
        except OSError as fault:
            self.failure = f"not written: {fault}"

    def save_vote(self, term, name="", incarnation=0):
        self.term, self.voted_for = term, (name, incarnation)
        self._write(VoteRecord(term, name, incarnation))

    def append(self, index, entry):
        self.log.append(index, entry)
        self._write(EntryRecord(index, entry))

    def sync(self):
        """Whether memory and disk agree."""
        if self.dirty and not self.failure:
            try:
                self.disk.sync()
                self.dirty = False
            except OSError as fault:
                self.failure = f"not synced: {fault}"
        return not self.failure

    def compact(self, index, state):
        """`state`: after the entry `index`."""
        self.log.compact(index)
        self.snapshot = state
        self.rewrite()

    def install(self, index, last, members, state):
        """A snapshot of the leader's. Entries behind it stay where they follow from it: the leader may
        count on them already."""
        if self.log.term_at(index) == last:
            self.log.compact(index)
        else:
            self.log = Log(index, last, members)
        self.snapshot = state
        self.rewrite()

    def rewrite(self):
        """Puts all of memory on the disk anew; whether that succeeded."""
        log = self.log
        records = [IdentityRecord(self.name, self.incarnation), VoteRecord(self.term, *self.voted_for)]
        if self.snapshot is not None:
            records.append(
                SnapshotRecord(
                    log.snapshot_index, log.snapshot_term, log.members_at(log.snapshot_index), self.snapshot
                )
            )
        records.extend(
            EntryRecord(log.snapshot_index + place, entry) for place, entry in enumerate(log.entries, 1)
        )
        try:
            self.disk.replace([encode(record) for record in records])
        except OSError as fault:
            self.failure = f"not rewritten: {fault}"
            return False
        self.failure, self.dirty = "", False
        return True
