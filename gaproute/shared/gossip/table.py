"""The merged sets of other gateways: for each origin and set the newest version by (incarnation, sequence).

Taking the newest is commutative, associative and idempotent, so messages may arrive in any order, twice or
late. If one version arrives with two ages, the greater age is stored. A tombstone bars an origin's
incarnations up to the one that ended; a barred set is never stored again, in whatever order the tombstone and
the sets arrive. Times are ns of this gateway's clock.
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
TOMBSTONE_RETENTION = 2 * MAX_SET_AGE  # a tombstone is stored for longer than any set of its origin can count

SetKey = tuple[int, int]  # kind and partition


class SetVersion(NamedTuple):
    """The version of a set; the newer one is the greater."""

    incarnation: int
    sequence: int


class Tombstone(NamedTuple):
    """An incarnation of an origin that has ended, and when this gateway learned that."""

    incarnation: int
    created_at: int


class ReceivedSet:
    """A stored set; `observed_at`: when its content was observed."""

    __slots__ = ("version", "observed_at", "remainder", "entries")

    def __init__(self, version: SetVersion, observed_at: int, remainder: float, entries: Entries) -> None:
        self.version = version
        self.observed_at = observed_at
        self.remainder = remainder
        self.entries = entries


class GossipTable:
    """Owns the sets of all other gateways, their tombstones, and the counts of rejections."""

    def __init__(self) -> None:
        self.received_sets: dict[str, dict[SetKey, ReceivedSet]] = {}  # by origin
        self.tombstones: dict[str, Tombstone] = {}  # by origin, the oldest first
        self.rejections: Counter[RejectionReason] = Counter()

    def merge(self, now: int, origin: str, incarnation: int, entry_set: EntrySet) -> bool:
        """Merges one set; returns whether it was newer than the stored one. An invalid set is counted."""
        reason = self._rejection_reason(origin, incarnation, entry_set)
        if reason is not None:
            self.rejections[reason] += 1
            return False
        version = SetVersion(incarnation, entry_set.sequence)
        observed_at = now - entry_set.age - ASSUMED_TRAVEL_TIME
        sets = self.received_sets.setdefault(origin, {})
        name = entry_set.kind, entry_set.partition
        stored = sets.get(name)
        if stored is None or version > stored.version:
            sets[name] = ReceivedSet(version, observed_at, entry_set.remainder, entry_set.entries)
            return True
        if version == stored.version:
            stored.observed_at = min(stored.observed_at, observed_at)
        return False

    def add_tombstone(self, now: int, origin: str, incarnation: int) -> None:
        """Bars sets of this incarnation and of older ones from now on."""
        earlier = self.tombstones.pop(origin, None)
        if earlier is not None:
            incarnation = max(incarnation, earlier.incarnation)
        self.tombstones[origin] = Tombstone(incarnation, now)
        sets = self.received_sets.get(origin, {})
        for name in [name for name, stored in sets.items() if stored.version.incarnation <= incarnation]:
            del sets[name]
        if not sets:
            self.received_sets.pop(origin, None)
        while len(self.tombstones) > MAX_ORIGIN_TOMBSTONES:
            del self.tombstones[next(iter(self.tombstones))]

    def latest_incarnation(self, origin: str) -> int:
        """The latest incarnation of which a set is stored; 0 if there is none."""
        sets = self.received_sets.get(origin, {})
        return max([stored.version.incarnation for stored in sets.values()], default=0)

    def expire(self, now: int) -> None:
        """Drops expired sets, and for each origin at most one tombstone that has expired."""
        for origin in list(self.received_sets):
            self._expire_sets(now, origin)
            self._expire_oldest_tombstone(now)

    def current_sets(self, now: int, kind: int, partition: int = 0) -> list[tuple[str, ReceivedSet]]:
        """(origin, set) for the sets of a kind that count now, in the order in which origins became known."""
        name, max_age = (kind, partition), KIND_LIMITS[kind].max_age
        return [
            (origin, stored)
            for origin, sets in self.received_sets.items()
            if (stored := sets.get(name)) is not None and now - stored.observed_at <= max_age
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
        for name, stored in list(sets.items()):
            kind, _ = name
            if now - stored.observed_at > KIND_LIMITS[kind].max_age:
                del sets[name]
        if not sets:
            del self.received_sets[origin]

    def _expire_oldest_tombstone(self, now: int) -> None:
        oldest = next(iter(self.tombstones), None)
        if oldest is not None and now - self.tombstones[oldest].created_at > TOMBSTONE_RETENTION:
            del self.tombstones[oldest]
