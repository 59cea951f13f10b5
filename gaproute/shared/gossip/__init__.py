"""Gossip: each gateway sends its own observations of demand and hosts to all others; see `GossipNode`.

The observations are arrivals of requests, requests in flight, available capacity and warm instances. Received
observations expire and are only hints.
"""

from gaproute.shared.gossip.estimates import FleetEstimate
from gaproute.shared.gossip.messages import EntryKind, EntrySet, GossipMessage
from gaproute.shared.gossip.node import GossipNode

__all__ = ["EntryKind", "EntrySet", "FleetEstimate", "GossipMessage", "GossipNode"]
