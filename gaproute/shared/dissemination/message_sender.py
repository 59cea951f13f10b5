"""What goes out: messages within a budget of bytes a second. What finds no room is dropped and counted; the
announcements of anti-entropy mend it."""

from gaproute.shared.dissemination.bounds import FANOUT, MESSAGE_BURST, MESSAGE_RATE, PUSH_BYTES
from gaproute.shared.dissemination.messages import Announcement, Push, Send, changes_size, size
from gaproute.shared.token_bucket import TokenBucket


class MessageSender:
    """Each method returns the messages to send: none where the budget is spent."""

    def __init__(self, document, view, now):
        self.document, self.view = document, view
        self.budget = TokenBucket(MESSAGE_RATE, MESSAGE_BURST, now)
        self.sent = self.bytes = self.held_back = 0

    def announce(self, now, peer):
        """The version held."""
        document = self.document
        return self.send(now, peer, Announcement(document.fleet, document.version, document.digest))

    def push(self, now, peer, changes):
        """Changes, which must fit one datagram."""
        return self.send(now, peer, Push(self.document.fleet, changes))

    def spread(self, now, changes, but):
        """Tell a few peers but that one of a version just taken, by its changes where they fit."""
        fits = changes and changes_size(changes) <= PUSH_BYTES
        sends = []
        for peer in self.view.draw(FANOUT, but):
            sends += self.push(now, peer, changes) if fits else self.announce(now, peer)
        return sends

    def send(self, now, peer, message):
        """Any message, within the budget."""
        cost = size(message)
        if not self.budget.take(now, cost):
            self.held_back += 1
            return []
        self.sent += 1
        self.bytes += cost
        return [Send(peer, message)]
