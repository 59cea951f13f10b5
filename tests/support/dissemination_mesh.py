"""A few disseminating gateways whose messages a test delivers, drops, doubles and orders as it likes."""

from benchmarks.scale.stub_document import FLEET, StubDocument, change_from, digest_of
from gaproute.decisions.cells.version import Version
from gaproute.decisions.chance import Chance
from gaproute.shared.dissemination import Candidates, Change, Disseminator, Peer
from gaproute.shared.dissemination.invariants import InvariantMonitor
from gaproute.shared.dissemination.messages import Pull
from gaproute.units import MILLI, SECOND

__all__ = ["FLEET", "Mesh", "StubDocument", "Version", "change_from", "digest_of", "term_change"]

FIRST = Version(1, 1)


def term_change(base, term):
    """A change by which a new writer begins a term."""
    version = Version(term, 1)
    return Change(base, version, digest_of(version), b"term")


class Mesh:
    """`count` gateways that know each other; `flight` holds (sender, receiver, message)."""

    def __init__(self, count, seed=1, versions=(), whole_bytes=9_000):
        self.now = SECOND
        self.flight = []
        self.peers = [Peer(f"gateway{index}", f"127.0.0.1:{7000 + index}") for index in range(count)]
        self.nodes = []
        for index in range(count):
            version = versions[index] if index < len(versions) else FIRST
            document = StubDocument(version, whole_bytes)
            self.nodes.append(Disseminator(self.peers[index].name, document, Chance(seed + index), self.now))
            self.nodes[-1].set_candidates(Candidates(tuple(self.peers), {}, (), count))
        self.watches = [InvariantMonitor(node) for node in self.nodes]

    def versions(self):
        """What each holds."""
        return [node.document.version for node in self.nodes]

    def send(self, index, sends):
        """Put what a gateway returned on its way."""
        for send in sends:
            if send.to in self.peers:  # a message to an address where nobody listens is lost
                self.flight.append((index, self.peers.index(send.to), send.message))
        self.check()

    def check(self):
        """All invariants of all gateways."""
        for watch in self.watches:
            assert watch.check() == []

    def publish(self, index, change=None):
        """A change made there: the next one unless it is given."""
        node = self.nodes[index]
        self.send(index, node.publish(self.now, change or change_from(node.document.version)))

    def deliver(self, place, *, drop=False, double=False):
        """Deliver one message; a pull and its answer go at once, dropped is either."""
        sender, receiver, message = self.flight[place]
        if not double:
            del self.flight[place]
        if isinstance(message, Pull):
            answer = None if drop else self.nodes[receiver].answer_pull(self.now, message)
            self.send(sender, self.nodes[sender].receive_pull_answer(self.now, self.peers[receiver], answer))
        elif not drop:
            self.send(receiver, self.nodes[receiver].receive(self.now, self.peers[sender], message))

    def pass_time(self, span):
        """Time passes; each gateway whose timer is due ticks."""
        self.now += span
        for index, node in enumerate(self.nodes):
            if self.now >= node.due:
                self.send(index, node.tick(self.now))

    def settle(self, seconds=20, blocked=lambda sender, receiver: False):
        """Play on with every message delivered in order, but what is blocked."""
        for _ in range(seconds * 20):
            self.pass_time(50 * MILLI)
            for _ in range(1_000):
                if not self.flight:
                    break
                sender, receiver, message = self.flight[0]
                lost = blocked(sender, receiver)
                lost = lost or isinstance(message, Pull) and blocked(receiver, sender)
                self.deliver(0, drop=lost)
            assert not self.flight, "the messages do not come to an end"
