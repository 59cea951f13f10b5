"""Builds messages with piggybacked updates: first those sent least often, then member table entries."""

from typing import NamedTuple

from gaproute.shared.membership.identity import Identity
from gaproute.shared.membership.messages import (
    UPDATE_OVERHEAD_BYTES,
    Member,
    MembershipMessage,
    MemberState,
    MemberUpdate,
    MessageKind,
    max_encoded_size,
)
from gaproute.shared.membership.table import MemberTable

UPDATE_SENDS_PER_DOUBLING = 3  # how often an update is sent, for every doubling of the number of members
MAX_MESSAGE_BYTES = 1200  # fits into a datagram that no network fragments
MAX_HEADER_BYTES = 32  # upper bound for a message without its sender, target and updates
# A message with few updates is filled up to this size with entries of the member table, each entry in turn.
# These entries replace updates that were lost or delayed; a larger size would only cost bytes
FILLED_MESSAGE_BYTES = 320
MAX_PING_REQUEST_BYTES = 400  # small, as three are sent at the same time if a path loses messages


class Outgoing(NamedTuple):
    """A message and the address to which it is sent."""

    address: str
    message: MembershipMessage


class MessageBuilder:
    """Builds the messages of one gateway from its member table, which counts how often updates are sent."""

    def __init__(self, identity: Identity, table: MemberTable) -> None:
        self._identity, self._table = identity, table
        self._next_entry_position = 0  # of the table entry with which the next message is filled first

    def ping(self, receiver: Member, sequence: int) -> Outgoing:
        """The message that probes the receiver."""
        return self._build_message(receiver, MessageKind.PING, sequence)

    def ping_request(self, receiver: Member, sequence: int, target: str) -> Outgoing:
        """The message that requests the receiver to probe the target."""
        return self._build_message(receiver, MessageKind.PING_REQUEST, sequence, target=target)

    def ack(self, receiver: Member, sequence: int, target: str, *, stale: bool = False) -> Outgoing:
        """The answer to a probe.

        `stale`: the receiver must learn what this gateway has stored about it, even if its stored state is
        alive.
        """
        return self._build_message(receiver, MessageKind.ACK, sequence, target=target, stale=stale)

    def leave(self, receiver: Member) -> Outgoing:
        """The message which announces that this gateway shuts down."""
        address, message = self._build_message(receiver, MessageKind.ACK, 0)
        return Outgoing(address, message._replace(sender=self._identity.own_update(MemberState.LEFT)))

    def pull(self, receiver: Member, position: int) -> Outgoing:
        """The message that requests the part of the receiver's member table from the position on."""
        return Outgoing(
            receiver.address, MembershipMessage(MessageKind.PULL, position, self._identity.own_update())
        )

    def chunk(self, position: int) -> MembershipMessage:
        """The message with the part of the member table from the position on."""
        sender = self._identity.own_update()
        bytes_left = MAX_MESSAGE_BYTES - MAX_HEADER_BYTES - max_encoded_size(sender)
        updates: list[MemberUpdate] = []
        names, position = self._table.all_names.names, max(0, position)
        while position < len(names):
            member = self._table.members[names[position]]
            bytes_left -= max_encoded_size(member)
            if bytes_left < 0:
                break
            updates.append(member.update)
            position += 1
        next_position = position if position < len(names) else 0
        return MembershipMessage(MessageKind.CHUNK, next_position, sender, "", tuple(updates))

    def message(
        self, kind: MessageKind, sequence: int, *, target: str = "", first_member: Member | None = None
    ) -> MembershipMessage:
        """A message with as many updates as fit.

        `first_member`: the receiver, if it must refute what this gateway has stored about it; its update is
        always in the message.
        """
        sender = self._identity.own_update()
        limit = MAX_PING_REQUEST_BYTES if kind is MessageKind.PING_REQUEST else MAX_MESSAGE_BYTES
        bytes_left = limit - MAX_HEADER_BYTES - max_encoded_size(sender) - len(target.encode())
        chosen: dict[str, MemberUpdate] = {}
        if first_member is not None:
            chosen[first_member.name] = first_member.update
            bytes_left -= max_encoded_size(first_member)
        bytes_left = self._add_pending_updates(chosen, bytes_left)
        # A PING_REQUEST gets no table entries: its limit leaves fewer bytes than are subtracted here
        self._add_table_entries(chosen, bytes_left - (MAX_MESSAGE_BYTES - FILLED_MESSAGE_BYTES))
        return MembershipMessage(kind, sequence, sender, target, tuple(chosen.values()))

    def _build_message(
        self, receiver: Member, kind: MessageKind, sequence: int, *, target: str = "", stale: bool = False
    ) -> Outgoing:
        must_refute = stale or receiver.state is not MemberState.ALIVE
        first_member = receiver if must_refute else None
        return Outgoing(
            receiver.address, self.message(kind, sequence, target=target, first_member=first_member)
        )

    def _add_pending_updates(self, chosen: dict[str, MemberUpdate], bytes_left: int) -> int:
        """Adds pending updates, those sent least often first.

        Returns the number of bytes that are left, which is negative if the next update did not fit.
        """
        pending = self._table.pending_updates
        for name in pending:
            member = self._table.members[name]
            bytes_left -= max_encoded_size(member)
            if bytes_left < 0:
                break
            chosen[name] = member.update
        max_sends = self._table.scale_by_doublings(UPDATE_SENDS_PER_DOUBLING)
        for name in chosen:
            pending.record_sent(name, max_sends)
        return bytes_left

    def _add_table_entries(self, chosen: dict[str, MemberUpdate], bytes_left: int) -> None:
        """Adds entries of the member table, starting after the last entry that a message contained."""
        names = self._table.all_names.names
        for _ in range(min(len(names), FILLED_MESSAGE_BYTES // UPDATE_OVERHEAD_BYTES)):
            member = self._table.members[names[self._next_entry_position % len(names)]]
            bytes_left -= max_encoded_size(member)
            if bytes_left < 0:
                return
            chosen.setdefault(member.name, member.update)
            self._next_entry_position = (self._next_entry_position + 1) % len(names)
