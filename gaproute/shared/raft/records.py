"""What a node writes to its disk, a record each, and how it is read back."""

from typing import NamedTuple

import msgspec

from gaproute.shared.messages import Count, Message, Name
from gaproute.shared.raft.messages import Entry, Members


class Lost(NamedTuple):
    """What `disk.read` returns where what was there cannot be trusted."""

    why: str


class IdentityRecord(Message, tag=1):
    """The head of every disk: whose it is. A incarnation is drawn once for an empty disk."""

    name: Name
    incarnation: Count


class VoteRecord(Message, tag=2):
    """The term, and who got the vote in it (empty: nobody yet)."""

    term: Count
    name: Name
    incarnation: Count


class EntryRecord(Message, tag=3):
    """An entry at its index; whatever was at this index and behind it is replaced."""

    index: Count
    entry: Entry


class SnapshotRecord(Message, tag=4):
    """The state after the entry `last_included_index` of `last_included_term`; entries up to it are gone."""

    last_included_index: Count
    last_included_term: Count
    members: Members
    state: bytes


encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.Decoder(IdentityRecord | VoteRecord | EntryRecord | SnapshotRecord).decode


def decode(data):
    """Errors: ValueError where it is none of ours (msgspec's errors are ValueErrors)."""
    return _decode(data)
