"""Gateways that probe each other, on a clock and a network that stand for real ones: no sockets, no
waiting."""

import heapq

from gaproute.decisions.chance import Chance
from gaproute.peers.membership_wire import encode
from gaproute.shared.membership import Membership

MILLI = 1_000_000
LINK = 5 * MILLI  # that a message takes


class MembershipNetwork:
    """`size` gateways, each named the others'; messages take LINK. `lost(sender, to)` says what is lost."""

    def __init__(self, size, seed=1, known=None):
        self.now, self.count, self.events, self.sizes = 0, 0, [], []
        self.lost = lambda sender, to: False
        self.down = set()
        self.nodes, self.stopped = {}, set()
        for number in range(size):
            self.start(
                f"g{number}",
                seed * 100 + number,
                {f"g{other}": f"g{other}" for other in (range(size) if known is None else known)},
            )

    def start(self, name, seed, peers):
        node = self.nodes[name] = Membership(name, name, Chance(seed), self.now)
        node.configure(self.now, peers)
        self.down.discard(name)
        self.push(node.due, "tick", name, node)

    def push(self, when, what, name, told):
        self.count += 1
        heapq.heappush(self.events, (when, self.count, what, name, told))

    def send(self, sender, words):
        for to, word in words:
            self.sizes.append(len(encode(word)))
            if not self.lost(sender, to):
                self.push(self.now + LINK, "hear", to, word)

    def run(self, span):
        end = self.now + span
        while self.events and self.events[0][0] <= end:
            self.now, _, what, name, told = heapq.heappop(self.events)
            node = self.nodes.get(name)
            if name in self.down or node is None or what == "tick" and told is not node:
                continue
            if name in self.stopped:
                self.push(self.now + 10 * MILLI, what, name, told)
            elif what == "hear":
                self.send(name, node.receive(self.now, told))
            else:
                self.send(name, node.tick(self.now))
                self.push(max(node.due, self.now + MILLI), "tick", name, node)
        self.now = end

    def states_of(self, of):
        """The states in which the others hold it."""
        return {
            node.members[of].state
            for name, node in self.nodes.items()
            if name not in self.down and name != of and of in node.members
        }
