"""State on disk."""

from gaproute.ledger.memory import Memory, NoMemory
from gaproute.ledger.votes import Votes

__all__ = ["Memory", "NoMemory", "Votes"]
