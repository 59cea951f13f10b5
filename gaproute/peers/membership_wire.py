"""Encodes the datagrams of membership as protobuf, and payloads of other parts in the same envelope."""

from enum import IntEnum
from typing import NamedTuple

from google.protobuf.message import DecodeError

from gaproute.peers import word_pb2
from gaproute.shared.membership import MembershipMessage, MemberUpdate, MessageKind

PROTOCOL_VERSION = 1


class PayloadKind(IntEnum):
    """The other parts whose payloads use the same datagrams; numbered as on the wire, after `MessageKind`."""

    GOSSIP = 6
    CELL_TABLE = 7


# By number: a look-up costs less than a call of the Enum.
MESSAGE_KINDS_BY_NUMBER = {kind.value: kind for kind in MessageKind}
PAYLOAD_KINDS_BY_NUMBER = {kind.value: kind for kind in PayloadKind}


class Payload(NamedTuple):
    """A payload of another part."""

    kind: PayloadKind
    sender: str  # the name of a gateway
    data: bytes


def encode_message(message: MembershipMessage) -> bytes:
    """The datagram of a message."""
    envelope = word_pb2.Word(
        version=PROTOCOL_VERSION, kind=message.kind, number=message.sequence, target=message.target
    )
    filled = [(envelope.sender, message.sender)]
    filled += [(envelope.news.add(), update) for update in message.updates]
    for fields, update in filled:
        fields.name, fields.where, fields.state, fields.incarnation = update
    return bytes(envelope.SerializeToString())


def encode_payload(kind: PayloadKind, sender: str, data: bytes) -> bytes:
    """The datagram of another part's payload."""
    envelope = word_pb2.Word(version=PROTOCOL_VERSION, kind=kind, weak=data)
    envelope.sender.name = sender
    return bytes(envelope.SerializeToString())


def decode_datagram(data: bytes) -> MembershipMessage | Payload | None:
    """The content of a datagram; None if it cannot be decoded.

    A message of a version one above or below this one's can be decoded; one of an unknown kind cannot.
    """
    try:
        envelope = word_pb2.Word.FromString(data)
    except DecodeError:
        return None
    if abs(envelope.version - PROTOCOL_VERSION) > 1:
        return None
    payload_kind = PAYLOAD_KINDS_BY_NUMBER.get(envelope.kind)
    if payload_kind is not None:
        return Payload(payload_kind, envelope.sender.name, envelope.weak)
    kind = MESSAGE_KINDS_BY_NUMBER.get(envelope.kind)
    if kind is None:
        return None
    sender, *updates = [
        MemberUpdate(each.name, each.where, each.state, each.incarnation)
        for each in (envelope.sender, *envelope.news)
    ]
    return MembershipMessage(kind, envelope.number, sender, envelope.target, tuple(updates))


def decode_message(data: bytes) -> MembershipMessage | None:
    """The message of membership in the datagram; None for any other datagram."""
    message = decode_datagram(data)
    return message if isinstance(message, MembershipMessage) else None
