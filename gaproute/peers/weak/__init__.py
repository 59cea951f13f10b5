"""The weak word on datagrams: `Carrier` sends and takes it by the membership's socket; `wire`: its bytes."""

from gaproute.peers.weak.carrier import Carrier
from gaproute.peers.weak.wire import decode, encode

__all__ = ["Carrier", "decode", "encode"]
