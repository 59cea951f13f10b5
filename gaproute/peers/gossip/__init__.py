"""Gossip on datagrams: `GossipTransport` sends and receives by the membership's socket; `wire`: its bytes."""

from gaproute.peers.gossip.transport import GossipTransport
from gaproute.peers.gossip.wire import decode, encode

__all__ = ["GossipTransport", "decode", "encode"]
