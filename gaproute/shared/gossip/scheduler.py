"""Whom to tell, when and what: each peer in rounds, by a budget of bytes that does not grow with the fleet.

A word holds the tasks in hand, which change fast, and at a slower pace one other page in turn. In a large
fleet a round takes longer, and a reader holds a sample of the tellers by which it scales.
"""

from gaproute.shared.gossip.messages import DEMAND, HANDS, ROOM, SECOND, SLOTS, WARM, GossipMessage, size
from gaproute.shared.randomness import shuffle

RATE = 3_000  # bytes a second, headers included: under 4 kB with bursts and membership's beside it
RATE_IN_CELLS = 2_200  # where the table of cells takes a share of the 4 kB: 0.9 kB at 46,000 changes a day
EACH = SECOND // 2  # between two words to one peer at least: small fleets need not spend the budget
SLOW = SECOND // 4  # between two pages other than the tasks in hand
TURN = (DEMAND, WARM, DEMAND, WARM, ROOM, WARM, DEMAND, WARM)


class Told:
    """Whom to tell, when and what. `rate`: bytes a second."""

    def __init__(self, chance, now, rate=RATE):
        self.chance, self.rate = chance, rate
        self.peers = {}  # name: place in the list below
        self.names = []
        self.round, self.longest = [], 0  # names still to be told in this round, and how many it had
        self.next, self.slow = now, now
        self.turn = self.slot = 0
        self.sent = self.bytes = 0

    def listed(self, names):
        self.names = list(names)
        self.peers = dict.fromkeys(self.names)

    def tick(self, now, own, incarnation):
        """[(peer, GossipMessage)]; `next` is the time of the next call."""
        if now < self.next:
            return []
        name = self._peer()
        if name is None:
            self.next = now + EACH
            return []
        pages = [own.page(now, HANDS)]
        if now >= self.slow:
            self.slow = now + SLOW
            kind = TURN[self.turn % len(TURN)]
            self.turn += 1
            if kind == WARM:
                self.slot = (self.slot + 1) % SLOTS[WARM]
            page = own.page(now, kind, self.slot if kind == WARM else 0)
            if page.entries or page.rest:
                pages.append(page)
        word = GossipMessage(incarnation, tuple(pages))
        spent = size(word)
        self.sent += 1
        self.bytes += spent
        self.next = now + max(EACH // len(self.names), spent * SECOND // self.rate)
        return [(name, word)]

    def _peer(self):
        for _ in range(2):
            while self.round:
                name = self.round.pop()
                if name in self.peers:
                    return name
            self.round, self.longest = list(self.names), len(self.names)
            shuffle(self.round, self.chance)
        return None
