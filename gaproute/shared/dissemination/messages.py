"""The messages of the dissemination, and their sizes on the wire."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from gaproute.decisions.cells.version import Version

NO_VERSION = Version(-1, -1)  # the version of a gateway without a document; lower than all others

DATAGRAM_HEADER_BYTES = 28  # IPv4 and UDP
# Around a body: kind, lengths, and the name and address of the sender at their usual lengths
ENVELOPE_BYTES = 40
EXCHANGE_HEADER_BYTES = 700  # opening and closing a TCP connection, and HTTP headers in both directions
VERSION_BYTES = 19  # a version and a digest, if term and number of the version are at most 65,535


class Peer(NamedTuple):
    """A gateway, with the address at which other gateways reach it."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Change:
    """One encoded change of the document from version `base` to `version`; `digest`: after the change."""

    base: Version
    version: Version
    digest: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Announcement:
    """The current version of the sender.

    A gateway with an older version requests the changes by announcing its own version to the sender.
    """

    fleet: str
    version: Version
    digest: int


@dataclass(frozen=True, slots=True)
class Push:
    """Consecutive changes in one datagram."""

    fleet: str
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Pull:
    """A request by an exchange for the changes after version `current`, or for the complete document.

    `offset`: the position in the complete document of version `target` from which to go on.
    """

    fleet: str
    current: Version
    wants_complete_document: bool = False
    target: Version = NO_VERSION
    offset: int = 0


@dataclass(frozen=True, slots=True)
class ChangesAnswer:
    """The answer to a pull with changes after the version of the pull; empty if they are not stored."""

    fleet: str
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class PartAnswer:
    """The answer to a pull with a part of the complete document: `data` at `offset` of all `size` bytes."""

    fleet: str
    version: Version
    digest: int
    size: int
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class BusyAnswer:
    """The answer of a gateway that is too busy to serve a pull, which may be repeated after `wait` ns."""

    fleet: str
    wait: int


class OutgoingMessage(NamedTuple):
    """A message to send. A `Pull` is sent by an exchange, which has an answer; all others as datagrams."""

    to: Peer
    message: Announcement | Push | Pull


def changes_size(changes: Iterable[Change]) -> int:
    """The size of the changes within a message, bytes."""
    return sum(len(change.data) + 2 * VERSION_BYTES for change in changes)


def wire_size(message: Announcement | Push | Pull | ChangesAnswer | PartAnswer | BusyAnswer) -> int:
    """The size of a message on the wire, bytes. The headers of an exchange count as part of the pull."""
    body = ENVELOPE_BYTES + len(message.fleet) + VERSION_BYTES
    if isinstance(message, Pull):
        return EXCHANGE_HEADER_BYTES + body
    if isinstance(message, Push | ChangesAnswer):
        body += changes_size(message.changes)
    elif isinstance(message, PartAnswer):
        body += len(message.data)
    return DATAGRAM_HEADER_BYTES + body
