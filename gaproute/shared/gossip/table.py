"""The merged sets of other gateways: by origin and set key, the set with the highest (incarnation, sequence).

An origin is the gateway whose observations a set contains. The merge is commutative, associative and
idempotent, so messages may arrive in any order, late or more than once. If one version arrives with two ages,
the greater age is stored. A tombstone bars the incarnations of an origin up to the one that has ended: no set
of a barred incarnation stays stored, whether the set arrives before or after the tombstone. Times are ns of
this gateway's clock.
"""

from collections import Counter
from typing import NamedTuple

from gaproute.shared.gossip.messages import (
    ASSUMED_TRAVEL_TIME,
    KIND_LIMITS,
    MAX_INCARNATION,
    MAX_SET_AGE,
    Entries,
    EntrySet,
    RejectionReason,
    rejection_reason,
)

MAX_ORIGIN_TOMBSTONES = 8192
TOMBSTONE_RETENTION = 2 * MAX_SET_AGE  # longer than any set of a barred incarnation can count

SetKey = tuple[int, int]  # kind and partition


class SetVersion(NamedTuple):
    """The version of a set; of two versions the newer one compares as greater."""

    incarnation: int
    sequence: int


class Tombstone(NamedTuple):
    """The latest incarnation of an origin that has ended, and when this gateway learned of it."""

    incarnation: int
    created_at: int


class ReceivedSet:
    """A stored set; `observed_at`: when its origin made it, as this gateway estimates from its age."""

    __slots__ = ("version", "observed_at", "remainder", "entries")

    def __init__(self, version: SetVersion, observed_at: int, remainder: float, entries: Entries) -> None:
        self.version = version
        self.observed_at = observed_at
        self.remainder = remainder
        self.entries = entries


class GossipTable:
    """Stores the sets of other gateways, the tombstones, and the counts of rejections by reason."""

    def __init__(self) -> None:
        self.received_sets: dict[str, dict[SetKey, ReceivedSet]] = {}  # by origin
        self.tombstones: dict[str, Tombstone] = {}  # by origin, the oldest first
        self.rejections: Counter[RejectionReason] = Counter()

    def merge(self, now: int, origin: str, incarnation: int, entry_set: EntrySet) -> bool:
        """Merges one set; returns whether it is newer than the stored one. A rejected set is counted."""
        reason = self._rejection_reason(origin, incarnation, entry_set)
        if reason is not None:
            self.rejections[reason] += 1
            return False
        version = SetVersion(incarnation, entry_set.sequence)
        observed_at = now - entry_set.age - ASSUMED_TRAVEL_TIME
        sets = self.received_sets.setdefault(origin, {})
        set_key = entry_set.kind, entry_set.partition
        stored = sets.get(set_key)
        if stored is None or version > stored.version:
            sets[set_key] = ReceivedSet(version, observed_at, entry_set.remainder, entry_set.entries)
            return True
        if version == stored.version:
            stored.observed_at = min(stored.observed_at, observed_at)
        return False

    def add_tombstone(self, now: int, origin: str, incarnation: int) -> None:
        """Drops the sets of this incarnation and of older ones, and rejects them from now on."""
        earlier = self.tombstones.pop(origin, None)
        if earlier is not None:
            incarnation = max(incarnation, earlier.incarnation)
        self.tombstones[origin] = Tombstone(incarnation, now)
        sets = self.received_sets.get(origin, {})
        for set_key in [
            set_key for set_key, stored in sets.items() if stored.version.incarnation <= incarnation
        ]:
            del sets[set_key]
        if not sets:
            self.received_sets.pop(origin, None)
        while len(self.tombstones) > MAX_ORIGIN_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]

    def latest_incarnation(self, origin: str) -> int:
        """The latest incarnation of the origin that has a stored set; 0 if there is no set."""
        sets = self.received_sets.get(origin, {})
        return max([stored.version.incarnation for stored in sets.values()], default=0)

    def expire(self, now: int) -> None:
        """Drops all expired sets, and at most one expired tombstone for each origin that has sets."""
        for origin in list(self.received_sets):
            self._expire_sets(now, origin)
            self._expire_oldest_tombstone(now)

    def current_sets(self, now: int, kind: int, partition: int = 0) -> list[tuple[str, ReceivedSet]]:
        """(origin, set) for each unexpired set of the kind, in the order in which origins became known."""
        set_key, max_age = (kind, partition), KIND_LIMITS[kind].max_age
        return [
            (origin, stored)
            for origin, sets in self.received_sets.items()
            if (stored := sets.get(set_key)) is not None and now - stored.observed_at <= max_age
        ]

    def _rejection_reason(self, origin: str, incarnation: int, entry_set: EntrySet) -> RejectionReason | None:
        if not 0 < incarnation <= MAX_INCARNATION:
            return RejectionReason.INVALID
        reason = rejection_reason(entry_set)
        if reason is not None:
            return reason
        tombstone = self.tombstones.get(origin)
        if tombstone is not None and incarnation <= tombstone.incarnation:
            return RejectionReason.OBSOLETE_INCARNATION
        return None

    def _expire_sets(self, now: int, origin: str) -> None:
        sets = self.received_sets[origin]
        for set_key, stored in list(sets.items()):
            kind, _ = set_key
            if now - stored.observed_at > KIND_LIMITS[kind].max_age:
                del sets[set_key]
        if not sets:
            del self.received_sets[origin]

    def _expire_oldest_tombstone(self, now: int) -> None:
        oldest = next(iter(self.tombstones), None)
        if oldest is not None and now - self.tombstones[oldest].created_at > TOMBSTONE_RETENTION:
            del self.tombstones[oldest]
