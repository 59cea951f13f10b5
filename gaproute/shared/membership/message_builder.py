"""Makes messages with piggybacked updates: first those that were sent least often, then entries of the
table.
"""

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

SENDS = 3  # of each update, for every power of two of the number of members
MAX_MESSAGE_BYTES = 1200  # fits in a datagram that is not fragmented on any network
HEADER_BYTES = 32  # of a message, beside the sender's names, the target and the updates; upper bound
FILL_BYTES = (
    320  # up to which a message with few updates is filled with entries in turn, which mends what was
)
#                          lost or held back; more of it costs bytes only
PING_REQUEST_BYTES = 400  # at most, as three are sent at a time if a path loses messages


class Outgoing(NamedTuple):
    """A message and the address to which it is sent."""

    address: str
    message: MembershipMessage


class MessageBuilder:
    """Makes the messages of one gateway from its table, and counts there what was sent."""

    def __init__(self, identity: Identity, table: MemberTable) -> None:
        self._identity, self._table = identity, table
        self._turn = 0  # position in the table of the entry that is sent next

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
        """Adds entries of the table, continuing where the last message ended."""
        names = self._table.all_names.names
        for _ in range(min(len(names), FILL_BYTES // ENTRY_BYTES)):
            member = self._table.members[names[self._turn % len(names)]]
            bytes_left -= encoded_size(member)
            if bytes_left < 0:
                return
            chosen.setdefault(member.name, member.update)
            self._turn = (self._turn + 1) % len(names)
