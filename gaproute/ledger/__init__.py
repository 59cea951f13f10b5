"""State on disk."""
from gaproute.ledger.memory import Memory, NoMemory

__all__ = ["Memory", "NoMemory"]
