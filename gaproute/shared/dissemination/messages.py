"""The messages that gateways exchange, and their size on the wire."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from gaproute.decisions.cells.version import Version

NO_VERSION = Version(-1, -1)  # the version of a gateway without a document: below every other

DATAGRAM_HEADERS = 28  # IPv4 and UDP
ENVELOPE_BYTES = 40  # beside a body: kind, lengths, and the sender's name and address at their usual lengths
EXCHANGE_HEADERS = 700  # of a TCP connection that is opened and closed, with HTTP headers in both directions
VERSION_BYTES = 19  # a version and a digest, if neither part of the version is above 65,535


class Peer(NamedTuple):
    """A gateway, with the address at which others reach it."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Change:
    """One encoded change from version `base` to `version`; `digest`: of the document after it."""

    base: Version
    version: Version
    digest: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Announcement:
    """The version that the sender has. A gateway with an older one requests the changes by announcing
    that.
    """

    fleet: str
    version: Version
    digest: int


@dataclass(frozen=True, slots=True)
class Push:
    """Changes that follow one another."""

    fleet: str
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Pull:
    """A request by an exchange: the changes after version `current`, or the complete document.

    `offset`: where to go on in the complete document of version `target`.
    """

    fleet: str
    current: Version
    wants_complete_document: bool = False
    target: Version = NO_VERSION
    offset: int = 0


@dataclass(frozen=True, slots=True)
class ChangesAnswer:
    """The answer to a pull with the changes after the requested version; none if they are not stored."""

    fleet: str
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class PartAnswer:
    """The answer to a pull with `data` from `offset` on, of the `size` bytes of the complete document."""

    fleet: str
    version: Version
    digest: int
    size: int
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class BusyAnswer:
    """The answer to a pull that it is to be repeated after `wait` ns."""

    fleet: str
    wait: int


class OutgoingMessage(NamedTuple):
    """A message to send: a `Pull` by an exchange, whose answer is awaited; all others as datagrams."""

    to: Peer
    message: Announcement | Push | Pull


def changes_size(changes: Iterable[Change]) -> int:
    """The size of changes within a message, bytes."""
    return sum(len(change.data) + 2 * VERSION_BYTES for change in changes)


def wire_size(message: Announcement | Push | Pull | ChangesAnswer | PartAnswer | BusyAnswer) -> int:
    """The size on the wire with headers, bytes; the size of an exchange counts for the pull."""
    body = ENVELOPE_BYTES + len(message.fleet) + VERSION_BYTES
    if isinstance(message, Pull):
        return EXCHANGE_HEADERS + body
    if isinstance(message, Push | ChangesAnswer):
        body += changes_size(message.changes)
    elif isinstance(message, PartAnswer):
        body += len(message.data)
    return DATAGRAM_HEADERS + body
