"""State on disk."""

from gaproute.storage.memory import Memory, NoMemory
from gaproute.storage.votes import Votes

__all__ = ["Memory", "NoMemory", "Votes"]
