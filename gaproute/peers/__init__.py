"""What gateways tell one another. Advice only: nothing that the rules rest on comes from here."""

from gaproute.peers.giver import Giver
from gaproute.peers.learner import Learner
from gaproute.peers.membership import MembershipTransport

__all__ = ["Giver", "MembershipTransport", "Learner"]
