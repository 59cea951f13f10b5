"""Other gateways: the address at which they ask, what is asked of them, and datagrams between all."""

from gaproute.peers.membership import MembershipTransport
from gaproute.peers.observation_client import ObservationClient
from gaproute.peers.peer_server import PeerServer

__all__ = ["MembershipTransport", "ObservationClient", "PeerServer"]
