"""The weak word on datagrams: `Carrier` sends and takes it by the membership's socket; `wire`: its bytes."""

from gaproute.peers.gossip.carrier import Carrier
from gaproute.peers.gossip.wire import decode, encode

__all__ = ["Carrier", "decode", "encode"]
