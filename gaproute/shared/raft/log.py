"""The in-memory log of a node: the entries after a snapshot, and the memberships among them."""

from typing import NamedTuple

import msgspec

from gaproute.shared.raft.messages import MAX_ENTRIES_PER_MESSAGE, Entry, EntryKind, Member, Membership

# The total size of the entries' bodies in one message: it holds the commands of several loop turns and is far
# below the size of a socket's buffer.
MAX_ENTRY_BYTES_PER_MESSAGE = 128 << 10

_membership_decoder = msgspec.msgpack.Decoder(Membership)


def decode_membership(body: bytes) -> Membership:
    """Decodes the body of a membership entry. Errors: ValueError."""
    return _membership_decoder.decode(body)


def encode_membership(membership: Membership) -> bytes:
    """Encodes the body of a membership entry."""
    return msgspec.msgpack.encode(membership)


class LoggedMembership(NamedTuple):
    """The members that the entry at `log_index` sets, in force from the moment it is logged."""

    log_index: int
    members: tuple[Member, ...]


class ReplicatedLog:
    """The entries from `snapshot_index` + 1 to `last_index`; indexes begin at 1.

    `membership_history` has the membership at the snapshot and those set by later entries; the last one is in
    force.
    """

    def __init__(
        self, snapshot_index: int = 0, snapshot_term: int = 0, members: tuple[Member, ...] = ()
    ) -> None:
        self.snapshot_index, self.snapshot_term = snapshot_index, snapshot_term
        self.entries: list[Entry] = []
        self.membership_history = [LoggedMembership(snapshot_index, members)]

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the snapshot if no entry follows it."""
        return self.snapshot_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the snapshot if no entry follows it."""
        return self.entries[-1].term if self.entries else self.snapshot_term

    @property
    def members(self) -> tuple[Member, ...]:
        """The members in force, committed or not."""
        return self.membership_history[-1].members

    def term_at(self, index: int) -> int | None:
        """The term of the entry at `index`; None if the log does not have it or a snapshot replaced it."""
        if index == self.snapshot_index:
            return self.snapshot_term
        if self.snapshot_index < index <= self.last_index:
            return self.entry_at(index).term
        return None

    def entry_at(self, index: int) -> Entry:
        """The entry at `index`, which the log must have."""
        return self.entries[index - self.snapshot_index - 1]

    def append(self, index: int, entry: Entry) -> None:
        """Appends an entry after the last one, or replaces the entry at `index` and drops all later ones.

        Errors: ValueError if the entry leaves a gap, is within the snapshot, or has an invalid membership.
        """
        if not self.snapshot_index < index <= self.last_index + 1:
            raise ValueError(
                f"cannot append entry {index}: the log has {self.snapshot_index} to {self.last_index}"
            )
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
        """The members that were in force at the entry at `index`."""
        return [logged.members for logged in self.membership_history if logged.log_index <= index][-1]

    def memberships_since(self, index: int) -> list[tuple[Member, ...]]:
        """The members that were in force at the entry at `index`, then those set by each later entry."""
        later = [logged.members for logged in self.membership_history if logged.log_index > index]
        return [self.members_at(index), *later]

    def compact(self, index: int) -> None:
        """Drops the entries up to `index`, which a snapshot replaces.

        Errors: ValueError if the log does not have that entry.
        """
        members, term = self.members_at(index), self.term_at(index)
        if term is None:
            raise ValueError(
                f"cannot compact to entry {index}: the log has {self.snapshot_index} to {self.last_index}"
            )
        del self.entries[: index - self.snapshot_index]
        self.snapshot_index, self.snapshot_term = index, term
        later = [logged for logged in self.membership_history if logged.log_index > index]
        self.membership_history = [LoggedMembership(index, members), *later]

    def is_up_to_date(self, last_log_index: int, last_log_term: int) -> bool:
        """Whether a log that ends with this last entry is at least as up-to-date as this log.

        Raft paper, 5.4.1: the later term wins, and in one term the higher index.
        """
        return (last_log_term, last_log_index) >= (self.last_term, self.last_index)
