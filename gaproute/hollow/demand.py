"""Gossip of demand as a part: the product's carrier, fed the arrivals that clients would cause."""

from gaproute.hollow.parts import Part
from gaproute.peers.gossip import Carrier
from gaproute.shared.gossip.told import RATE, RATE_IN_CELLS

SECOND = 1_000_000_000
EVERY = SECOND  # between two feeds
ARRIVALS = 15  # a second
FUNCTIONS = 100
BUSY_HOSTS = 5  # with a task in hand at once: 15 arrivals a second of 0.3 s each
TRACK = 0


class CountedPosts:
    """The membership as the carrier sees it, with what the carrier sends counted apart."""

    def __init__(self, part):
        self.part, self.membership = part, part.members
        self.register = part.gossip.register
        self.messages = self.bytes = 0

    def send_payload(self, where, kind, data):
        """Sends one datagram."""
        self.messages += 1
        self.bytes += self.part.post(where, kind, data)


class Demand(Part):
    """Needs the parts `membership` and `hosts`. The arrivals are drawn here, as no client asks."""

    RATE = RATE  # bytes a second

    def __init__(self, surroundings, parts):
        self.loop, self.chance = surroundings.loop, surroundings.chance(7)
        self.posts, self.hosts = CountedPosts(parts["membership"]), parts["hosts"]
        self.carrier = Carrier(
            self.loop,
            surroundings.name,
            self.posts,
            self.hosts.gateway,
            surroundings.chance(4),
            self.RATE,
        )
        self.hosts.followers.append(self.carrier.listed)
        self.busy = ()
        self.due = self.loop.now()

    @property
    def weak(self):
        """The decisions of this gossip."""
        return self.carrier.weak

    def tick(self, now):
        """Feeds the arrivals of one interval, and moves the tasks in hand to other hosts."""
        self.due = now + EVERY
        for _ in range(ARRIVALS):
            place = self.chance.below(FUNCTIONS) * self.chance.below(FUNCTIONS) // FUNCTIONS
            self.carrier.arrived(now, f"model-{place:03}", TRACK)
        fleet = self.hosts.gateway.active_hosts
        chosen = [fleet[self.chance.below(len(fleet))].id for _ in range(BUSY_HOSTS)] if fleet else []
        for host in self.busy:
            self.weak.saw_hands(now, host, 0)
        for host in chosen:
            self.weak.saw_hands(now, host, 1)
            self.weak.saw_warm(now, host, f"model-{self.chance.below(FUNCTIONS):03}")
        self.busy = chosen

    def counters(self):
        """`entries`: entries of all pages held of others; `tellers`: gateways of which any page is held."""
        pages = [held for pages in self.weak.store.tellers.values() for held in pages.values()]
        return {
            "messages": self.posts.messages,
            "bytes": self.posts.bytes,
            "entries": sum(len(held.entries) for held in pages),
            "tellers": len(self.weak.store.tellers),
            "refused": sum(self.weak.refused.values()) + sum(self.weak.store.refused.values()),
        }

    def close(self):
        """Tells no more."""
        self.carrier.close()


class DemandInCells(Demand):
    """Leaves the dissemination of the cell table its share of a gateway's bytes."""

    RATE = RATE_IN_CELLS
