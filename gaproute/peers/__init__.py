"""Communication with other gateways: the server for their requests, and datagrams between all gateways."""

from gaproute.peers.membership import MembershipTransport
from gaproute.peers.observation_client import ObservationClient
from gaproute.peers.peer_server import PeerServer

__all__ = ["MembershipTransport", "ObservationClient", "PeerServer"]
