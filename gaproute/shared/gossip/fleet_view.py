"""A gateway's estimates for the whole fleet, from its own observations and those of other gateways."""

from statistics import median
from typing import Generic, NamedTuple, cast

from gaproute.shared.gossip.arrivals import DemandSubject
from gaproute.shared.gossip.estimates import FleetEstimate, FleetSums, Subject, sum_demand, sum_in_flight
from gaproute.shared.gossip.hosts import ListedHosts
from gaproute.shared.gossip.local_observations import LocalObservations
from gaproute.shared.gossip.messages import (
    KIND_LIMITS,
    WARM_PARTITIONS,
    EntryKind,
    HostEntry,
    WarmInstanceEntry,
)
from gaproute.shared.gossip.name_keys import NameKeys
from gaproute.shared.gossip.peer_rounds import PeerRounds
from gaproute.shared.gossip.table import GossipTable
from gaproute.units import SECOND

SUMS_REUSE_TIME = SECOND // 2  # how long sums are cached; received observations are seconds old anyway
MAX_NAMED_ORIGINS = 8  # gateways named as observers of one warm instance


class CapacityEstimate(NamedTuple):
    """The estimated available capacity of a host: the median, as the gateways estimate the same value and a
    sum would count it several times.
    """

    median: float
    origin_count: int  # number of gateways that have an estimate, with this one
    age: int  # mean age of the estimates, ns


class WarmSighting(NamedTuple):
    """A warm instance: the time since it was last seen, ns, and the gateways that saw it, latest first."""

    age: int
    origins: tuple[str, ...]


class CachedSums(NamedTuple, Generic[Subject]):
    """Sums that are used again until `SUMS_REUSE_TIME` has passed. `made_at`: ns."""

    made_at: int
    sums: FleetSums[Subject]


class FleetView:
    """Computes estimates from local observations and the gossip table, and caches the sums. Times are ns."""

    def __init__(
        self,
        name: str,
        keys: NameKeys,
        local: LocalObservations,
        table: GossipTable,
        hosts: ListedHosts,
        peers: PeerRounds,
    ) -> None:
        self._name = name
        self._keys, self._local, self._table = keys, local, table
        self._hosts, self._peers = hosts, peers
        self._in_flight_sums: CachedSums[int] | None = None
        self._demand_sums: CachedSums[DemandSubject] | None = None

    @property
    def clipped_sets(self) -> int:
        """The number of received sets that the cached sums scale down."""
        cached = (self._in_flight_sums, self._demand_sums)
        return sum([each.sums.clipped_sets for each in cached if each is not None])

    def clear_cache(self) -> None:
        """Drops all cached sums."""
        self._in_flight_sums = self._demand_sums = None

    def in_flight(self, now: int, host: str) -> FleetEstimate:
        """The requests of the whole fleet that are in flight at the host."""
        key = self._keys.key(host)
        local = self._local.in_flight.get(key, 0.0)
        return self._current_in_flight_sums(now).estimate(key, local, len(self._peers))

    def demand(self, now: int, function: str, request_class: int) -> FleetEstimate:
        """Arrivals per second in the whole fleet.

        The deviation assumes that arrivals at different gateways are independent. The estimate is a lower
        bound for a function that only few gateways name in their sets, as a set names only the most frequent
        functions of its origin; `unnamed_demand` estimates the arrivals of all others.
        """
        subject = self._keys.key(function), request_class
        self._local.arrivals.end_elapsed_buckets(now)
        local, deviation = self._local.arrivals.rate(subject)
        return self._current_demand_sums(now).estimate(subject, local, len(self._peers), deviation)

    def unnamed_demand(self, now: int, local: float) -> FleetEstimate:
        """Arrivals per second of functions that the sets of demand do not name. `local`: at this gateway."""
        sums = self._current_demand_sums(now)
        return FleetEstimate(local, sums.remainder, sums.origin_count, len(self._peers), sums.age)

    def available_capacity(self, now: int, host: str) -> CapacityEstimate | None:
        """The estimated available capacity of the host; None if no gateway has an estimate."""
        key = self._keys.key(host)
        estimates: list[tuple[float, int]] = []  # (capacity, age)
        for _, received in self._table.current_sets(now, EntryKind.AVAILABLE_CAPACITY):
            if self._hosts.is_current(key, received.observed_at):
                entries = cast(tuple[HostEntry, ...], received.entries)
                age = now - received.observed_at
                estimates += [(entry.amount, age) for entry in entries if entry.host == key]
        if key in self._local.available_capacity:
            estimates.append((self._local.available_capacity[key], 0))
        if not estimates:
            return None
        mean_age = sum(age for _, age in estimates) // len(estimates)
        return CapacityEstimate(median([capacity for capacity, _ in estimates]), len(estimates), mean_age)

    def warm_instances(self, now: int, function: str) -> dict[str, WarmSighting]:
        """By host: the warm instance of the function.

        Instances may be missing, as gateways name only those that they saw last.
        """
        key = self._keys.key(function)
        sightings: dict[str, list[tuple[int, str]]] = {}  # by host: (age, gateway that saw it)
        partition = key % WARM_PARTITIONS
        for origin, received in self._table.current_sets(now, EntryKind.WARM_INSTANCES, partition):
            for entry in cast(tuple[WarmInstanceEntry, ...], received.entries):
                if entry.function == key:
                    self._add_sighting(sightings, now, entry.host, received.observed_at - entry.age, origin)
        for (host, seen_function), seen_at in self._local.warm_instances[partition].items():
            if seen_function == key:
                self._add_sighting(sightings, now, host, seen_at, self._name)
        return {host: _merge_sightings(of_host) for host, of_host in sightings.items()}

    def _add_sighting(
        self, sightings: dict[str, list[tuple[int, str]]], now: int, host: int, seen_at: int, origin: str
    ) -> None:
        max_age = KIND_LIMITS[EntryKind.WARM_INSTANCES].max_age
        if now - seen_at <= max_age and self._hosts.is_current(host, seen_at):
            sightings.setdefault(self._hosts.names_by_key[host], []).append((now - seen_at, origin))

    def _current_in_flight_sums(self, now: int) -> FleetSums[int]:
        cached = self._in_flight_sums
        if cached is None or now - cached.made_at >= SUMS_REUSE_TIME:
            received = [each for _, each in self._table.current_sets(now, EntryKind.IN_FLIGHT)]
            local_total = sum(self._local.in_flight.values())
            sums = sum_in_flight(now, received, local_total, self._hosts.is_current)
            cached = self._in_flight_sums = CachedSums(now, sums)
        return cached.sums

    def _current_demand_sums(self, now: int) -> FleetSums[DemandSubject]:
        cached = self._demand_sums
        if cached is None or now - cached.made_at >= SUMS_REUSE_TIME:
            received = [each for _, each in self._table.current_sets(now, EntryKind.DEMAND)]
            sums = sum_demand(now, received, self._local.arrivals.total_rate())
            cached = self._demand_sums = CachedSums(now, sums)
        return cached.sums


def _merge_sightings(sightings: list[tuple[int, str]]) -> WarmSighting:
    ordered = sorted(sightings)
    return WarmSighting(ordered[0][0], tuple([origin for _, origin in ordered[:MAX_NAMED_ORIGINS]]))
