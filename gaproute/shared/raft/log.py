"""The log of a keeper in memory: entries behind a snapshot, and who the members are by each of them."""

import msgspec

from gaproute.shared.raft.messages import MAX_ENTRIES, EntryKind, Membership

BYTES = 128 << 10  # of the bodies in one message: several turns of commands, far from a socket's buffer

decode_membership = msgspec.msgpack.Decoder(Membership).decode


class Log:
    """Entries `base` + 1 to `last`; indexes begin at 1. `rolls`: [(index, members)], the last one in
    force."""

    def __init__(self, base=0, term=0, members=()):
        self.base, self.base_term, self.entries = base, term, []
        self.rolls = [(base, members)]

    @property
    def last(self):
        return self.base + len(self.entries)

    @property
    def last_term(self):
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def members(self):
        return self.rolls[-1][1]

    def term(self, index):
        """Of the entry there; None where the log does not hold it (any more)."""
        if index == self.base:
            return self.base_term
        return self.entries[index - self.base - 1].term if self.base < index <= self.last else None

    def entry(self, index):
        return self.entries[index - self.base - 1]

    def put(self, index, entry):
        """The entry at `index`, just behind the last one or in place of one and all behind it.
        Errors: ValueError where it would leave a gap or fall into the snapshot, or is no roll."""
        if not self.base < index <= self.last + 1:
            raise ValueError(f"entry {index} does not follow {self.base} to {self.last}")
        roll = decode_membership(entry.body) if entry.kind == EntryKind.MEMBERSHIP else None
        del self.entries[index - self.base - 1 :]
        while self.rolls[-1][0] >= index:
            self.rolls.pop()
        self.entries.append(entry)
        if roll is not None:
            self.rolls.append((index, roll.members))

    def behind(self, index):
        """The entries from `index` on, as many as one message takes."""
        came, size = [], 0
        for entry in self.entries[index - self.base - 1 :][:MAX_ENTRIES]:
            size += len(entry.body)
            if came and size > BYTES:
                break
            came.append(entry)
        return tuple(came)

    def members_at(self, index):
        return [members for at, members in self.rolls if at <= index][-1]

    def cut(self, index):
        """Entries up to `index` are gone: a snapshot holds what they did."""
        members, term = self.members_at(index), self.term(index)
        del self.entries[: index - self.base]
        self.base, self.base_term = index, term
        self.rolls = [(index, members), *(roll for roll in self.rolls if roll[0] > index)]

    def after(self, index, term):
        """Whether a log that ends with entry `index` of `term` knows at least what this one does."""
        return (term, index) >= (self.last_term, self.last)
