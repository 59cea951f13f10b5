"""The invariants of a gateway's gossip: each check yields its violations as text."""

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
from gaproute.shared.invariants import Bound, bound_violations


def collections_are_bounded(node: GossipNode) -> Iterator[str]:
    """Checks that every collection is within its bound. The check is cheap enough for every call."""
    yield from bound_violations((*_peer_bounds(node), *_local_bounds(node)))


def _peer_bounds(node: GossipNode) -> Sequence[Bound]:
    peers = len(node.peers)
    return (
        Bound("origins", len(node.table.received_sets), peers),
        Bound("sender limits", len(node.sender_limits), peers),
        Bound("peers remaining in the round", len(node.peers.remaining), max(peers, node.peers.round_length)),
        Bound("tombstones of origins", len(node.table.tombstones), table.MAX_ORIGIN_TOMBSTONES),
        Bound("tombstones of hosts", len(node.hosts.tombstones), hosts.MAX_HOST_TOMBSTONES),
    )


def _local_bounds(node: GossipNode) -> Sequence[Bound]:
    local, rates = node.local_observations, node.local_observations.arrivals
    instances = max(map(len, local.warm_instances))
    named_hosts = max(len(local.in_flight), len(local.available_capacity))
    return (
        Bound("cached keys", len(node.keys.keys), name_keys.MAX_CACHED_NAMES),
        Bound("buckets", len(rates.buckets), arrivals.MAX_BUCKETS),
        Bound("counted functions", len(rates.current_counts), arrivals.MAX_COUNTED_SUBJECTS),
        Bound(
            "summed functions",
            len(rates.totals),
            arrivals.MAX_COUNTED_SUBJECTS * arrivals.MAX_BUCKETS,
        ),
        Bound("warm instances in a partition", instances, local_observations.MAX_INSTANCES_PER_PARTITION),
        Bound("observed hosts", named_hosts, local_observations.MAX_OBSERVED_HOSTS),
    )


def no_barred_set_is_stored(node: GossipNode) -> Iterator[str]:
    """Checks that no stored set is of an incarnation that a tombstone bars."""
    for origin, sets in node.table.received_sets.items():
        tombstone = node.table.tombstones.get(origin)
        ended = 0 if tombstone is None else tombstone.incarnation
        for set_key, received in sets.items():
            if received.version.incarnation <= ended:
                yield f"{origin} has ended incarnation {ended}, but {set_key} of {received.version} is stored"


def origins_are_peers(node: GossipNode) -> Iterator[str]:
    """Checks that every received set is of a peer, and none of this gateway."""
    if node.name in node.table.received_sets:
        yield "sets of this gateway itself are stored as received ones"
    for origin in node.table.received_sets:
        if origin not in node.peers:
            yield f"sets of {origin}, which is not a peer, are stored"


def stored_sets_are_valid(node: GossipNode) -> Iterator[str]:
    """Checks that the key and the incarnation of every stored set are valid."""
    for origin, sets in node.table.received_sets.items():
        if len(sets) > MAX_SETS_PER_GATEWAY:
            yield f"{len(sets)} sets, more than one gateway sends, are stored of {origin}"
        for (kind, partition), received in sets.items():
            incarnation = received.version.incarnation
            if not 0 < incarnation <= MAX_INCARNATION or partition >= KIND_LIMITS[kind].partitions:
                yield f"set {kind}/{partition} of {origin} is invalid, its version is {received.version}"


class ObservationTimesNeverRise:
    """Checks between calls that the observation time of a stored set of one version never rises."""

    def __init__(self) -> None:
        self.observed: dict[tuple[str, SetKey, SetVersion], int] = {}

    def __call__(self, node: GossipNode) -> Iterator[str]:
        """The violations since the last call."""
        observed = {
            (origin, set_key, received.version): received.observed_at
            for origin, sets in node.table.received_sets.items()
            for set_key, received in sets.items()
        }
        for stored_set, observed_at in observed.items():
            earlier = self.observed.get(stored_set, observed_at)
            if observed_at > earlier:
                yield f"{stored_set} was observed at {earlier} before, but now at {observed_at}"
        self.observed = observed


def message_has_only_local_observations(node: GossipNode, message: GossipMessage) -> Iterator[str]:
    """Checks that a message contains only observations of this gateway, current or from a cached set."""
    for entry_set in message.sets:
        # Entries of a cached set may be over since it was made, for example requests in flight.
        for entry in () if _is_cached(node, entry_set) else entry_set.entries:
            if not _was_observed(node, entry):
                yield f"{entry} of kind {entry_set.kind} is sent, but this gateway did not observe it"
        reason = rejection_reason(entry_set)
        if reason is not None:
            yield f"an invalid set of kind {entry_set.kind} is sent: {reason}"


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
    """The violations as text; empty if there are none. `thorough`: whether to check all stored sets too."""
    violations = [*collections_are_bounded(node)]
    if thorough:
        for each in (no_barred_set_is_stored, origins_are_peers, stored_sets_are_valid):
            violations += each(node)
    return violations
