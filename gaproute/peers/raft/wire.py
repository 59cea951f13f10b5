"""Encodes the messages of a Raft group and its clients as MessagePack; decodes them strictly, within limits.

A batch is [version, sender's name, [messages]]. One malformed message makes the whole batch malformed,
because a correct peer never sends one.
"""

from collections.abc import Sequence
from typing import Annotated, NamedTuple

import msgspec
from msgspec import Meta

from gaproute.errors import GaprouteError
from gaproute.shared.messages import MAX_NAME_LENGTH
from gaproute.shared.raft.messages import MAX_SNAPSHOT_BYTES, RaftMessage

PROTOCOL_VERSION = 1
MAX_BATCH_MESSAGES = 64  # the messages of a few heartbeat intervals
FULL_BATCH_BYTES = 512 << 10  # a message that would bring a batch to this size is left for the next batch
# A batch with one snapshot and the messages that are sent with it.
MAX_BATCH_BYTES = MAX_SNAPSHOT_BYTES + FULL_BATCH_BYTES
ARRAY_OF_THREE = b"\x93"  # first byte of an array of three elements in MessagePack

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(
    tuple[
        int,
        Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)],
        Annotated[list[RaftMessage], Meta(min_length=1, max_length=MAX_BATCH_MESSAGES)],
    ]
)


class Batch(NamedTuple):
    """The messages that a gateway sent in one batch."""

    sender: str
    messages: list[RaftMessage]


class MalformedBatchError(GaprouteError, ValueError):
    """The data is not a valid batch; the transport counts rejected batches by the text of this error."""


def encode_message(message: RaftMessage) -> bytes:
    """Encodes one message."""
    return _encoder.encode(message)


def encode_batch(sender: str, messages: Sequence[bytes]) -> bytes:
    """Encodes a batch of messages that are already encoded."""
    return _encoder.encode((PROTOCOL_VERSION, sender, [msgspec.Raw(message) for message in messages]))


def decode_batch(data: bytes) -> Batch:
    """Decodes a batch. Raises MalformedBatchError."""
    if len(data) > MAX_BATCH_BYTES:
        raise MalformedBatchError("too long")
    if data[:1] != ARRAY_OF_THREE:
        raise MalformedBatchError("noise")
    if data[1:2] != bytes((PROTOCOL_VERSION,)):
        raise MalformedBatchError("version")
    try:
        _, sender, messages = _decoder.decode(data)
    except (ValueError, RecursionError):
        raise MalformedBatchError("noise") from None
    return Batch(sender, messages)
