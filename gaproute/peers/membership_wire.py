"""Encodes membership messages and payloads of other components as datagrams in one protobuf envelope."""

from enum import IntEnum
from typing import NamedTuple

from google.protobuf.message import DecodeError

from gaproute.peers import datagram_pb2
from gaproute.shared.membership import MembershipMessage, MemberUpdate, MessageKind

PROTOCOL_VERSION = 1


class PayloadKind(IntEnum):
    """The kinds of payloads of other components; their wire numbers continue those of `MessageKind`."""

    GOSSIP = 6
    CELL_TABLE = 7


# Looking a number up in a dict costs less than calling the Enum class.
MESSAGE_KINDS_BY_NUMBER = {kind.value: kind for kind in MessageKind}
PAYLOAD_KINDS_BY_NUMBER = {kind.value: kind for kind in PayloadKind}


class Payload(NamedTuple):
    """A payload of another component, such as gossip."""

    kind: PayloadKind
    sender: str  # name of the gateway that sent the datagram
    data: bytes


def encode_message(message: MembershipMessage) -> bytes:
    """Encodes a membership message as a datagram."""
    envelope = datagram_pb2.Word(
        version=PROTOCOL_VERSION, kind=message.kind, number=message.sequence, target=message.target
    )
    fields_and_updates = [(envelope.sender, message.sender)]
    fields_and_updates += [(envelope.news.add(), update) for update in message.updates]
    for fields, update in fields_and_updates:
        fields.name, fields.where, fields.state, fields.incarnation = update
    return bytes(envelope.SerializeToString())


def encode_payload(kind: PayloadKind, sender: str, data: bytes) -> bytes:
    """Encodes a payload of another component as a datagram."""
    envelope = datagram_pb2.Word(version=PROTOCOL_VERSION, kind=kind, weak=data)
    envelope.sender.name = sender
    return bytes(envelope.SerializeToString())


def decode_datagram(data: bytes) -> MembershipMessage | Payload | None:
    """Decodes a datagram; None if it is malformed, of an unknown kind or of an unsupported version.

    Protocol versions one below and one above `PROTOCOL_VERSION` are supported too.
    """
    try:
        envelope = datagram_pb2.Word.FromString(data)
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
    """Decodes a datagram with a membership message; None for any other datagram."""
    message = decode_datagram(data)
    return message if isinstance(message, MembershipMessage) else None
