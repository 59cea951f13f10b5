"""Gossip: what each gateway observes of demand and hosts, sent to all others. Face: `GossipNode`."""

from gaproute.shared.gossip.estimates import Reading
from gaproute.shared.gossip.messages import EntrySet, GossipMessage
from gaproute.shared.gossip.node import GossipNode

__all__ = ["EntrySet", "Reading", "GossipNode", "GossipMessage"]
