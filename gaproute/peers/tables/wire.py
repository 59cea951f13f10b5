"""Messages of the dissemination as bytes and back: MessagePack, strict and bounded; no sockets."""

from typing import Annotated

import msgspec
from msgspec import Meta

from gaproute.decisions.cells.bounds import MAX_NAME
from gaproute.decisions.cells.table import Version
from gaproute.shared.dissemination.bounds import ANSWER_BYTES, MAX_WHOLE, PART_BYTES, PUSH_BYTES
from gaproute.shared.dissemination.messages import (
    Announcement,
    Busy,
    Change,
    Changes,
    Part,
    Pull,
    Push,
)

LONGEST_DATAGRAM = PUSH_BYTES + 500
LONGEST_ANSWER = max(ANSWER_BYTES, PART_BYTES) + 2_000
LARGEST = (1 << 63) - 1

Text = Annotated[str, Meta(min_length=1, max_length=MAX_NAME)]
VersionPart = Annotated[int, Meta(ge=-1, le=LARGEST)]
WireVersion = tuple[VersionPart, VersionPart]
Place = Annotated[int, Meta(ge=0, le=MAX_WHOLE)]


class _Message(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    fleet: Text


class _Change(msgspec.Struct, array_like=True, forbid_unknown_fields=True):
    base: WireVersion
    version: WireVersion
    digest: int
    data: bytes


class _Announcement(_Message, tag=1):
    where: Text
    version: WireVersion
    digest: int


class _Push(_Message, tag=2):
    where: Text
    changes: Annotated[list[_Change], Meta(min_length=1)]


class _Pull(_Message, tag=3):
    held: WireVersion
    whole: bool
    wanted: WireVersion
    place: Place


class _Changes(_Message, tag=4):
    changes: list[_Change]


class _Part(_Message, tag=5):
    version: WireVersion
    digest: int
    size: Place
    place: Place
    data: bytes


class _Busy(_Message, tag=6):
    wait: Annotated[int, Meta(ge=0, le=LARGEST)]


_encode = msgspec.msgpack.Encoder().encode
_datagram = msgspec.msgpack.Decoder(_Announcement | _Push).decode
_pull = msgspec.msgpack.Decoder(_Pull).decode
_answer = msgspec.msgpack.Decoder(_Changes | _Part | _Busy).decode


def encode_datagram(message: Announcement | Push, where: str) -> bytes:
    """Bytes of a datagram; `where`: the address at which its sender is reached."""
    if isinstance(message, Push):
        return _encode(_Push(message.fleet, where, _packed(message.changes)))
    return _encode(_Announcement(message.fleet, where, message.version, message.digest))


def decode_datagram(data: bytes) -> tuple[str, Announcement | Push] | None:
    """The sender's address and the message; None where it is none."""
    told = _read(_datagram, data, LONGEST_DATAGRAM)
    if isinstance(told, _Push):
        return told.where, Push(told.fleet, _unpacked(told.changes))
    if isinstance(told, _Announcement):
        return told.where, Announcement(told.fleet, Version(*told.version), told.digest)
    return None


def encode_pull(pull: Pull) -> bytes:
    """Bytes of a pull."""
    return _encode(_Pull(pull.fleet, pull.held, pull.whole, pull.wanted, pull.place))


def decode_pull(data: bytes) -> Pull | None:
    """The pull; None where it is none."""
    told = _read(_pull, data, LONGEST_DATAGRAM)
    if told is None:
        return None
    return Pull(told.fleet, Version(*told.held), told.whole, Version(*told.wanted), told.place)


def encode_answer(answer: Changes | Part | Busy) -> bytes:
    """Bytes of an answer to a pull."""
    if isinstance(answer, Changes):
        return _encode(_Changes(answer.fleet, _packed(answer.changes)))
    if isinstance(answer, Part):
        head = answer.fleet, answer.version, answer.digest, answer.size, answer.place
        return _encode(_Part(*head, answer.data))
    return _encode(_Busy(answer.fleet, answer.wait))


def decode_answer(data: bytes) -> Changes | Part | Busy | None:
    """The answer; None where it is none."""
    told = _read(_answer, data, LONGEST_ANSWER)
    if isinstance(told, _Changes):
        return Changes(told.fleet, _unpacked(told.changes))
    if isinstance(told, _Part):
        version = Version(*told.version)
        return Part(told.fleet, version, told.digest, told.size, told.place, told.data)
    return None if told is None else Busy(told.fleet, told.wait)


def _packed(changes):
    return [_Change(change.base, change.version, change.digest, change.data) for change in changes]


def _unpacked(changes):
    return tuple(
        Change(Version(*change.base), Version(*change.version), change.digest, change.data)
        for change in changes
    )


def _read(decode, data, longest):
    if len(data) > longest:
        return None
    try:
        return decode(data)
    except (ValueError, RecursionError):
        return None
