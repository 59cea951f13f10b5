"""What a keeper must not forget: life, term, vote, log, snapshot; in memory and, record by record, on its
disk.

Memory goes ahead of the disk until `sync` says that they agree; nothing may be told before. After an error
the disk is not written to any more until `rewrite` has put all of memory there anew: what lies there may
end in the middle of a record, and a record behind a gap would be read as if nothing were missing.
"""

from gaproute.shared.messages import HIGHEST
from gaproute.shared.raft.log import Log
from gaproute.shared.raft.records import Identity, Lost, Snapshot, Voted, Written, decode, encode


class Store:
    """`unpack(state)`: brings the machine to a snapshot's state. Errors: ValueError where it is none."""

    def __init__(self, name, disk, chance, unpack):
        self.name, self.disk, self.chance, self.unpack = name, disk, chance, unpack
        self.life = self.term = 0
        self.voted = ("", 0)  # (name, life) that has this term's vote
        self.log, self.state = Log(), None  # state: bytes of the machine at the log's base
        self.broken = ""  # why the disk cannot be written to
        self.lost = ""  # why what was on the disk could not be used
        self.opened = self.dirty = False
        self.open()

    @property
    def blank(self):
        """Never voted, never took an entry: the memory of a disk that was empty."""
        return self.opened and not (self.term or self.log.last)

    def open(self):
        try:
            came = self.disk.read()
        except OSError as fault:
            self.broken = f"not read: {fault}"
            return
        if not isinstance(came, Lost):
            came = self._load(came)
        try:
            if isinstance(came, Lost):
                self.lost = came.why
                self.disk.quarantine(came.why)
            if not self.life:
                # A new disk is a new keeper: whatever the name promised or voted before, it does not know it.
                life = 1 + self.chance.below(HIGHEST)
                self.disk.replace([encode(Identity(self.name, life))])
                self.life = life
        except OSError as fault:
            self.broken = f"not written: {fault}"
            return
        self.broken, self.opened = "", True

    def _load(self, records):
        """None, or Lost; then nothing of them was taken."""
        term, voted, log, state, life = 0, ("", 0), Log(), None, 0
        try:
            for place, record in enumerate(map(decode, records)):
                if isinstance(record, Identity) is not (place == 0):
                    return Lost("its head is not where it belongs")
                if isinstance(record, Identity):
                    if record.name != self.name:
                        return Lost(f"of another gateway: {record.name}")
                    life = record.life
                elif isinstance(record, Voted):
                    if record.term < term:
                        return Lost("terms fall")
                    term, voted = record.term, (record.name, record.life)
                elif isinstance(record, Snapshot):
                    log, state = Log(record.index, record.last, record.members), record.state
                else:
                    log.put(record.index, record.entry)
            if log.last_term > term:
                return Lost("entries of terms that it never entered")
            if state is not None:
                self.unpack(state)  # last: the machine of a disk that cannot be used stays empty
        except ValueError as fault:
            return Lost(f"not understood: {fault}")
        self.life, self.term, self.voted, self.log, self.state = life, term, voted, log, state
        return None

    def _write(self, record):
        if self.broken:
            return
        self.dirty = True
        try:
            self.disk.append(encode(record))
        except OSError as fault:
            self.broken = f"not written: {fault}"

    def vote(self, term, name="", life=0):
        self.term, self.voted = term, (name, life)
        self._write(Voted(term, name, life))

    def put(self, index, entry):
        self.log.put(index, entry)
        self._write(Written(index, entry))

    def sync(self):
        """Whether memory and disk agree."""
        if self.dirty and not self.broken:
            try:
                self.disk.sync()
                self.dirty = False
            except OSError as fault:
                self.broken = f"not synced: {fault}"
        return not self.broken

    def compact(self, index, state):
        """`state`: after the entry `index`."""
        self.log.cut(index)
        self.state = state
        self.rewrite()

    def install(self, index, last, members, state):
        """A snapshot of the leader's. Entries behind it stay where they follow from it: the leader may
        count on them already."""
        if self.log.term(index) == last:
            self.log.cut(index)
        else:
            self.log = Log(index, last, members)
        self.state = state
        self.rewrite()

    def rewrite(self):
        """Puts all of memory on the disk anew; whether that succeeded."""
        log = self.log
        records = [Identity(self.name, self.life), Voted(self.term, *self.voted)]
        if self.state is not None:
            records.append(Snapshot(log.base, log.base_term, log.members_at(log.base), self.state))
        records.extend(Written(log.base + place, entry) for place, entry in enumerate(log.entries, 1))
        try:
            self.disk.replace([encode(record) for record in records])
        except OSError as fault:
            self.broken = f"not rewritten: {fault}"
            return False
        self.broken, self.dirty = "", False
        return True
