"""Makes messages with piggybacked updates: first those that were sent least often, then table entries."""

from typing import NamedTuple

from gaproute.shared.membership.identity import Identity
from gaproute.shared.membership.messages import (
    ENTRY_BYTES,
    Member,
    MembershipMessage,
    MemberState,
    MemberUpdate,
    MessageKind,
    encoded_size,
)
from gaproute.shared.membership.table import MemberTable

SENDS = 3  # times that each update is sent, for every power of two of the number of members
MAX_MESSAGE_BYTES = 1200  # fits in a datagram that is not fragmented on any network
HEADER_BYTES = 32  # upper bound for a message beside the sender, the target and the updates
# A message with few updates is filled up to this size with entries of the table, each in turn. That repairs
# what was lost or delayed; a greater size would only cost bytes.
FILL_BYTES = 320
PING_REQUEST_BYTES = 400  # at most, as three are sent at a time if a path loses messages


class Outgoing(NamedTuple):
    """A message and the address to which it is sent."""

    address: str
    message: MembershipMessage


class MessageBuilder:
    """Makes the messages of one gateway from its table, and counts there what was sent."""

    def __init__(self, identity: Identity, table: MemberTable) -> None:
        self._identity, self._table = identity, table
        self._next_entry = 0  # position in the table of the entry with which the next message is filled

    def ping(self, receiver: Member, sequence: int) -> Outgoing:
        """Probes the receiver."""
        return self._to(receiver, MessageKind.PING, sequence)

    def ping_request(self, receiver: Member, sequence: int, target: str) -> Outgoing:
        """Asks the receiver to probe the target."""
        return self._to(receiver, MessageKind.PING_REQUEST, sequence, target=target)

    def ack(self, receiver: Member, sequence: int, target: str, *, stale: bool = False) -> Outgoing:
        """Answers a probe. `stale`: the receiver must learn what this gateway has stored about it, even if
        that is alive.
        """
        return self._to(receiver, MessageKind.ACK, sequence, target=target, stale=stale)

    def leave(self, receiver: Member) -> Outgoing:
        """Announces to the receiver that this gateway shuts down."""
        address, message = self._to(receiver, MessageKind.ACK, 0)
        return Outgoing(address, message._replace(sender=self._identity.update(MemberState.LEFT)))

    def pull(self, receiver: Member, position: int) -> Outgoing:
        """Requests the part of the receiver's table that begins at the position."""
        return Outgoing(
            receiver.address, MembershipMessage(MessageKind.PULL, position, self._identity.update())
        )

    def chunk(self, position: int) -> MembershipMessage:
        """The part of the complete table that begins at the position."""
        sender = self._identity.update()
        bytes_left = MAX_MESSAGE_BYTES - HEADER_BYTES - encoded_size(sender)
        updates: list[MemberUpdate] = []
        names, position = self._table.all_names.names, max(0, position)
        while position < len(names):
            member = self._table.members[names[position]]
            bytes_left -= encoded_size(member)
            if bytes_left < 0:
                break
            updates.append(member.update)
            position += 1
        next_position = position if position < len(names) else 0
        return MembershipMessage(MessageKind.CHUNK, next_position, sender, "", tuple(updates))

    def message(
        self, kind: MessageKind, sequence: int, *, target: str = "", first: Member | None = None
    ) -> MembershipMessage:
        """A message with as many updates as fit. `first`: the update that its receiver must refute."""
        sender = self._identity.update()
        limit = PING_REQUEST_BYTES if kind is MessageKind.PING_REQUEST else MAX_MESSAGE_BYTES
        bytes_left = limit - HEADER_BYTES - encoded_size(sender) - len(target.encode())
        chosen: dict[str, MemberUpdate] = {}
        if first is not None:
            chosen[first.name] = first.update
            bytes_left -= encoded_size(first)
        bytes_left = self._add_pending(chosen, bytes_left)
        # A PING_REQUEST is never filled, as its limit leaves it fewer bytes than are subtracted here
        self._fill(chosen, bytes_left - (MAX_MESSAGE_BYTES - FILL_BYTES))
        return MembershipMessage(kind, sequence, sender, target, tuple(chosen.values()))

    def _to(
        self, receiver: Member, kind: MessageKind, sequence: int, *, target: str = "", stale: bool = False
    ) -> Outgoing:
        must_refute = stale or receiver.state is not MemberState.ALIVE
        first = receiver if must_refute else None
        return Outgoing(receiver.address, self.message(kind, sequence, target=target, first=first))

    def _add_pending(self, chosen: dict[str, MemberUpdate], bytes_left: int) -> int:
        """Adds pending updates, those sent least often first.

        Returns the bytes that are left; a negative number if one more update was too long.
        """
        pending = self._table.pending_updates
        for name in pending:
            member = self._table.members[name]
            bytes_left -= encoded_size(member)
            if bytes_left < 0:
                break
            chosen[name] = member.update
        max_sends = self._table.scaled(SENDS)
        for name in chosen:
            pending.sent(name, max_sends)
        return bytes_left

    def _fill(self, chosen: dict[str, MemberUpdate], bytes_left: int) -> None:
        """Adds entries of the table in turn, beginning after the last one that an earlier message had."""
        names = self._table.all_names.names
        for _ in range(min(len(names), FILL_BYTES // ENTRY_BYTES)):
            member = self._table.members[names[self._next_entry % len(names)]]
            bytes_left -= encoded_size(member)
            if bytes_left < 0:
                return
            chosen.setdefault(member.name, member.update)
            self._next_entry = (self._next_entry + 1) % len(names)
