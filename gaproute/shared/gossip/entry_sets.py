"""Makes the entry sets that this gateway sends from its own observations."""

from typing import NamedTuple

from gaproute.shared.gossip.local_observations import LocalObservations
from gaproute.shared.gossip.messages import (
    KIND_LIMITS,
    MAX_AMOUNT,
    Entries,
    EntryKind,
    EntrySet,
    HostEntry,
    WarmInstanceEntry,
)
from gaproute.units import SECOND

# By kind: how long a set is sent again with only its age changed, ns. With a new set in each of 25 messages
# per second, a thousand hosts would be sorted 25 times per second.
ENTRY_SET_REUSE_TIMES = (
    SECOND // 10,  # IN_FLIGHT
    SECOND // 2,  # AVAILABLE_CAPACITY
    SECOND,  # DEMAND
    0,  # WARM_INSTANCES
)


class CachedEntrySet(NamedTuple):
    """A set that is sent again until its reuse time has passed. `made_at`: ns."""

    made_at: int
    entry_set: EntrySet


class LocalEntrySets:
    """Makes, numbers and caches the sets of this gateway's observations."""

    def __init__(self, observations: LocalObservations) -> None:
        self.cached_sets: dict[int, CachedEntrySet] = {}  # by kind
        self._observations = observations
        # By kind and partition: the sequence number of the latest set
        self._sequences: dict[tuple[int, int], int] = {}

    def clear_cache(self) -> None:
        """Drops all cached sets."""
        self.cached_sets.clear()

    def get(self, now: int, kind: EntryKind, partition: int = 0) -> EntrySet:
        """The set to send: the cached one with its current age, or a new one if the cached one is too old."""
        cached = self.cached_sets.get(kind)
        if cached is None or now - cached.made_at >= ENTRY_SET_REUSE_TIMES[kind]:
            cached = self.cached_sets[kind] = CachedEntrySet(now, self._make_entry_set(now, kind, partition))
        return cached.entry_set._replace(age=now - cached.made_at)

    def _make_entry_set(self, now: int, kind: EntryKind, partition: int) -> EntrySet:
        remainder, entries = self._remainder_and_entries(now, kind, partition)
        sequence = self._sequences[kind, partition] = self._sequences.get((kind, partition), 0) + 1
        return EntrySet(kind, partition, sequence, 0, min(remainder, MAX_AMOUNT), entries)

    def _remainder_and_entries(self, now: int, kind: EntryKind, partition: int) -> tuple[float, Entries]:
        """The remainder and the entries of a new set, see `EntrySet`."""
        observations = self._observations
        match kind:
            case EntryKind.IN_FLIGHT:
                entries = _hosts_with_greatest_amounts(observations.in_flight, KIND_LIMITS[kind].max_entries)
                named_amount = sum([entry.amount for entry in entries])
                return max(0.0, sum(observations.in_flight.values()) - named_amount), entries
            case EntryKind.AVAILABLE_CAPACITY:
                return 0.0, _hosts_with_greatest_amounts(
                    observations.available_capacity, KIND_LIMITS[kind].max_entries
                )
            case EntryKind.DEMAND:
                return observations.arrivals.top_demand(now)
            case EntryKind.WARM_INSTANCES:
                return 0.0, self._latest_warm_instances(now, partition)

    def _latest_warm_instances(self, now: int, partition: int) -> tuple[WarmInstanceEntry, ...]:
        """The most recently seen warm instances of a partition, the latest first."""
        limits = KIND_LIMITS[EntryKind.WARM_INSTANCES]
        entries: list[WarmInstanceEntry] = []
        for (host, function), seen_at in reversed(self._observations.warm_instances[partition].items()):
            if len(entries) >= limits.max_entries or now - seen_at > limits.max_age:
                break
            entries.append(WarmInstanceEntry(host, function, now - seen_at))
        return tuple(entries)


def _hosts_with_greatest_amounts(amounts: dict[int, float], count: int) -> tuple[HostEntry, ...]:
    """The `count` hosts with the greatest amounts; of hosts with equal amounts, those with the lower keys."""
    hosts = sorted(amounts, key=lambda host: (-amounts[host], host))[:count]
    return tuple([HostEntry(host, amounts[host]) for host in hosts])
