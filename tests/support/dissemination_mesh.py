"""A few gateways that disseminate a document; the test delivers, drops, duplicates and reorders messages."""

from benchmarks.scale.stub_document import FLEET, StubDocument, change_from, digest_of
from gaproute.decisions.cells.version import Version
from gaproute.decisions.chance import RandomGenerator
from gaproute.shared.dissemination import Candidates, Change, Disseminator, Peer
from gaproute.shared.dissemination.invariants import InvariantMonitor
from gaproute.shared.dissemination.messages import Pull
from gaproute.units import MILLI, SECOND

__all__ = ["FLEET", "Mesh", "StubDocument", "Version", "change_from", "digest_of", "term_change"]

FIRST_VERSION = Version(1, 1)


def term_change(base, term):
    """The first change of a new term, made by a new writer."""
    version = Version(term, 1)
    return Change(base, version, digest_of(version), b"term")


class Mesh:
    """`count` gateways that know each other. `in_flight`: undelivered (sender, receiver, message)."""

    def __init__(self, count, seed=1, versions=(), whole_bytes=9_000):
        self.now = SECOND
        self.in_flight = []
        self.peers = [Peer(f"gateway{index}", f"127.0.0.1:{7000 + index}") for index in range(count)]
        self.nodes = []
        for index in range(count):
            version = versions[index] if index < len(versions) else FIRST_VERSION
            document = StubDocument(version, whole_bytes)
            self.nodes.append(
                Disseminator(self.peers[index].name, document, RandomGenerator(seed + index), self.now)
            )
            self.nodes[-1].set_candidates(Candidates(tuple(self.peers), {}, (), count))
        self.monitors = [InvariantMonitor(node) for node in self.nodes]

    def versions(self):
        """The current version of each gateway."""
        return [node.document.version for node in self.nodes]

    def send(self, index, sends):
        """Puts the messages that a gateway returned in flight."""
        for send in sends:
            if send.to in self.peers:  # a message to another address is lost
                self.in_flight.append((index, self.peers.index(send.to), send.message))
        self.check()

    def check(self):
        """Checks all invariants of all gateways."""
        for monitor in self.monitors:
            assert monitor.check() == []

    def publish(self, index, change=None):
        """Publishes a change at that gateway, by default the one that follows its current version."""
        node = self.nodes[index]
        self.send(index, node.publish(self.now, change or change_from(node.document.version)))

    def deliver(self, index, *, drop=False, duplicate=False):
        """Delivers or drops one message, which stays in flight if `duplicate`; a pull with its answer."""
        sender, receiver, message = self.in_flight[index]
        if not duplicate:
            del self.in_flight[index]
        if isinstance(message, Pull):
            answer = None if drop else self.nodes[receiver].answer_pull(self.now, message)
            self.send(sender, self.nodes[sender].receive_pull_answer(self.now, self.peers[receiver], answer))
        elif not drop:
            self.send(receiver, self.nodes[receiver].receive(self.now, self.peers[sender], message))

    def advance_time(self, duration):
        """Advances the clock, and ticks each gateway that is due."""
        self.now += duration
        for index, node in enumerate(self.nodes):
            if self.now >= node.due:
                self.send(index, node.tick(self.now))

    def settle(self, seconds=20, is_blocked=lambda sender, receiver: False):
        """Runs on and delivers all messages in order, except those on blocked links."""
        for _ in range(seconds * 20):
            self.advance_time(50 * MILLI)
            for _ in range(1_000):
                if not self.in_flight:
                    break
                sender, receiver, message = self.in_flight[0]
                is_lost = is_blocked(sender, receiver)
                is_lost = is_lost or isinstance(message, Pull) and is_blocked(receiver, sender)
                self.deliver(0, drop=is_lost)
            assert not self.in_flight, "the gateways send messages without end"
