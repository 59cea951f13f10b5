"""What gateways tell one another. Advice only: nothing that the rules rest on comes from here."""

from gaproute.peers.membership import MembershipTransport
from gaproute.peers.observation_client import ObservationClient
from gaproute.peers.peer_server import PeerServer

__all__ = ["PeerServer", "MembershipTransport", "ObservationClient"]
