"""What gateways send each other, and what that costs on the wire."""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import NamedTuple

from gaproute.decisions.cells.version import Version

NOTHING = Version(-1, -1)  # the version of one that has no document: below every other

DATAGRAM_HEADERS = 28  # IPv4 and UDP
ENVELOPE_BYTES = 40  # beside a body: kind, lengths, sender's name and address where they are as long as usual
EXCHANGE_HEADERS = 700  # a TCP connection opened and closed, HTTP heads of both directions
VERSION_BYTES = 19  # a version and a digest, where neither part of the version is beyond 65,535


class Peer(NamedTuple):
    """A gateway, with the address that others reach it by."""

    name: str
    address: str


@dataclass(frozen=True, slots=True)
class Change:
    """One encoded change: leads from version `base` to `version`; `digest` is that of the document after."""

    base: Version
    version: Version
    digest: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Announcement:
    """The version that the sender holds. Whoever holds an older one asks by announcing that."""

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
    """By an exchange: the changes that follow version `current`, or the `whole` document.

    `offset`: where to go on in the whole document of version `target`.
    """

    fleet: str
    current: Version
    whole: bool = False
    target: Version = NOTHING
    offset: int = 0


@dataclass(frozen=True, slots=True)
class Changes:
    """Answer to a pull: changes that follow the asker's version, none where the log has none."""

    fleet: str
    changes: tuple[Change, ...]


@dataclass(frozen=True, slots=True)
class Part:
    """Answer to a pull: `data` from `offset` on, of the `size` bytes of the whole document."""

    fleet: str
    version: Version
    digest: int
    size: int
    offset: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Busy:
    """Answer to a pull: ask again after `wait` nanoseconds."""

    fleet: str
    wait: int


class Send(NamedTuple):
    """A message on its way: a `Pull` by an exchange whose answer comes back, all others as datagrams."""

    to: Peer
    message: Announcement | Push | Pull


def changes_size(changes: Iterable[Change]) -> int:
    """Bytes of changes within a message."""
    return sum(len(change.data) + 2 * VERSION_BYTES for change in changes)


def wire_size(message: Announcement | Push | Pull | Changes | Part | Busy) -> int:
    """Bytes on the wire, headers included; exchanges are charged to the pull."""
    body = ENVELOPE_BYTES + len(message.fleet) + VERSION_BYTES
    if isinstance(message, Pull):
        return EXCHANGE_HEADERS + body
    if isinstance(message, Push | Changes):
        body += changes_size(message.changes)
    elif isinstance(message, Part):
        body += len(message.data)
    return DATAGRAM_HEADERS + body
