"""The records that a node writes to its disk, and how they are read back.

Tags and the order of the fields are a stored form and never change.
"""

from typing import TypeAlias

import msgspec

from gaproute.shared.messages import Count, Message, Name
from gaproute.shared.raft.messages import Entry, Members


class IdentityRecord(Message, frozen=True, tag=1):
    """The first record of every disk: whose it is. The incarnation is drawn once for an empty disk."""

    name: Name
    incarnation: Count


class VoteRecord(Message, frozen=True, tag=2):
    """The term, and the candidate that got the vote in it; an empty name: nobody yet."""

    term: Count
    name: Name
    incarnation: Count


class EntryRecord(Message, frozen=True, tag=3):
    """An entry at its index; whatever was at this index and behind it is replaced."""

    index: Count
    entry: Entry


class SnapshotRecord(Message, frozen=True, tag=4):
    """The state after the entry `last_included_index`; entries up to it are gone."""

    last_included_index: Count
    last_included_term: Count
    members: Members
    state: bytes


Record: TypeAlias = IdentityRecord | VoteRecord | EntryRecord | SnapshotRecord

_decoder = msgspec.msgpack.Decoder(Record)


def encode(record: Record) -> bytes:
    """The record as bytes."""
    return msgspec.msgpack.encode(record)


def decode(data: bytes) -> Record:
    """The record of these bytes. Raises ValueError where there is none (msgspec's errors are ValueErrors)."""
    return _decoder.decode(data)
