"""Leases as a part: the product's Raft node and lease client; each gateway keeps one lease up."""

from gaproute.hollow.parts import Part
from gaproute.peers.raft import HostedNode
from gaproute.shared.leases import LeaseTable

SECOND = 1_000_000_000
SPAN = 30 * SECOND  # of the lease: renewed at half of it
LOOK = 5 * SECOND  # between two looks whether the lease stands
WITHIN = SECOND  # the first wish comes at some moment of it: gateways of a fleet do not start at once


class Leases(Part):
    """The first gateways that the configuration names as keepers keep; all hold.

    A keeper grants at once here: it does not wait out the leases of disks that may have been lost.
    """

    def __init__(self, surroundings, parts):
        self.loop, self.name = surroundings.loop, surroundings.name
        line = surroundings.configuration.raft_group
        self.peers = {}
        self.hosted_node = HostedNode(
            self.loop,
            self.name,
            line.names,
            self.peers,
            surroundings.record,
            surroundings.chance(5),
            disk=surroundings.open_votes(self.name) if self.name in line.names else None,
            fencing_base=surroundings.wall() // 1_000_000,
            machine=LeaseTable(initial_wait=False),
            make_transport=surroundings.open_carrier,
        )
        self.wish, self.refused, self.ended = None, 0, 0
        self.due = self.loop.now() + surroundings.chance(6).below(WITHIN)

    @property
    def held(self):
        """Whether the lease stands now."""
        return self.wish is not None and self.wish.valid_at(self.loop.now())

    def tick(self, now):
        """Wishes for the lease again where it was refused or ran out."""
        self.due = now + LOOK
        if self.wish is not None and self.wish.state in ("asked", "held"):
            return
        if self.wish is not None:
            self.refused += self.wish.state == "refused"
            self.ended += self.wish.state == "over"
        self.wish = self.hosted_node.client.acquire(now, f"gateway/{self.name}", SPAN)
        self.hosted_node.run_due()

    def listed(self, gateways):
        """Changed in place, as the transport holds it."""
        self.peers.clear()
        self.peers.update({gateway.name: gateway.where for gateway in gateways})

    def counters(self):
        """`entries`: a keeper's leases and log entries; `bytes`: counted by the simulated carrier alone."""
        node, transport = self.hosted_node.node, self.hosted_node.transport
        return {
            "messages": transport.counts["sent"],
            "bytes": transport.counts["bytes"],
            "entries": 0 if node is None else len(node.machine.leases) + len(node.log.entries),
            "held": int(self.held),
            "refused": self.refused,
            "ended": self.ended,
        }

    def close(self):
        """Gives nothing back: the lease runs out."""
        self.hosted_node.close()
