"""Gossip: observations of demand and hosts that each gateway sends to all others; see `GossipNode`.

Demand, requests in flight, available capacity and warm instances are observed by one gateway and sent to all.
What is received expires, and is only a hint.
"""

from gaproute.shared.gossip.estimates import FleetEstimate
from gaproute.shared.gossip.messages import EntryKind, EntrySet, GossipMessage
from gaproute.shared.gossip.node import GossipNode

__all__ = ["EntryKind", "EntrySet", "FleetEstimate", "GossipMessage", "GossipNode"]
