"""What a keeper writes to its disk, a record each, and how it is read back."""

from typing import NamedTuple

import msgspec

from gaproute.shared.messages import Count, Message, Name
from gaproute.shared.raft.messages import Entry, Members


class Lost(NamedTuple):
    """What `disk.read` returns where what was there cannot be trusted."""

    why: str


class Identity(Message, tag=1):
    """The head of every disk: whose it is. A life is drawn once for an empty disk."""

    name: Name
    life: Count


class Voted(Message, tag=2):
    """The term, and who got the vote in it (empty: nobody yet)."""

    term: Count
    name: Name
    life: Count


class Written(Message, tag=3):
    """An entry at its index; whatever was at this index and behind it is replaced."""

    index: Count
    entry: Entry


class Snapshot(Message, tag=4):
    """The state after the entry `index` of term `last`; entries up to it are gone."""

    index: Count
    last: Count
    members: Members
    state: bytes


encode = msgspec.msgpack.encode
_decode = msgspec.msgpack.Decoder(Identity | Voted | Written | Snapshot).decode


def decode(data):
    """Errors: ValueError where it is none of ours (msgspec's errors are ValueErrors)."""
    return _decode(data)
