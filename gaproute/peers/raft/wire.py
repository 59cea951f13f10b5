"""Messages of keepers and holders as bytes and back: MessagePack, strict, bounded; no sockets, no choices.

A batch is [version, sender's name, [messages]]. One message that is none makes the whole batch none: no
peer that is in its right mind sends one.
"""

from typing import Annotated

import msgspec
from msgspec import Meta

from gaproute.shared.messages import NAME
from gaproute.shared.raft.messages import MAX_SNAPSHOT_BYTES, RaftMessage

VERSION = 1
MANY = 64  # messages in a batch: those of a few beats
BATCH = 512 << 10  # bytes after which no further message joins a batch
LONGEST = MAX_SNAPSHOT_BYTES + BATCH  # bytes of a batch: one snapshot and what went with it
HEAD = b"\x93"  # MessagePack's mark of an array of three

_one = msgspec.msgpack.Encoder().encode
_read = msgspec.msgpack.Decoder(
    tuple[
        int,
        Annotated[str, Meta(min_length=1, max_length=NAME)],
        Annotated[list[RaftMessage], Meta(min_length=1, max_length=MANY)],
    ]
).decode


def pack(message):
    return _one(message)


def batch(sender, packed):
    """Bytes of a batch; `packed`: messages by `pack`."""
    return _one((VERSION, sender, [msgspec.Raw(each) for each in packed]))


def read(data):
    """(sender, [messages]). Errors: ValueError whose text is the reason it is counted under."""
    if len(data) > LONGEST:
        raise ValueError("too long")
    if data[:1] != HEAD:
        raise ValueError("noise")
    if data[1:2] != bytes((VERSION,)):
        raise ValueError("version")
    try:
        _, sender, messages = _read(data)
    except (ValueError, RecursionError):
        raise ValueError("noise") from None
    return sender, messages
