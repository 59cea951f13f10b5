"""When a message is sent and which sets it holds, by a budget of bytes that does not grow with the fleet.

A message holds the requests in flight, which change fast, and at a slower pace one other set in turn. In a
large fleet a round takes longer, and a receiver holds a sample of the origins by which it scales.
"""

from typing import NamedTuple

from gaproute.shared.gossip.entry_sets import LocalEntrySets
from gaproute.shared.gossip.messages import (
    SECOND,
    WARM_PARTITIONS,
    EntryKind,
    EntrySet,
    GossipMessage,
    wire_size,
)
from gaproute.shared.gossip.peer_rounds import PeerRounds

RATE = 3_000  # bytes a second, headers included: under 4 kB with bursts and membership's beside it
RATE_IN_CELLS = 2_200  # where the table of cells takes a share of the 4 kB: 0.9 kB at 46,000 changes a day
PEER_INTERVAL = SECOND // 2  # at least, between two messages to one peer: small fleets need not spend all
SLOW_INTERVAL = SECOND // 4  # between two sets other than the requests in flight
SLOW_KINDS = (
    EntryKind.DEMAND,
    EntryKind.WARM_INSTANCES,
    EntryKind.DEMAND,
    EntryKind.WARM_INSTANCES,
    EntryKind.AVAILABLE_CAPACITY,
    EntryKind.WARM_INSTANCES,
    EntryKind.DEMAND,
    EntryKind.WARM_INSTANCES,
)


class Outgoing(NamedTuple):
    """A message and the peer that it is for."""

    peer: str
    message: GossipMessage


class MessageScheduler:
    """Composes the messages in time. `rate`: bytes a second. Times are in ns."""

    def __init__(self, peers: PeerRounds, now: int, rate: int = RATE) -> None:
        self.due = now  # when the next message may be sent
        self.sent = 0  # messages
        self.bytes = 0
        self._peers, self._rate = peers, rate
        self._slow_due = now
        self._slow_turn = 0
        self._warm_partition = 0

    def tick(self, now: int, incarnation: int, sets: LocalEntrySets) -> list[Outgoing]:
        """The message that is due, if any; sets `due` anew."""
        if now < self.due:
            return []
        peer = self._peers.next()
        if peer is None:
            self.due = now + PEER_INTERVAL
            return []
        message = GossipMessage(incarnation, self._sets(now, sets))
        size = wire_size(message)
        self.sent += 1
        self.bytes += size
        self.due = now + max(PEER_INTERVAL // len(self._peers), size * SECOND // self._rate)
        return [Outgoing(peer, message)]

    def _sets(self, now: int, sets: LocalEntrySets) -> tuple[EntrySet, ...]:
        in_flight = sets.get(now, EntryKind.IN_FLIGHT)
        if now < self._slow_due:
            return (in_flight,)
        self._slow_due = now + SLOW_INTERVAL
        slow = self._next_slow_set(now, sets)
        if slow.entries or slow.remainder:
            return in_flight, slow
        return (in_flight,)

    def _next_slow_set(self, now: int, sets: LocalEntrySets) -> EntrySet:
        kind = SLOW_KINDS[self._slow_turn % len(SLOW_KINDS)]
        self._slow_turn += 1
        if kind != EntryKind.WARM_INSTANCES:
            return sets.get(now, kind)
        self._warm_partition = (self._warm_partition + 1) % WARM_PARTITIONS
        return sets.get(now, kind, self._warm_partition)
