"""The messages of the failure detector, and the updates about members that they carry."""

from enum import IntEnum
from typing import NamedTuple

MAX_INCARNATION = 1 << 48  # a higher one is rejected; correct ones start from ms since 1970
MAX_NAME_LENGTH = 256  # characters of a name or an address
UPDATE_OVERHEAD_BYTES = 20  # upper bound for one update in a message without its name and address


class MemberState(IntEnum):
    """The state of a member, numbered as on the wire. Within one incarnation the greater number overrides."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def label(self) -> str:
        """The name of the state in logs and at the operators' address."""
        return self.name.lower()


MEMBER_STATES = tuple(MemberState)  # by number: an index is cheaper than a call of the Enum


class MessageKind(IntEnum):
    """The kind of a message, numbered as on the wire."""

    PING = 1  # requests an ACK with the same sequence number
    ACK = 2  # answers a PING; a gateway that leaves sends one, too
    PING_REQUEST = 3  # requests the receiver to probe the `target` for the sender
    PULL = 4  # requests the member table from the position `sequence` on
    CHUNK = 5  # a part of the member table; `sequence` is the position of the next part, 0 in the last part


class MemberUpdate(NamedTuple):
    """What a gateway announces about a member.

    `state`: a `MemberState`, or any number from the wire before `is_valid_update` has checked it.
    """

    name: str
    address: str
    state: int
    incarnation: int


class MembershipMessage(NamedTuple):
    """One message. `sender`: the update about the sender, which is alive or leaves."""

    kind: MessageKind
    sequence: int
    sender: MemberUpdate
    target: str = ""
    updates: tuple[MemberUpdate, ...] = ()


class Member:
    """The stored state of one other gateway.

    `configured`: the gateway is in the configuration, so it is never removed from the table.
    """

    __slots__ = ("name", "address", "state", "incarnation", "state_since", "last_heard", "configured")

    def __init__(self, update: MemberUpdate, now: int, *, configured: bool) -> None:
        self.name, self.address = update.name, update.address
        self.state, self.incarnation = MEMBER_STATES[update.state], update.incarnation
        self.state_since = now  # ns of the table's clock
        self.last_heard: int | None = None  # ns: when the last message of the member was received
        self.configured = configured

    @property
    def update(self) -> MemberUpdate:
        """The update about the member that this gateway sends to other members."""
        return MemberUpdate(self.name, self.address, self.state, self.incarnation)


def is_valid_update(update: MemberUpdate) -> bool:
    """Whether all fields of the update are within their bounds."""
    return (
        0 < len(update.name) <= MAX_NAME_LENGTH
        and 0 < len(update.address) <= MAX_NAME_LENGTH
        and 0 <= update.state <= MemberState.LEFT
        and 0 <= update.incarnation <= MAX_INCARNATION
    )


def max_encoded_size(update: MemberUpdate | Member) -> int:
    """The largest number of bytes that the update takes in a message."""
    return UPDATE_OVERHEAD_BYTES + len(update.name.encode()) + len(update.address.encode())
