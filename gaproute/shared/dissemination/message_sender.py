"""Limits the messages that a gateway sends to a budget of bytes per second.

A message above the budget is dropped and counted; later announcements make up for it.
"""

from gaproute.shared.dissemination.bounds import (
    FANOUT,
    MAX_PUSH_BYTES,
    MESSAGE_BURST_BYTES,
    MESSAGE_BYTES_PER_SECOND,
)
from gaproute.shared.dissemination.document import Document
from gaproute.shared.dissemination.messages import (
    Announcement,
    Change,
    OutgoingMessage,
    Peer,
    Pull,
    Push,
    changes_size,
    wire_size,
)
from gaproute.shared.dissemination.partial_view import PartialView
from gaproute.shared.token_bucket import TokenBucket


class MessageSender:
    """Composes messages. Each method returns the messages to send; none if the budget is spent."""

    def __init__(self, document: Document, view: PartialView, now: int) -> None:
        self.document, self.view = document, view
        self.budget = TokenBucket(MESSAGE_BYTES_PER_SECOND, MESSAGE_BURST_BYTES, now)
        self.sent_messages = self.sent_bytes = 0
        self.dropped_messages = 0  # above the budget

    def announce(self, now: int, peer: Peer) -> list[OutgoingMessage]:
        """Announces the current version to the peer."""
        document = self.document
        return self.send(now, peer, Announcement(document.fleet, document.version, document.digest))

    def push(self, now: int, peer: Peer, changes: tuple[Change, ...]) -> list[OutgoingMessage]:
        """Pushes changes, which must fit in one datagram, to the peer."""
        return self.send(now, peer, Push(self.document.fleet, changes))

    def push_to_sample(self, now: int, changes: tuple[Change, ...], excluded: str) -> list[OutgoingMessage]:
        """Pushes a new version to a few random peers; announces it if its changes do not fit in a datagram.

        `excluded`: the name of a peer that is not chosen, as it has the version.
        """
        fits = changes and changes_size(changes) <= MAX_PUSH_BYTES
        sends: list[OutgoingMessage] = []
        for peer in self.view.sample(FANOUT, excluded):
            sends += self.push(now, peer, changes) if fits else self.announce(now, peer)
        return sends

    def send(self, now: int, peer: Peer, message: Announcement | Push | Pull) -> list[OutgoingMessage]:
        """Charges a message to the budget and returns it, or drops it if the budget is spent."""
        size = wire_size(message)
        if not self.budget.take(now, size):
            self.dropped_messages += 1
            return []
        self.sent_messages += 1
        self.sent_bytes += size
        return [OutgoingMessage(peer, message)]
