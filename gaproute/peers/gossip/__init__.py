"""Gossip over the datagrams of the membership transport: `GossipTransport` and the wire format."""

from gaproute.peers.gossip.transport import GossipTransport
from gaproute.peers.gossip.wire import decode, encode

__all__ = ["GossipTransport", "decode", "encode"]
