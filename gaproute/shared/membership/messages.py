"""What gateways send one another to agree on who is up: updates about members, and the messages of SWIM."""

from enum import IntEnum
from typing import NamedTuple

MAX_INCARNATION = 1 << 48  # higher ones are refused: an honest one starts at ms since 1970
MAX_NAME = 256  # characters of a name or an address
ENTRY_BYTES = 20  # of one update in a message beside its name and address, at most


class MemberState(IntEnum):
    """The state of a member; numbered as on the wire, and of one incarnation the greater number overrides."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def label(self) -> str:
        """As the log and the operators' address name it."""
        return self.name.lower()


MEMBER_STATES = tuple(MemberState)  # by their numbers: an index costs less than the call of an Enum


class MessageKind(IntEnum):
    """What a message asks for or brings; numbered as on the wire."""

    PING = 1  # asks for an ACK with the same sequence number
    ACK = 2
    PING_REQUEST = 3  # asks the receiver to probe the `target` for the sender
    PULL = 4  # asks for the state of all members from the position `sequence` on
    CHUNK = 5  # brings a part of it: its `sequence` is the position of the next part, 0 after the last


class MemberUpdate(NamedTuple):
    """What one gateway says about a member. `state`: a `MemberState`, or any number that came off the wire
    and that `is_valid` is still to see."""

    name: str
    address: str
    state: int
    incarnation: int


class MembershipMessage(NamedTuple):
    """One message: its kind, the sender as alive or leaving, and updates that ride on it."""

    kind: MessageKind
    sequence: int
    sender: MemberUpdate
    target: str = ""
    updates: tuple[MemberUpdate, ...] = ()


class Member:
    """What is held of one other gateway. `configured`: named by the configuration, so never forgotten."""

    __slots__ = ("name", "address", "state", "incarnation", "state_since", "last_heard", "configured")

    def __init__(self, update: MemberUpdate, now: int, *, configured: bool) -> None:
        self.name, self.address = update.name, update.address
        self.state, self.incarnation = MEMBER_STATES[update.state], update.incarnation
        self.state_since = now  # ns on the table's clock
        self.last_heard: int | None = None  # ns: when its last message came
        self.configured = configured

    @property
    def update(self) -> MemberUpdate:
        """What this gateway tells others about the member."""
        return MemberUpdate(self.name, self.address, self.state, self.incarnation)


def is_valid(update: MemberUpdate) -> bool:
    """Whether all fields are within their bounds."""
    return (
        0 < len(update.name) <= MAX_NAME
        and 0 < len(update.address) <= MAX_NAME
        and 0 <= update.state <= MemberState.LEFT
        and 0 <= update.incarnation <= MAX_INCARNATION
    )


def encoded_size(update: MemberUpdate | Member) -> int:
    """Bytes that the update takes in a message, at most."""
    return ENTRY_BYTES + len(update.name.encode()) + len(update.address.encode())
