"""The JSON form of the members in the change log, and the interpretation of their fields."""

import math
from typing import Any

import msgspec

from gaproute.interface import ListedHostState
from gaproute.units import MILLI

STATES_BY_PHASE = {
    "Ready": ListedHostState.ACTIVE,
    "Terminating": ListedHostState.DRAINING,
    "Gone": ListedHostState.GONE,
}
DEFAULT_CAPACITY = 1.0  # of a host whose reported size is not positive and finite


class MemberRecord(msgspec.Struct):
    """A member of a host list in the change log; the field names are those on the wire."""

    id: str
    host_port: str
    phase: str
    locality: str | int = ""
    cell: int | str = 0
    size: float | None = 1.0
    up_since_ms: float | None = 0


class MemberName(msgspec.Struct):
    """The name of a member whose other fields may be invalid."""

    id: str


class MemberState(msgspec.Struct):
    """The name and phase of a member whose other fields may be invalid."""

    id: str
    phase: Any = None


decode_member = msgspec.json.Decoder(MemberRecord, strict=False).decode  # accepts numbers written as strings
decode_member_name = msgspec.json.Decoder(MemberName).decode
_decode_state = msgspec.json.Decoder(MemberState).decode

# The exceptions that decoding a member may raise; the exceptions of msgspec are ValueErrors.
DECODING_ERRORS = (ValueError, RecursionError)


def decode_member_state(raw: msgspec.Raw) -> tuple[str, Any]:
    """(name, phase) of a member whose other fields may be invalid. Errors: `DECODING_ERRORS`."""
    state = _decode_state(raw)
    return state.id, state.phase


def canonical_member(raw: msgspec.Raw) -> bytes:
    """Encodes a member independently of its JSON formatting; an invalid member is returned unchanged."""
    try:
        return msgspec.json.encode(decode_member(raw))
    except DECODING_ERRORS:
        return bytes(raw)


def capacity_of(member: MemberRecord) -> float:
    """The member's size if it is positive and finite, else the default capacity."""
    size = member.size
    return size if size is not None and 0 < size < math.inf else DEFAULT_CAPACITY


def reported_start_of(member: MemberRecord) -> int | None:
    """The member's start time, ns since 1970, in whole milliseconds; None if missing or invalid."""
    start = member.up_since_ms
    return int(start) * MILLI or None if start is not None and 0 < start < math.inf else None
