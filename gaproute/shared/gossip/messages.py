"""Gossip messages: sets of entries of one kind, with observations that the sender made itself.

A set is sent and replaced as a whole; it has a version and an age. Names are sent as 32-bit keys: two of
1,000 names have the same key in one of 8,000 fleets, which is acceptable as gossip is only a hint. Amounts
are sent as one byte on a logarithmic scale. Times and ages are ns.
"""

from enum import IntEnum, StrEnum
from typing import NamedTuple

from xxhash import xxh32_intdigest

from gaproute.shared.messages import MAX_COUNT
from gaproute.units import MILLI, SECOND

MESSAGE_HEADER_BYTES = 10
SET_HEADER_BYTES = 11
# Bytes around a message: IP and UDP headers, the name of the sender, the tags of the envelope's fields
ENVELOPE_BYTES = 60
# Assumed for every message; it is not measured, as gateways do not compare their clocks
ASSUMED_TRAVEL_TIME = 5 * MILLI

MAX_INCARNATION = MAX_COUNT
MAX_SEQUENCE = (1 << 32) - 1
MAX_REQUEST_CLASSES = 256  # request classes that an entry can name, as one byte

SCALE_STEPS_PER_OCTAVE = 12  # an amount is exact within 3%
AMOUNT_SCALE = tuple(2 ** (code / SCALE_STEPS_PER_OCTAVE) - 1 for code in range(256))  # amount by byte
MAX_AMOUNT = AMOUNT_SCALE[-1]  # 2.4 million


class EntryKind(IntEnum):
    """The kinds of sets, by their numbers on the wire."""

    IN_FLIGHT = 0
    AVAILABLE_CAPACITY = 1
    DEMAND = 2
    WARM_INSTANCES = 3


class KindLimits(NamedTuple):
    """The limits of the sets of one kind."""

    label: str  # name of the kind in the status that the operators' address serves
    # Number of sets of this kind that one gateway sends, one for each partition; only warm instances have
    # several partitions, by the key of the function
    partitions: int
    max_entries: int  # of one set, which has the entries with the greatest amounts, or the latest ones
    entry_bytes: int  # size of one entry in a message
    max_age: int  # age above which a set does not count, ns


KIND_LIMITS = (  # by kind: requests end within seconds; demand and idle instances last for minutes
    KindLimits("hands", 1, 64, 5, 15 * SECOND),  # IN_FLIGHT
    KindLimits("room", 1, 64, 5, 20 * SECOND),  # AVAILABLE_CAPACITY
    KindLimits("demand", 1, 24, 8, 120 * SECOND),  # DEMAND
    KindLimits("warm", 8, 32, 10, 300 * SECOND),  # WARM_INSTANCES
)
MAX_SETS_PER_GATEWAY = sum(limits.partitions for limits in KIND_LIMITS)
MAX_SET_AGE = max(limits.max_age for limits in KIND_LIMITS)
WARM_PARTITIONS = KIND_LIMITS[EntryKind.WARM_INSTANCES].partitions


class HostEntry(NamedTuple):
    """Requests in flight at a host, or its estimated available capacity."""

    host: int  # 32-bit key of the host's name
    amount: float


class DemandEntry(NamedTuple):
    """Arrivals per second of a function in a request class, and their standard deviation."""

    function: int  # 32-bit key of the function's name
    request_class: int
    rate: float
    deviation: float


class WarmInstanceEntry(NamedTuple):
    """A warm instance, and its age: the time from when it was seen until the set was made."""

    host: int  # 32-bit key of the host's name
    function: int  # 32-bit key of the function's name
    age: int


Entries = tuple[HostEntry, ...] | tuple[DemandEntry, ...] | tuple[WarmInstanceEntry, ...]


class EntrySet(NamedTuple):
    """Entries of one kind and partition, with their version and age."""

    kind: int  # an `EntryKind`, unless the sender is faulty
    partition: int
    sequence: int  # its sender increases it with each new set of the kind and partition
    age: int
    remainder: float  # sum of the amounts that have no entry because the set is full
    entries: Entries


class GossipMessage(NamedTuple):
    """A message with observations of its sender."""

    incarnation: int
    sets: tuple[EntrySet, ...]


class RejectionReason(StrEnum):
    """Why a message or a set is rejected; the values are keys at the operators' address."""

    UNKNOWN_SENDER = "stranger"
    RATE_LIMITED = "flood"
    UNDECODABLE = "nonsense"
    INVALID = "absurd"
    EXPIRED = "old"
    TOO_LARGE = "large"
    OBSOLETE_INCARNATION = "buried"


def name_key(name: str) -> int:
    """The 32-bit key of a host or function name."""
    return xxh32_intdigest(name.encode("utf-8", "backslashreplace"))


def wire_size(message: GossipMessage) -> int:
    """The size of a message on the wire with IP and UDP headers, bytes."""
    sets = sum(
        SET_HEADER_BYTES + KIND_LIMITS[each.kind].entry_bytes * len(each.entries) for each in message.sets
    )
    return ENVELOPE_BYTES + MESSAGE_HEADER_BYTES + sets


def rejection_reason(entry_set: EntrySet) -> RejectionReason | None:
    """Why a set is invalid; None if it is valid."""
    if not 0 <= entry_set.kind < len(KIND_LIMITS):
        return RejectionReason.INVALID
    limits = KIND_LIMITS[entry_set.kind]
    if not 0 <= entry_set.partition < limits.partitions or not 0 <= entry_set.sequence <= MAX_SEQUENCE:
        return RejectionReason.INVALID
    if len(entry_set.entries) > limits.max_entries:
        return RejectionReason.TOO_LARGE
    if entry_set.age > limits.max_age:
        return RejectionReason.EXPIRED
    if entry_set.age < 0 or not _is_valid_amount(entry_set.remainder):
        return RejectionReason.INVALID
    if not all(map(_is_valid_entry, entry_set.entries)):
        return RejectionReason.INVALID
    return None


def _is_valid_entry(entry: HostEntry | DemandEntry | WarmInstanceEntry) -> bool:
    if isinstance(entry, HostEntry):
        return _is_valid_amount(entry.amount)
    if isinstance(entry, DemandEntry):
        return _is_valid_amount(entry.rate) and _is_valid_amount(entry.deviation)
    return 0 <= entry.age <= KIND_LIMITS[EntryKind.WARM_INSTANCES].max_age


def _is_valid_amount(amount: float) -> bool:
    """Whether the amount is valid; NaN is not, as it fails every comparison."""
    return 0 <= amount <= MAX_AMOUNT
