"""Gossip by datagrams: `GossipTransport` sends and receives on the membership's socket; `wire` encodes."""

from gaproute.peers.gossip.transport import GossipTransport
from gaproute.peers.gossip.wire import decode, encode

__all__ = ["GossipTransport", "decode", "encode"]
