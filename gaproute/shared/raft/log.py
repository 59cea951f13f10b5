"""The log of a node in memory: entries after a snapshot, and the members by each of them."""

from typing import NamedTuple

import msgspec

from gaproute.shared.raft.messages import MAX_ENTRIES_PER_MESSAGE, Entry, EntryKind, Member, Membership

# Of the bodies in one message: the commands of several turns, far below the size of a socket's buffer.
MAX_ENTRY_BYTES_PER_MESSAGE = 128 << 10

_membership_decoder = msgspec.msgpack.Decoder(Membership)


def decode_membership(body: bytes) -> Membership:
    """Decodes the body of a membership entry. Errors: ValueError."""
    return _membership_decoder.decode(body)


def encode_membership(membership: Membership) -> bytes:
    """Encodes the body of a membership entry."""
    return msgspec.msgpack.encode(membership)


class LoggedMembership(NamedTuple):
    """The members by the entry at `log_index`, in force from when it is logged."""

    log_index: int
    members: tuple[Member, ...]


class ReplicatedLog:
    """The entries from `snapshot_index` + 1 to `last_index`; indexes begin at 1.

    `membership_history`: the memberships in the log, of which the last one is in force.
    """

    def __init__(
        self, snapshot_index: int = 0, snapshot_term: int = 0, members: tuple[Member, ...] = ()
    ) -> None:
        self.snapshot_index, self.snapshot_term = snapshot_index, snapshot_term
        self.entries: list[Entry] = []
        self.membership_history = [LoggedMembership(snapshot_index, members)]

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the snapshot."""
        return self.entries[-1].term if self.entries else self.snapshot_term

    @property
    def members(self) -> tuple[Member, ...]:
        """The members in force."""
        return self.membership_history[-1].members

    def term_at(self, index: int) -> int | None:
        """The term of the entry there; None if the log does not have it, or not any more."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last_index:
            return self.entry_at(index).term
        return None

    def entry_at(self, index: int) -> Entry:
        """The entry there, which the log must have."""
        return self.entries[index - self.snapshot_index - 1]

    def append(self, index: int, entry: Entry) -> None:
        """Puts an entry after the last one, or replaces an entry and all after it.

        Errors: ValueError if it would leave a gap, is within the snapshot, or is an invalid membership.
        """
        if not self.snapshot_index < index <= self.last_index + 1:
            raise ValueError(f"entry {index} does not follow {self.snapshot_index} to {self.last_index}")
        membership = decode_membership(entry.body) if entry.kind == EntryKind.MEMBERSHIP else None
        del self.entries[index - self.snapshot_index - 1 :]
        while self.membership_history[-1].log_index >= index:
            self.membership_history.pop()
        self.entries.append(entry)
        if membership is not None:
            self.membership_history.append(LoggedMembership(index, membership.members))

    def entries_from(self, index: int) -> tuple[Entry, ...]:
        """The entries from `index` on, as many as fit in one message."""
        batch: list[Entry] = []
        size = 0
        for entry in self.entries[index - self.snapshot_index - 1 :][:MAX_ENTRIES_PER_MESSAGE]:
            size += len(entry.body)
            if batch and size > MAX_ENTRY_BYTES_PER_MESSAGE:
                break
            batch.append(entry)
        return tuple(batch)

    def members_at(self, index: int) -> tuple[Member, ...]:
        """The members as of the entry at `index`."""
        return [each.members for each in self.membership_history if each.log_index <= index][-1]

    def memberships_since(self, index: int) -> list[tuple[Member, ...]]:
        """The members as of the entry at `index`, and by all later memberships."""
        later = [each.members for each in self.membership_history if each.log_index > index]
        return [self.members_at(index), *later]

    def compact(self, index: int) -> None:
        """Drops the entries up to `index`, which a snapshot replaces.

        Errors: ValueError if the log does not have that entry.
        """
        members, term = self.members_at(index), self.term_at(index)
        if term is None:
            raise ValueError(f"entry {index} is not among {self.snapshot_index} to {self.last_index}")
        del self.entries[: index - self.snapshot_index]
        self.snapshot_index, self.snapshot_term = index, term
        later = [each for each in self.membership_history if each.log_index > index]
        self.membership_history = [LoggedMembership(index, members), *later]

    def is_up_to_date(self, last_log_index: int, last_log_term: int) -> bool:
        """Whether a log that ends with this entry is at least as up-to-date as this one (Raft 5.4.1)."""
        return (last_log_term, last_log_index) >= (self.last_term, self.last_index)
