"""Communication between gateways: an HTTP server for requests of other gateways, and datagrams."""

from gaproute.peers.membership import MembershipTransport
from gaproute.peers.observation_client import ObservationClient
from gaproute.peers.peer_server import PeerServer

__all__ = ["MembershipTransport", "ObservationClient", "PeerServer"]
