"""Carries what keepers and holders say between gateways; nothing runs unless it is made.

seat = HostedNode(loop, name, keepers, peers, record, disk=None, ...)   disk: this gateway is a keeper as well
seat.holder.acquire(...), then seat.act()       the holder's side; `act` after every call on it
seat.carrier.handle(server, request)         for a server that listens already: `POST /keepers`
seat.carrier.listen(where)                   or an address of its own
"""

from gaproute.peers.raft.carrier import Carrier
from gaproute.peers.raft.hosted_node import HostedNode

__all__ = ["Carrier", "HostedNode"]
