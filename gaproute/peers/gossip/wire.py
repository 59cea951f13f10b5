"""Encodes and decodes gossip messages, little-endian; bytes that are not exactly one message are rejected.

    message: version u8 (1), incarnation u64, sets u8, then each set
    set:     kind u8, partition u8, sequence u32, age u16 (10 ms), remainder u8 (scale), entries u16
    entry:   requests in flight, available capacity: host u32, amount u8 (scale)
             demand: function u32, request class u8, rate u8 (scale of hundredths),
                     deviation u16 (hundredths of the rate)
             warm instances: host u32, function u32, age u16 (10 ms)

The scale: code c stands for the amount 2^(c/12) - 1. Rates and their remainder are sent in hundredths, so
that a rate of three requests a second is decoded as three.
"""

import struct
from bisect import bisect
from collections.abc import Iterable
from itertools import pairwise
from struct import Struct
from typing import cast

from gaproute.errors import GaprouteError
from gaproute.shared.gossip.messages import (
    AMOUNT_SCALE,
    KIND_LIMITS,
    MAX_SETS_PER_GATEWAY,
    DemandEntry,
    Entries,
    EntryKind,
    EntrySet,
    GossipMessage,
    HostEntry,
    WarmInstanceEntry,
)

VERSION = 1
AGE_UNIT = 10_000_000  # ns; the longest age is 655 s, twice that at which any set expires
MAX_AGE_UNITS = 65_535
RATE_UNITS = 100  # rates are sent in hundredths of a request a second
MAX_RELATIVE_DEVIATION = 655.0  # of the rate
MAX_WARM_AGE = KIND_LIMITS[EntryKind.WARM_INSTANCES].max_age
MAX_BYTES = 1200  # fits in one unfragmented datagram on every usual network

MESSAGE_HEADER, SET_HEADER = Struct("<BQB"), Struct("<BBIHBH")
HOST_ENTRY, DEMAND_ENTRY, WARM_ENTRY = Struct("<IB"), Struct("<IBBH"), Struct("<IIH")
ENTRY_STRUCTS = (HOST_ENTRY, HOST_ENTRY, DEMAND_ENTRY, WARM_ENTRY)  # by kind

# For each two successive codes, the amount above which the greater code is the nearer one.
CODE_BOUNDS = [(low * high) ** 0.5 if low else high / 2 for low, high in pairwise(AMOUNT_SCALE)]


class UndecodableError(GaprouteError, ValueError):
    """The bytes are not a message of this version."""


def amount_code(amount: float) -> int:
    """The code whose amount is the nearest."""
    return bisect(CODE_BOUNDS, amount)


def encode(message: GossipMessage) -> bytes:
    """Bytes of a message."""
    parts = [MESSAGE_HEADER.pack(VERSION, message.incarnation, len(message.sets))]
    for entries in message.sets:
        parts.append(_encode_set_header(entries))
        parts += _encode_entries(entries)
    return b"".join(parts)


def decode(data: bytes) -> GossipMessage | None:
    """The message; None if the bytes cannot be decoded."""
    try:
        return _decode_message(data)
    except (struct.error, UndecodableError):
        return None


def _encode_set_header(entries: EntrySet) -> bytes:
    unit = RATE_UNITS if entries.kind == EntryKind.DEMAND else 1
    return SET_HEADER.pack(
        entries.kind,
        entries.partition,
        entries.sequence,
        _age_units(entries.age),
        amount_code(entries.remainder * unit),
        len(entries.entries),
    )


def _encode_entries(entries: EntrySet) -> list[bytes]:
    if entries.kind == EntryKind.DEMAND:
        return [_encode_demand(entry) for entry in cast(tuple[DemandEntry, ...], entries.entries)]
    if entries.kind == EntryKind.WARM_INSTANCES:
        instances = cast(tuple[WarmInstanceEntry, ...], entries.entries)
        return [WARM_ENTRY.pack(host, function, _age_units(age)) for host, function, age in instances]
    hosts = cast(tuple[HostEntry, ...], entries.entries)
    return [HOST_ENTRY.pack(host, amount_code(amount)) for host, amount in hosts]


def _encode_demand(entry: DemandEntry) -> bytes:
    relative = min(MAX_RELATIVE_DEVIATION, entry.deviation / entry.rate) if entry.rate else 0
    return DEMAND_ENTRY.pack(
        entry.function,
        entry.request_class,
        amount_code(entry.rate * RATE_UNITS),
        round(relative * RATE_UNITS),
    )


def _age_units(age: int) -> int:
    """The age as it is sent; rounded up, as an age must never seem lower than it is."""
    return min(MAX_AGE_UNITS, -(-age // AGE_UNIT))


def _decode_message(data: bytes) -> GossipMessage:
    if len(data) > MAX_BYTES:
        raise UndecodableError("too long")
    version, incarnation, count = MESSAGE_HEADER.unpack_from(data)
    if version != VERSION or count > MAX_SETS_PER_GATEWAY:
        raise UndecodableError("another version, or too many sets")
    sets: list[EntrySet] = []
    position = MESSAGE_HEADER.size
    for _ in range(count):
        entries, position = _decode_set(data, position)
        sets.append(entries)
    if position != len(data):
        raise UndecodableError("followed by something else")
    return GossipMessage(incarnation, tuple(sets))


def _decode_set(data: bytes, position: int) -> tuple[EntrySet, int]:
    """The set that begins at the position, and where it ends."""
    kind, partition, sequence, age, remainder, count = SET_HEADER.unpack_from(data, position)
    if kind >= len(KIND_LIMITS) or count > KIND_LIMITS[kind].max_entries:
        raise UndecodableError("another kind, or too many entries")
    begin = position + SET_HEADER.size
    end = begin + count * ENTRY_STRUCTS[kind].size
    if end > len(data):
        raise UndecodableError("cut short")
    unit = RATE_UNITS if kind == EntryKind.DEMAND else 1
    entries = _decode_entries(kind, data[begin:end])
    decoded = EntrySet(kind, partition, sequence, age * AGE_UNIT, AMOUNT_SCALE[remainder] / unit, entries)
    return decoded, end


def _decode_entries(kind: int, data: bytes) -> Entries:
    fields: Iterable[tuple[int, ...]] = ENTRY_STRUCTS[kind].iter_unpack(data)
    if kind == EntryKind.DEMAND:
        return tuple([_decode_demand(*each) for each in fields])
    if kind == EntryKind.WARM_INSTANCES:
        return tuple(
            [
                WarmInstanceEntry(host, function, min(age * AGE_UNIT, MAX_WARM_AGE))
                for host, function, age in fields
            ]
        )
    return tuple([HostEntry(host, AMOUNT_SCALE[code]) for host, code in fields])


def _decode_demand(function: int, request_class: int, rate_code: int, deviation: int) -> DemandEntry:
    rate = AMOUNT_SCALE[rate_code] / RATE_UNITS
    return DemandEntry(function, request_class, rate, rate * deviation / RATE_UNITS)
