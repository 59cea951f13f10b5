"""What gateways tell one another. Advice only: nothing that the rules rest on comes from here."""

from gaproute.peers.giver import Giver
from gaproute.peers.gossip import Gossip
from gaproute.peers.learner import Learner

__all__ = ["Giver", "Gossip", "Learner"]
