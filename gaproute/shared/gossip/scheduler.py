"""Decides when a message is sent and which sets it has, at a byte rate that does not grow with the fleet.

Each message contains the requests in flight, which change fast. At longer intervals it also contains one set
of the kinds that change slowly, in turn. In a large fleet a round of all peers takes longer, so a receiver
has unexpired sets of only a sample of the origins, and scales its sums up from that sample.
"""

from typing import NamedTuple

from gaproute.shared.gossip.entry_sets import LocalEntrySets
from gaproute.shared.gossip.messages import (
    WARM_PARTITIONS,
    EntryKind,
    EntrySet,
    GossipMessage,
    wire_size,
)
from gaproute.shared.gossip.peer_rounds import PeerRounds
from gaproute.units import SECOND

# Headers included; leaves room below 4 kB per second for bursts and for the messages of the membership
DEFAULT_BYTES_PER_SECOND = 3_000
# The rate in a fleet of cells is lower, as the cell table takes 0.9 kB of the 4 kB per second at 46,000
# changes a day
BYTES_PER_SECOND_IN_CELLS = 2_200
# Shortest time between two messages to one peer, so that a small fleet uses less than the byte rate
MIN_PEER_INTERVAL = SECOND // 2
SLOW_SET_INTERVAL = SECOND // 4  # between two sets of the kinds in `SLOW_KIND_SEQUENCE`
SLOW_KIND_SEQUENCE = (
    EntryKind.DEMAND,
    EntryKind.WARM_INSTANCES,
    EntryKind.DEMAND,
    EntryKind.WARM_INSTANCES,
    EntryKind.AVAILABLE_CAPACITY,
    EntryKind.WARM_INSTANCES,
    EntryKind.DEMAND,
    EntryKind.WARM_INSTANCES,
)


class OutgoingMessage(NamedTuple):
    """A message and the peer to which it is sent."""

    peer: str
    message: GossipMessage


class MessageScheduler:
    """Composes the messages and schedules them by their bytes per second. Times are ns."""

    def __init__(self, peers: PeerRounds, now: int, bytes_per_second: int = DEFAULT_BYTES_PER_SECOND) -> None:
        self.due = now  # when `tick` is to be called next
        self.sent_messages = 0
        self.sent_bytes = 0
        self._peers, self._bytes_per_second = peers, bytes_per_second
        self._slow_set_due = now
        self._slow_kind_index = 0
        self._warm_partition = 0

    def tick(self, now: int, incarnation: int, sets: LocalEntrySets) -> list[OutgoingMessage]:
        """The message that is due, if any; sets `due` to the time of the next one."""
        if now < self.due:
            return []
        peer = self._peers.next_peer()
        if peer is None:
            self.due = now + MIN_PEER_INTERVAL
            return []
        message = GossipMessage(incarnation, self._choose_sets(now, sets))
        size = wire_size(message)
        self.sent_messages += 1
        self.sent_bytes += size
        self.due = now + max(MIN_PEER_INTERVAL // len(self._peers), size * SECOND // self._bytes_per_second)
        return [OutgoingMessage(peer, message)]

    def _choose_sets(self, now: int, sets: LocalEntrySets) -> tuple[EntrySet, ...]:
        in_flight = sets.get(now, EntryKind.IN_FLIGHT)
        if now < self._slow_set_due:
            return (in_flight,)
        self._slow_set_due = now + SLOW_SET_INTERVAL
        slow = self._next_slow_set(now, sets)
        if slow.entries or slow.remainder:
            return in_flight, slow
        return (in_flight,)

    def _next_slow_set(self, now: int, sets: LocalEntrySets) -> EntrySet:
        kind = SLOW_KIND_SEQUENCE[self._slow_kind_index % len(SLOW_KIND_SEQUENCE)]
        self._slow_kind_index += 1
        if kind != EntryKind.WARM_INSTANCES:
            return sets.get(now, kind)
        self._warm_partition = (self._warm_partition + 1) % WARM_PARTITIONS
        return sets.get(now, kind, self._warm_partition)
