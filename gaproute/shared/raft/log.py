"""The log of a node in memory: entries behind a snapshot, and who the members are by each of them."""

import msgspec

from gaproute.shared.raft.messages import MAX_ENTRIES, EntryKind, Membership

MAX_BATCH_BYTES = (
    128 << 10
)  # of the bodies in one message: several turns of commands, far from a socket's buffer

decode_membership = msgspec.msgpack.Decoder(Membership).decode


class Log:
    """Entries `snapshot_index` + 1 to `last_index`; indexes begin at 1. `membership_history`: [(index,
    members)], the last one in force."""

    def __init__(self, base=0, term=0, members=()):
        self.snapshot_index, self.snapshot_term, self.entries = base, term, []
        self.membership_history = [(base, members)]

    @property
    def last_index(self):
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self):
        return self.entries[-1].term if self.entries else self.snapshot_term

    @property
    def members(self):
        return self.membership_history[-1][1]

    def term_at(self, index):
        """Of the entry there; None where the log does not hold it (any more)."""
        if index == self.snapshot_index:
            return self.snapshot_term
        return (
            self.entries[index - self.snapshot_index - 1].term
            if self.snapshot_index < index <= self.last_index
            else None
        )

    def entry_at(self, index):
        return self.entries[index - self.snapshot_index - 1]

    def append(self, index, entry):
        """The entry at `index`, just behind the last one or in place of one and all behind it.
        Errors: ValueError where it would leave a gap or fall into the snapshot, or is no membership."""
        if not self.snapshot_index < index <= self.last_index + 1:
            raise ValueError(f"entry {index} does not follow {self.snapshot_index} to {self.last_index}")
        membership = decode_membership(entry.body) if entry.kind == EntryKind.MEMBERSHIP else None
        del self.entries[index - self.snapshot_index - 1 :]
        while self.membership_history[-1][0] >= index:
            self.membership_history.pop()
        self.entries.append(entry)
        if membership is not None:
            self.membership_history.append((index, membership.members))

    def entries_from(self, index):
        """The entries from `index` on, as many as one message takes."""
        came, size = [], 0
        for entry in self.entries[index - self.snapshot_index - 1 :][:MAX_ENTRIES]:
            size += len(entry.body)
            if came and size > MAX_BATCH_BYTES:
                break
            came.append(entry)
        return tuple(came)

    def members_at(self, index):
        return [members for at, members in self.membership_history if at <= index][-1]

    def compact(self, index):
        """Entries up to `index` are gone: a snapshot holds what they did."""
        members, term = self.members_at(index), self.term_at(index)
        del self.entries[: index - self.snapshot_index]
        self.snapshot_index, self.snapshot_term = index, term
        self.membership_history = [
            (index, members),
            *(membership for membership in self.membership_history if membership[0] > index),
        ]

    def is_up_to_date(self, index, term):
        """Whether a log that ends with entry `index` of `term` knows at least what this one does."""
        return (term, index) >= (self.last_term, self.last_index)
