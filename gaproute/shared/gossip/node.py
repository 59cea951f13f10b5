"""One gateway's part in the gossip: records observations, composes and receives messages, gives estimates.

The module does no I/O; time and random numbers are passed in. No received message raises an error; an invalid
one is counted by its reason. Times are ns.
"""

from collections.abc import Callable, Iterable, Mapping

from gaproute.shared.gossip.entry_sets import LocalEntrySets
from gaproute.shared.gossip.estimates import FleetEstimate
from gaproute.shared.gossip.fleet_view import CapacityEstimate, FleetView, WarmSighting
from gaproute.shared.gossip.hosts import ListedHosts
from gaproute.shared.gossip.local_observations import LocalObservations
from gaproute.shared.gossip.messages import (
    KIND_LIMITS,
    MAX_REQUEST_CLASSES,
    MAX_SETS_PER_GATEWAY,
    EntryKind,
    GossipMessage,
    RejectionReason,
)
from gaproute.shared.gossip.name_keys import NameKeys
from gaproute.shared.gossip.peer_rounds import PeerRounds
from gaproute.shared.gossip.scheduler import DEFAULT_BYTES_PER_SECOND, MessageScheduler, OutgoingMessage
from gaproute.shared.gossip.table import TOMBSTONE_RETENTION, GossipTable
from gaproute.shared.randomness import RandomSource
from gaproute.shared.token_bucket import TokenBucket

SENDER_MESSAGES_PER_SECOND = 8  # accepted from one sender: four times what a correct one sends
SENDER_BURST_MESSAGES = 16
TICKS_PER_EXPIRY = 64  # ticks between two removals of expired sets, which is a few seconds
STATUS_KINDS = (EntryKind.IN_FLIGHT, EntryKind.AVAILABLE_CAPACITY, EntryKind.DEMAND)


class GossipNode:
    """Call `tick` at the time `due` for the messages to send, and `receive` for each message of a peer.

    `bytes_per_second`: limit on the bytes that this gateway sends.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        random: RandomSource,
        now: int,
        bytes_per_second: int = DEFAULT_BYTES_PER_SECOND,
    ) -> None:
        self.name, self.incarnation = name, incarnation
        self.keys = NameKeys()
        self.hosts = ListedHosts()
        self.peers = PeerRounds(random)
        self.local_observations = LocalObservations(now)
        self.local_entry_sets = LocalEntrySets(self.local_observations)
        self.scheduler = MessageScheduler(self.peers, now, bytes_per_second)
        self.table = GossipTable()
        self.fleet_view = FleetView(
            name, self.keys, self.local_observations, self.table, self.hosts, self.peers
        )
        self.sender_limits: dict[str, TokenBucket] = {}
        self.received_messages = 0
        self._tick_count = 0

    # Observations of this gateway

    def record_arrival(self, now: int, function: str, request_class: int, count: int = 1) -> None:
        """Records requests that arrive now. `request_class`: number of the request class, 0 to 255."""
        self.local_observations.arrivals.record(
            now, self.keys.key(function), request_class % MAX_REQUEST_CLASSES, count
        )

    def record_in_flight(self, host: str, requests: float) -> None:
        """Records the requests of this gateway that are in flight at the host now."""
        self.local_observations.record_in_flight(self.keys.key(host), requests)

    def record_available_capacity(self, host: str, capacity: float) -> None:
        """Records the estimated available capacity of the host."""
        self.local_observations.record_available_capacity(self.keys.key(host), capacity)

    def record_warm_instance(self, now: int, host: str, function: str) -> None:
        """Records a warm instance that an answer or a health check of the host proves."""
        self.local_observations.record_warm_instance(now, self.keys.key(host), self.keys.key(function))

    def record_unloaded_instance(self, host: str, function: str) -> None:
        """Records that the host has no instance of the function."""
        self.local_observations.record_unloaded_instance(self.keys.key(host), self.keys.key(function))

    # Peers and hosts

    def set_peers(self, now: int, names: Iterable[str]) -> None:
        """Replaces the peers by the gateways that are up; this gateway may be among them.

        Sets of a gateway that is no longer up are dropped. After its return, sets count again only if their
        incarnation is higher.
        """
        others = [name for name in names if name != self.name]
        present = frozenset(others)
        for name in self.peers.names:
            if name not in present:
                self._forget_peer(now, name)
        self.peers.set_peers(others)

    def set_hosts(self, now: int, hosts: Mapping[str, object]) -> None:
        """Replaces the listed hosts: by name, the start of the host.

        Observations of a host from before a change of its start are invalid.
        """
        gone = self.hosts.set_hosts(now, hosts, self.keys.key)
        if gone:
            self.local_observations.forget_hosts(frozenset(gone))
            self.local_entry_sets.clear_cache()
            self.fleet_view.clear_cache()

    def raise_incarnation(self, incarnation: int) -> None:
        """Raises the incarnation of this gateway after other gateways declared it dead."""
        self.incarnation = max(self.incarnation, incarnation)

    # Sending and receiving

    @property
    def due(self) -> int:
        """When `tick` is to be called next, ns."""
        return self.scheduler.due

    def tick(self, now: int) -> list[OutgoingMessage]:
        """The messages to send now; also drops expired sets and tombstones."""
        if self._tick_count % TICKS_PER_EXPIRY == 0:
            self.table.expire(now)
        self._tick_count += 1
        self.hosts.expire_oldest_tombstone(now, TOMBSTONE_RETENTION)
        return self.scheduler.tick(now, self.incarnation, self.local_entry_sets)

    def receive(self, now: int, sender: str, message: GossipMessage) -> int:
        """Merges a message of a peer; returns how many of its sets were newer than the stored ones."""
        return self.receive_encoded(now, sender, lambda: message)

    def receive_encoded(self, now: int, sender: str, decode: Callable[[], GossipMessage | None]) -> int:
        """Merges an encoded message, which is decoded only if the sender is a peer and within its rate limit.

        `decode` returns the message, or None if the bytes cannot be decoded.
        """
        reason = self._sender_rejection(now, sender)
        if reason is not None:
            self.table.rejections[reason] += 1
            return 0
        message = decode()
        if message is None or len(message.sets) > MAX_SETS_PER_GATEWAY:
            self.table.rejections[RejectionReason.UNDECODABLE] += 1
            return 0
        self.received_messages += 1
        return sum([self.table.merge(now, sender, message.incarnation, each) for each in message.sets])

    # Estimates for the fleet

    def in_flight(self, now: int, host: str) -> FleetEstimate:
        """The requests of the whole fleet that are in flight at the host."""
        return self.fleet_view.in_flight(now, host)

    def demand(self, now: int, function: str, request_class: int) -> FleetEstimate:
        """Arrivals per second in the whole fleet, see `FleetView.demand`."""
        return self.fleet_view.demand(now, function, request_class)

    def unnamed_demand(self, now: int) -> FleetEstimate:
        """Arrivals per second of the functions that the sets of demand do not name."""
        return self.fleet_view.unnamed_demand(now, self.local_entry_sets.get(now, EntryKind.DEMAND).remainder)

    def available_capacity(self, now: int, host: str) -> CapacityEstimate | None:
        """The estimated available capacity of the host; None if no gateway has an estimate."""
        return self.fleet_view.available_capacity(now, host)

    def warm_instances(self, now: int, function: str) -> dict[str, WarmSighting]:
        """By host: the warm instance of the function; instances may be missing, see `FleetView`."""
        return self.fleet_view.warm_instances(now, function)

    def status(self, now: int) -> dict[str, object]:
        """The status for operators: counts of messages sent, received and rejected, and origins by kind."""
        origins = {KIND_LIMITS[kind].label: len(self.table.current_sets(now, kind)) for kind in STATUS_KINDS}
        return {
            "peers": len(self.peers),
            "sent": self.scheduler.sent_messages,
            "bytes": self.scheduler.sent_bytes,
            "heard": self.received_messages,
            "refused": {reason.value: count for reason, count in self.table.rejections.items()},
            "tellers": origins,
            "clipped": self.fleet_view.clipped_sets,
            "alike": self.hosts.key_collisions,
        }

    def _forget_peer(self, now: int, name: str) -> None:
        self.sender_limits.pop(name, None)
        incarnation = self.table.latest_incarnation(name)
        if incarnation:
            self.table.add_tombstone(now, name, incarnation)

    def _sender_rejection(self, now: int, sender: str) -> RejectionReason | None:
        if sender not in self.peers:
            return RejectionReason.UNKNOWN_SENDER
        limit = self.sender_limits.get(sender)
        if limit is None:
            limit = self.sender_limits[sender] = TokenBucket(
                SENDER_MESSAGES_PER_SECOND, SENDER_BURST_MESSAGES, now
            )
        return None if limit.take(now, 1) else RejectionReason.RATE_LIMITED
