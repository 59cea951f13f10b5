"""The records that a node writes to its disk, and how they are decoded."""

from typing import TypeAlias

import msgspec

from gaproute.shared.messages import Count, Message, Name
from gaproute.shared.raft.messages import Entry, Members


class IdentityRecord(Message, frozen=True, tag=1):
    """The first record of every disk: the node that owns it. The incarnation is drawn once, for an empty
    disk.
    """

    name: Name
    incarnation: Count


class VoteRecord(Message, frozen=True, tag=2):
    """The term, and the candidate that got the vote in it; an empty name: none yet."""

    term: Count
    name: Name
    incarnation: Count


class EntryRecord(Message, frozen=True, tag=3):
    """An entry at its index; it replaces the entry at this index and all later ones."""

    index: Count
    entry: Entry


class SnapshotRecord(Message, frozen=True, tag=4):
    """The state after the entry `last_included_index`; entries up to it are dropped."""

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
