"""Members of the change log, as JSON has them, and what their fields say."""

import math
from typing import Any

import msgspec

from gaproute.interface import State
from gaproute.units import MILLI

STATES_BY_PHASE = {"Ready": State.ACTIVE, "Terminating": State.DRAINING, "Gone": State.GONE}
DEFAULT_CAPACITY = 1.0  # of a host whose size makes no sense


class MemberRecord(msgspec.Struct):
    """A member of a list as the log has it; the fields' names are those on the wire."""

    id: str
    host_port: str
    phase: str
    locality: str | int = ""
    cell: int | str = 0
    size: float | None = 1.0
    up_since_ms: float | None = 0


class MemberName(msgspec.Struct):
    """What is read of a member that cannot be read as a whole."""

    id: str


class MemberState(msgspec.Struct):
    """The part of a member that says whether its host is there."""

    id: str
    phase: Any = None


decode_member = msgspec.json.Decoder(MemberRecord, strict=False).decode  # a number may come as a string
decode_member_name = msgspec.json.Decoder(MemberName).decode
_decode_state = msgspec.json.Decoder(MemberState).decode

# What decoding a member may raise; msgspec's own are a ValueError.
DECODING_ERRORS = (ValueError, RecursionError)


def decode_member_state(raw: msgspec.Raw) -> tuple[str, Any]:
    """(name, phase) of a member that may not be readable otherwise. Errors: `DECODING_ERRORS`."""
    state = _decode_state(raw)
    return state.id, state.phase


def canonical_member(raw: msgspec.Raw) -> bytes:
    """The same bytes for the same member however it is written; one that cannot be read as it came."""
    try:
        return msgspec.json.encode(decode_member(raw))
    except DECODING_ERRORS:
        return bytes(raw)


def capacity_of(member: MemberRecord) -> float:
    """The member's size, where it is a capacity."""
    size = member.size
    return size if size is not None and 0 < size < math.inf else DEFAULT_CAPACITY


def reported_start_of(member: MemberRecord) -> int | None:
    """The member's start, ns since 1970, to the millisecond; None where it makes no sense."""
    start = member.up_since_ms
    return int(start) * MILLI or None if start is not None and 0 < start < math.inf else None
