"""Rate limits on received messages; a message above its limit is dropped before it is decoded."""

from collections.abc import Iterable

from gaproute.shared.dissemination.bounds import PEER_MESSAGES_PER_SECOND, UNKNOWN_SENDER_MESSAGES_PER_SECOND
from gaproute.shared.token_bucket import TokenBucket


class ReceiveLimits:
    """A token bucket for each peer of the view, and one for all other senders together."""

    def __init__(self, now: int) -> None:
        self.unknown_senders = TokenBucket(
            UNKNOWN_SENDER_MESSAGES_PER_SECOND, UNKNOWN_SENDER_MESSAGES_PER_SECOND, now
        )
        self.peers: dict[str, TokenBucket] = {}

    def set_peers(self, names: Iterable[str]) -> None:
        """Replaces the peers of the view; peers that stay keep their token buckets."""
        self.peers = {name: self.peers[name] for name in names if name in self.peers}

    def allows(self, now: int, sender: str, *, is_peer: bool) -> bool:
        """Whether a message of the sender is within the limit, and may be decoded."""
        if not is_peer:
            return self.unknown_senders.take(now, 1)
        bucket = self.peers.get(sender)
        if bucket is None:
            bucket = self.peers[sender] = TokenBucket(PEER_MESSAGES_PER_SECOND, PEER_MESSAGES_PER_SECOND, now)
        return bucket.take(now, 1)
