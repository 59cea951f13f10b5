"""Gossip: what each gateway observes of demand and hosts, sent to all others. Face: `GossipNode`.

Demand, requests in flight, available capacity and warm instances are observed by one gateway and sent to all;
what is received expires and only advises.
"""

from gaproute.shared.gossip.estimates import FleetEstimate
from gaproute.shared.gossip.messages import EntryKind, EntrySet, GossipMessage
from gaproute.shared.gossip.node import GossipNode

__all__ = ["EntryKind", "EntrySet", "FleetEstimate", "GossipMessage", "GossipNode"]
