"""How much is listened to: what is beyond is dropped before it is decoded."""

from gaproute.shared.dissemination.bounds import PEER_MESSAGES, STRANGER_MESSAGES
from gaproute.shared.token_bucket import TokenBucket


class ReceiveLimits:
    """A budget of messages for each peer of the view, and one for all strangers together."""

    def __init__(self, now: int):
        self.strangers = TokenBucket(STRANGER_MESSAGES, STRANGER_MESSAGES, now)
        self.peers = {}  # name: TokenBucket

    def listed(self, names):
        """Peers of the view as they are now."""
        self.peers = {name: self.peers[name] for name in names if name in self.peers}

    def admits(self, now: int, sender: str, known: bool) -> bool:
        """Whether a message of that sender is to be read."""
        if not known:
            return self.strangers.take(now, 1)
        budget = self.peers.get(sender)
        if budget is None:
            budget = self.peers[sender] = TokenBucket(PEER_MESSAGES, PEER_MESSAGES, now)
        return budget.take(now, 1)
