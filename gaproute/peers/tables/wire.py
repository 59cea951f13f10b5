"""Encodes and decodes messages of the dissemination as MessagePack, strict and bounded; no sockets."""

from collections.abc import Callable
from typing import Annotated, NamedTuple, TypeVar

import msgspec
from msgspec import Meta

from gaproute.decisions.cells.bounds import MAX_NAME_LENGTH
from gaproute.decisions.cells.version import Version
from gaproute.shared.dissemination.bounds import (
    MAX_CHANGES_BYTES,
    MAX_DOCUMENT_BYTES,
    MAX_PART_BYTES,
    MAX_PUSH_BYTES,
)
from gaproute.shared.dissemination.messages import (
    Announcement,
    BusyAnswer,
    Change,
    ChangesAnswer,
    PartAnswer,
    Pull,
    Push,
)

MAX_DATAGRAM_BYTES = MAX_PUSH_BYTES + 500
MAX_ANSWER_BYTES = max(MAX_CHANGES_BYTES, MAX_PART_BYTES) + 2_000
MAX_INTEGER = (1 << 63) - 1

Decoded = TypeVar("Decoded")

Text = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
VersionPart = Annotated[int, Meta(ge=-1, le=MAX_INTEGER)]
WireVersion = tuple[VersionPart, VersionPart]
Offset = Annotated[int, Meta(ge=0, le=MAX_DOCUMENT_BYTES)]


class _Message(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    fleet: Text


class _Change(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    base: WireVersion
    version: WireVersion
    digest: int
    data: bytes


class _Announcement(_Message, tag=1):
    address: Text
    version: WireVersion
    digest: int


class _Push(_Message, tag=2):
    address: Text
    changes: Annotated[list[_Change], Meta(min_length=1)]


class _Pull(_Message, tag=3):
    current: WireVersion
    whole: bool
    target: WireVersion
    offset: Offset


class _Changes(_Message, tag=4):
    changes: list[_Change]


class _Part(_Message, tag=5):
    version: WireVersion
    digest: int
    size: Offset
    offset: Offset
    data: bytes


class _Busy(_Message, tag=6):
    wait: Annotated[int, Meta(ge=0, le=MAX_INTEGER)]


_encode = msgspec.msgpack.Encoder().encode
_datagram = msgspec.msgpack.Decoder(_Announcement | _Push).decode
_pull = msgspec.msgpack.Decoder(_Pull).decode
_answer = msgspec.msgpack.Decoder(_Changes | _Part | _Busy).decode


class Datagram(NamedTuple):
    """A decoded datagram; `address`: where other gateways reach its sender."""

    address: str
    message: Announcement | Push


def encode_datagram(message: Announcement | Push, address: str) -> bytes:
    """Encodes a datagram; `address`: where its sender is reached."""
    if isinstance(message, Push):
        return _encode(_Push(message.fleet, address, _encode_changes(message.changes)))
    return _encode(_Announcement(message.fleet, address, message.version, message.digest))


def decode_datagram(data: bytes) -> Datagram | None:
    """Decodes a datagram; None if it cannot be decoded."""
    decoded = _read(_datagram, data, MAX_DATAGRAM_BYTES)
    if isinstance(decoded, _Push):
        return Datagram(decoded.address, Push(decoded.fleet, _decode_changes(decoded.changes)))
    if isinstance(decoded, _Announcement):
        announcement = Announcement(decoded.fleet, Version(*decoded.version), decoded.digest)
        return Datagram(decoded.address, announcement)
    return None


def encode_pull(pull: Pull) -> bytes:
    """Encodes a pull."""
    return _encode(_Pull(pull.fleet, pull.current, pull.wants_complete_document, pull.target, pull.offset))


def decode_pull(data: bytes) -> Pull | None:
    """Decodes a pull; None if it cannot be."""
    decoded = _read(_pull, data, MAX_DATAGRAM_BYTES)
    if decoded is None:
        return None
    current, target = Version(*decoded.current), Version(*decoded.target)
    return Pull(decoded.fleet, current, decoded.whole, target, decoded.offset)


def encode_answer(answer: ChangesAnswer | PartAnswer | BusyAnswer) -> bytes:
    """Encodes an answer to a pull."""
    if isinstance(answer, ChangesAnswer):
        return _encode(_Changes(answer.fleet, _encode_changes(answer.changes)))
    if isinstance(answer, PartAnswer):
        part = _Part(answer.fleet, answer.version, answer.digest, answer.size, answer.offset, answer.data)
        return _encode(part)
    return _encode(_Busy(answer.fleet, answer.wait))


def decode_answer(data: bytes) -> ChangesAnswer | PartAnswer | BusyAnswer | None:
    """Decodes an answer; None if it cannot be."""
    decoded = _read(_answer, data, MAX_ANSWER_BYTES)
    if isinstance(decoded, _Changes):
        return ChangesAnswer(decoded.fleet, _decode_changes(decoded.changes))
    if isinstance(decoded, _Part):
        version = Version(*decoded.version)
        return PartAnswer(decoded.fleet, version, decoded.digest, decoded.size, decoded.offset, decoded.data)
    return None if decoded is None else BusyAnswer(decoded.fleet, decoded.wait)


def _encode_changes(changes: tuple[Change, ...]) -> list[_Change]:
    return [_Change(change.base, change.version, change.digest, change.data) for change in changes]


def _decode_changes(changes: list[_Change]) -> tuple[Change, ...]:
    return tuple([_decode_change(change) for change in changes])


def _decode_change(change: _Change) -> Change:
    return Change(Version(*change.base), Version(*change.version), change.digest, change.data)


def _read(decode: Callable[[bytes], Decoded], data: bytes, max_bytes: int) -> Decoded | None:
    """Decodes the bytes; None if they are too long or cannot be decoded."""
    if len(data) > max_bytes:
        return None
    try:
        return decode(data)
    except (ValueError, RecursionError):
        return None
