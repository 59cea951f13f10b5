"""The records that a node writes to its disk, with their encoding and decoding."""

from typing import TypeAlias

import msgspec

from gaproute.shared.messages import Count, Message, Name
from gaproute.shared.raft.messages import Entry, Members


class IdentityRecord(Message, frozen=True, tag=1):
    """The first record of every disk: the node that owns it. The incarnation is drawn for an empty disk."""

    name: Name
    incarnation: Count


class VoteRecord(Message, frozen=True, tag=2):
    """The current term and the candidate that got the node's vote in it; the name is empty before a vote."""

    term: Count
    name: Name
    incarnation: Count


class EntryRecord(Message, frozen=True, tag=3):
    """A log entry and its index; it replaces an earlier entry at this index and drops all later ones."""

    index: Count
    entry: Entry


class SnapshotRecord(Message, frozen=True, tag=4):
    """The state after the entry at `last_included_index`, which replaces the entries up to that index."""

    last_included_index: Count
    last_included_term: Count
    members: Members
    state: bytes


Record: TypeAlias = IdentityRecord | VoteRecord | EntryRecord | SnapshotRecord

_decoder = msgspec.msgpack.Decoder(Record)


def encode(record: Record) -> bytes:
    """Encodes a record."""
    return msgspec.msgpack.encode(record)


def decode(data: bytes) -> Record:
    """Decodes a record. Errors: ValueError (msgspec's errors are ValueErrors)."""
    return _decoder.decode(data)
