"""Gossip of demand as a part: the product's transport, fed with the arrivals that clients would cause."""

from __future__ import annotations

from collections.abc import Sequence
from typing import ClassVar, Protocol

from gaproute.decisions.routing.host import Host
from gaproute.hollow.counting_transport import CountingTransport, PayloadSender
from gaproute.hollow.environment import GatewayEnvironment, RandomStream
from gaproute.hollow.host_list import HostListListener
from gaproute.hollow.parts import ControlPart, Parts
from gaproute.peers.gossip import GossipTransport
from gaproute.peers.ports import GossipSource
from gaproute.shared.gossip import GossipNode
from gaproute.shared.gossip.scheduler import BYTES_PER_SECOND_IN_CELLS, DEFAULT_BYTES_PER_SECOND
from gaproute.units import SECOND

FEED_INTERVAL = SECOND
ARRIVALS = 15  # in an interval
FUNCTIONS = 100
BUSY_HOSTS = 5  # with a request in flight: 15 arrivals a second that take 0.3 s each
REQUEST_CLASS = 0


class ObservedDecisions(GossipSource, Protocol):
    """The decisions whose requests and warm instances the gossip reports."""

    @property
    def active_hosts(self) -> Sequence[Host]:
        """The hosts that take requests."""


class ObservedHosts(Protocol):
    """The part `hosts` as the gossip uses it."""

    listeners: list[HostListListener]

    @property
    def decisions(self) -> ObservedDecisions:
        """The decisions about the listed hosts."""


class DemandGossipPart(ControlPart):
    """Needs the parts `membership` and `hosts`. It draws the arrivals, as there are no clients."""

    RATE: ClassVar[int] = DEFAULT_BYTES_PER_SECOND  # bytes a second that may be sent

    def __init__(self, environment: GatewayEnvironment, parts: Parts) -> None:
        loop = environment.loop
        self._random = environment.random(RandomStream.DEMAND)
        membership: PayloadSender = parts["membership"]
        self._counting_transport = CountingTransport(membership)
        self._hosts: ObservedHosts = parts["hosts"]
        self._gossip = GossipTransport(
            loop,
            environment.name,
            self._counting_transport,
            self._hosts.decisions,
            environment.random(RandomStream.GOSSIP),
            self.RATE,
        )
        self._hosts.listeners.append(self._gossip.set_hosts)
        self._busy_hosts: Sequence[str] = ()
        self.next_tick = loop.now()

    @property
    def node(self) -> GossipNode:
        """The decisions of this gossip."""
        return self._gossip.node

    def tick(self, now: int) -> None:
        """Feed the arrivals of one interval, and move the requests in flight to other hosts."""
        self.next_tick = now + FEED_INTERVAL
        for _ in range(ARRIVALS):  # functions with low numbers come more often
            number = self._random.below(FUNCTIONS) * self._random.below(FUNCTIONS) // FUNCTIONS
            self._gossip.record_arrival(now, f"model-{number:03}", REQUEST_CLASS)
        active_hosts = self._hosts.decisions.active_hosts
        chosen = self._draw_hosts(active_hosts) if active_hosts else []
        for host in self._busy_hosts:
            self.node.record_in_flight(host, 0)
        for host in chosen:
            self.node.record_in_flight(host, 1)
            self.node.record_warm_instance(now, host, f"model-{self._random.below(FUNCTIONS):03}")
        self._busy_hosts = chosen

    def counters(self) -> dict[str, int]:
        """`entries`: entries of all sets received; `tellers`: gateways from which any set is held."""
        received = self.node.table.received_sets
        held_sets = [entry_set for sets in received.values() for entry_set in sets.values()]
        return {
            "messages": self._counting_transport.messages,
            "bytes": self._counting_transport.bytes,
            "entries": sum(len(entry_set.entries) for entry_set in held_sets),
            "tellers": len(received),
            "refused": self.node.table.rejections.total(),
        }

    def close(self) -> None:
        """Send no more."""
        self._gossip.close()

    def _draw_hosts(self, hosts: Sequence[Host]) -> list[str]:
        return [hosts[self._random.below(len(hosts))].id for _ in range(BUSY_HOSTS)]


class CellDemandGossipPart(DemandGossipPart):
    """Leaves the dissemination of the cell table its share of the bytes that a gateway may send."""

    RATE: ClassVar[int] = BYTES_PER_SECOND_IN_CELLS
