"""Gossip of demand as a part: the product's carrier, fed the arrivals that clients would cause."""

from gaproute.hollow.parts import ControlPart
from gaproute.peers.gossip import GossipTransport
from gaproute.shared.gossip.scheduler import RATE, RATE_IN_CELLS

SECOND = 1_000_000_000
EVERY = SECOND  # between two feeds
ARRIVALS = 15  # a second
FUNCTIONS = 100
BUSY_HOSTS = 5  # with a request in flight at once: 15 arrivals a second of 0.3 s each
TRACK = 0


class CountingTransport:
    """The membership as the carrier sees it, with what the carrier sends counted apart."""

    def __init__(self, part):
        self.part, self.membership = part, part.members
        self.register = part.gossip.register
        self.messages = self.bytes = 0

    def send_payload(self, where, kind, data):
        """Sends one datagram."""
        self.messages += 1
        self.bytes += self.part.post(where, kind, data)


class DemandGossipPart(ControlPart):
    """Needs the parts `membership` and `hosts`. The arrivals are drawn here, as no client asks."""

    RATE = RATE  # bytes a second

    def __init__(self, environment, parts):
        self.loop, self.chance = environment.loop, environment.chance(7)
        self.posts, self.hosts = CountingTransport(parts["membership"]), parts["hosts"]
        self.carrier = GossipTransport(
            self.loop,
            environment.name,
            self.posts,
            self.hosts.gateway,
            environment.chance(4),
            self.RATE,
        )
        self.hosts.followers.append(self.carrier.listed)
        self.busy = ()
        self.due = self.loop.now()

    @property
    def node(self):
        """The decisions of this gossip."""
        return self.carrier.node

    def tick(self, now):
        """Feeds the arrivals of one interval, and moves the requests in flight to other hosts."""
        self.due = now + EVERY
        for _ in range(ARRIVALS):
            place = self.chance.below(FUNCTIONS) * self.chance.below(FUNCTIONS) // FUNCTIONS
            self.carrier.arrived(now, f"model-{place:03}", TRACK)
        fleet = self.hosts.gateway.active_hosts
        chosen = [fleet[self.chance.below(len(fleet))].id for _ in range(BUSY_HOSTS)] if fleet else []
        for host in self.busy:
            self.node.record_in_flight(host, 0)
        for host in chosen:
            self.node.record_in_flight(host, 1)
            self.node.record_warm_instance(now, host, f"model-{self.chance.below(FUNCTIONS):03}")
        self.busy = chosen

    def counters(self):
        """`entries`: entries of all sets received; `tellers`: gateways of which any set is held."""
        sets = [held for sets in self.node.table.received.values() for held in sets.values()]
        return {
            "messages": self.posts.messages,
            "bytes": self.posts.bytes,
            "entries": sum(len(held.entries) for held in sets),
            "tellers": len(self.node.table.received),
            "refused": self.node.table.rejections.total(),
        }

    def close(self):
        """Tells no more."""
        self.carrier.close()


class CellDemandGossipPart(DemandGossipPart):
    """Leaves the dissemination of the cell table its share of a gateway's bytes."""

    RATE = RATE_IN_CELLS
