"""The invariants of a gateway's gossip, as named checks that return violations as text."""

from collections.abc import Iterator, Sequence

from gaproute.shared.gossip import arrivals, hosts, local_observations, name_keys, table
from gaproute.shared.gossip.messages import (
    KIND_LIMITS,
    MAX_INCARNATION,
    MAX_SETS_PER_GATEWAY,
    DemandEntry,
    EntrySet,
    GossipMessage,
    HostEntry,
    WarmInstanceEntry,
    rejection_reason,
)
from gaproute.shared.gossip.node import GossipNode
from gaproute.shared.gossip.table import SetKey, SetVersion
from gaproute.shared.invariants import Bound, exceeded


def collections_are_bounded(node: GossipNode) -> Iterator[str]:
    """Every map is bounded. This check is cheap and can always be called."""
    yield from exceeded((*_peer_bounds(node), *_local_bounds(node)))


def _peer_bounds(node: GossipNode) -> Sequence[Bound]:
    peers = len(node.peers)
    return (
        Bound("origins", len(node.table.received_sets), peers),
        Bound("sender limits", len(node.sender_limits), peers),
        Bound("round", len(node.peers.remaining), max(peers, node.peers.round_length)),
        Bound("tombstones", len(node.table.tombstones), table.MAX_ORIGIN_TOMBSTONES),
        Bound("hosts' tombstones", len(node.hosts.tombstones), hosts.MAX_HOST_TOMBSTONES),
    )


def _local_bounds(node: GossipNode) -> Sequence[Bound]:
    local, rates = node.local_observations, node.local_observations.arrivals
    instances = max(map(len, local.warm_instances))
    named_hosts = max(len(local.in_flight), len(local.available_capacity))
    return (
        Bound("keys", len(node.keys.keys), name_keys.MAX_CACHED_NAMES),
        Bound("buckets", len(rates.buckets), arrivals.MAX_BUCKETS),
        Bound("functions", len(rates.current_counts), arrivals.MAX_COUNTED_SUBJECTS),
        Bound(
            "summed functions",
            len(rates.totals),
            arrivals.MAX_COUNTED_SUBJECTS * arrivals.MAX_BUCKETS,
        ),
        Bound("warm instances", instances, local_observations.MAX_INSTANCES_PER_PARTITION),
        Bound("hosts", named_hosts, local_observations.MAX_OBSERVED_HOSTS),
    )


def no_barred_set_is_stored(node: GossipNode) -> Iterator[str]:
    """No set is stored that a tombstone bars."""
    for origin, sets in node.table.received_sets.items():
        tombstone = node.table.tombstones.get(origin)
        ended = 0 if tombstone is None else tombstone.incarnation
        for name, received in sets.items():
            if received.version.incarnation <= ended:
                yield f"{origin} ended with incarnation {ended}, and {name} of {received.version} is stored"


def origins_are_peers(node: GossipNode) -> Iterator[str]:
    """No received set is of this gateway, or of a gateway that is no peer."""
    if node.name in node.table.received_sets:
        yield "a set of this gateway's own was taken from another"
    for origin in node.table.received_sets:
        if origin not in node.peers:
            yield f"sets of {origin} are stored, which is no peer"


def stored_sets_are_valid(node: GossipNode) -> Iterator[str]:
    """Only sets that an origin can have made are stored."""
    for origin, sets in node.table.received_sets.items():
        if len(sets) > MAX_SETS_PER_GATEWAY:
            yield f"{len(sets)} sets of {origin}"
        for (kind, partition), received in sets.items():
            incarnation = received.version.incarnation
            if not 0 < incarnation <= MAX_INCARNATION or partition >= KIND_LIMITS[kind].partitions:
                yield f"set {kind}/{partition} of {origin} has version {received.version}"


class AgesOnlyGrow:
    """No set of one version is stored as observed later than before. Stores the state of the last call."""

    def __init__(self) -> None:
        self.observed: dict[tuple[str, SetKey, SetVersion], int] = {}

    def __call__(self, node: GossipNode) -> Iterator[str]:
        """Violations since the last call."""
        observed = {
            (origin, name, received.version): received.observed_at
            for origin, sets in node.table.received_sets.items()
            for name, received in sets.items()
        }
        for stored_set, observed_at in observed.items():
            earlier = self.observed.get(stored_set, observed_at)
            if observed_at > earlier:
                yield f"{stored_set} was observed at {earlier}, now at {observed_at}"
        self.observed = observed


def message_has_only_local_observations(node: GossipNode, message: GossipMessage) -> Iterator[str]:
    """A message contains only own observations, of now or of a cached set."""
    for entry_set in message.sets:
        # What a cached set has may have ended since it was made, such as requests in flight
        for entry in () if _is_cached(node, entry_set) else entry_set.entries:
            if not _was_observed(node, entry):
                yield f"{entry} of kind {entry_set.kind} is sent and was not observed here"
        reason = rejection_reason(entry_set)
        if reason is not None:
            yield f"a set of kind {entry_set.kind} is sent that cannot be: {reason}"


def _is_cached(node: GossipNode, entry_set: EntrySet) -> bool:
    cached = node.local_entry_sets.cached_sets.get(entry_set.kind)
    return cached is not None and cached.entry_set.entries is entry_set.entries and entry_set.age > 0


def _was_observed(node: GossipNode, entry: HostEntry | DemandEntry | WarmInstanceEntry) -> bool:
    if isinstance(entry, HostEntry):
        return (
            entry.host in node.local_observations.in_flight
            or entry.host in node.local_observations.available_capacity
        )
    if isinstance(entry, DemandEntry):
        return (entry.function, entry.request_class) in node.local_observations.arrivals.totals
    return any(
        (entry.host, entry.function) in instances for instances in node.local_observations.warm_instances
    )


def check(node: GossipNode, *, thorough: bool = False) -> list[str]:
    """The violations as text; empty if there are none. `thorough`: also checks that read all stored sets."""
    found = [*collections_are_bounded(node)]
    if thorough:
        for each in (no_barred_set_is_stored, origins_are_peers, stored_sets_are_valid):
            found += each(node)
    return found
