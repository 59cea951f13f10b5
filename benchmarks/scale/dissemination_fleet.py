"""A fleet of disseminating gateways on a simulated network, from a seed: the same play every time.

Delays are one way: 1 to 3 ms within a zone, 5 ms between zones, 40 to 100 ms between regions. Datagrams are
lost by chance. An exchange is a TCP connection: a lost SYN costs a second, a lost segment one retransmission
timeout, doubled each time. Bytes are counted with headers, at the sender and at the receiver.
"""

import heapq
from array import array
from collections import defaultdict

from benchmarks.scale.stub_document import StubDocument, change_from
from gaproute.decisions.cells.version import Version
from gaproute.decisions.chance import Chance
from gaproute.shared.dissemination import Candidates, Disseminator, Peer
from gaproute.shared.dissemination.bounds import EXCHANGE_TIME, LOG_CHANGES, MILLISECOND, SECOND
from gaproute.shared.dissemination.messages import Busy, Pull, wire_size

REGIONS, ZONES = 5, 13
CELL_GATEWAYS, CELL_ENTRIES = 33, 3  # 16,000 gateways in 490 cells
PERMILLE = 1_000
SLOW_DELAY = 250 * MILLISECOND  # that a slow gateway takes for each message in and out
DATA_TIMEOUT = 200 * MILLISECOND  # of TCP at least, for a lost segment
SEGMENT = 1_400


class Node:
    """One gateway: its place in the fleet, its disseminator, when its timer is due."""

    def __init__(self, index, cells, seed, now, version):
        self.index, self.cell = index, index % cells
        self.zone = self.cell % ZONES
        self.region = self.zone % REGIONS
        self.peer = Peer(f"gateway{index}", f"10.0.{index >> 8}.{index & 255}:7000")
        chance = Chance(seed * 1_000_003 + index)
        self.disseminator = Disseminator(self.peer.name, StubDocument(version), chance, now)
        self.timer, self.alive, self.slow = None, True, False
        self.taken_at = 0  # when the version that it holds was taken


class DisseminationFleet:
    """`count` gateways that all hold version 1.1 and know their peers."""

    def __init__(self, count, seed, loss=0, slow=0):
        """`loss` of messages and `slow` gateways in parts of a thousand."""
        self.now, self.number = SECOND, 0
        self.loss, self.chance = loss, Chance(seed)
        self.events, self.nodes = [], []
        self.cut = None  # (node, node) -> whether nothing gets from the one to the other
        self.cells = max(1, -(-count // CELL_GATEWAYS))
        self.sent, self.received = array("Q"), array("Q")  # bytes by node
        self.messages = array("Q")  # sent, by node
        self.sent_in, self.received_in = self._by_second(), self._by_second()  # second: bytes by node
        self.after_handling = None  # called with each node that handled something
        for _ in range(count):
            self.add(Version(1, 1), seed, slow)
        self._list()

    def add(self, version, seed, slow=0):
        """One more gateway; its peers are listed by `listed`."""
        node = Node(len(self.nodes), self.cells, seed, self.now, version)
        node.slow = slow > 0 and self.chance.below(PERMILLE) < slow
        self.nodes.append(node)
        for counts in (self.sent, self.received, self.messages):
            counts.append(0)
        self.schedule(node)
        return node

    def _list(self):
        members = defaultdict(list)
        for node in self.nodes:
            members[node.cell].append(node.peer)
        for cell, peers in members.items():
            entries = defaultdict(list)
            for other, theirs in members.items():
                if other != cell:
                    entries[f"zone{other % ZONES}"] += theirs[:CELL_ENTRIES]
            entries = {zone: tuple(theirs) for zone, theirs in entries.items()}
            self._list_cell(cell, tuple(peers), entries)

    def _list_cell(self, cell, peers, entries):
        listed = Candidates(peers, entries, (), len(self.nodes))
        for peer in peers:
            self.node(peer).disseminator.set_candidates(listed)

    def node(self, peer):
        """The gateway of that name."""
        return self.nodes[int(peer.name[len("gateway") :])]

    # Running

    def publish(self, node):
        """A change made at that gateway; returns its version."""
        change = change_from(node.disseminator.document.version)
        self.handle(node, node.disseminator.publish(self.now, change))
        node.taken_at = self.now
        return change.version

    def run(self, until, stop=lambda: False):
        """Play until that time, or until `stop` is true."""
        while self.events and self.events[0][0] <= until and not stop():
            self.now, _, act, *told = heapq.heappop(self.events)
            act(*told)
        if not stop():
            self.now = max(self.now, until)

    def at(self, when, act, *told):
        """Call `act` then."""
        self.number += 1
        heapq.heappush(self.events, (when, self.number, act, *told))

    def schedule(self, node):
        """Set the gateway's timer to when it is due."""
        due = node.disseminator.due
        if node.timer is None or due < node.timer:
            node.timer = due
            self.at(max(due, self.now), self._tick, node, due)

    def _tick(self, node, when):
        if node.timer != when:
            return
        node.timer = None
        if node.alive:
            self.handle(node, node.disseminator.tick(self.now))

    def handle(self, node, sends):
        """Send what a gateway returned."""
        for send in sends:
            self._send(node, send)
        self.schedule(node)
        if self.after_handling is not None:
            self.after_handling(node)

    def _version_step(self, node, act, *told):
        """Let the gateway handle something, and note when it took a newer version."""
        if not node.alive:
            return
        before = node.disseminator.document.version
        sends = act(self.now, *told)
        if node.disseminator.document.version > before:
            node.taken_at = self.now
        self.handle(node, sends)

    # The network

    def _by_second(self):
        return defaultdict(lambda: array("Q", bytes(8 * len(self.nodes))))

    def forget_seconds(self):
        """Count the bytes of each second anew."""
        self.sent_in.clear()
        self.received_in.clear()

    def _count_sent(self, node, amount):
        self.sent[node.index] += amount
        self.sent_in[self.now // SECOND][node.index] += amount

    def _count_received(self, node, amount):
        self.received[node.index] += amount
        self.received_in[self.now // SECOND][node.index] += amount

    def _delay(self, one, other):
        if one.zone == other.zone:
            delay = MILLISECOND + self.chance.below(2 * MILLISECOND)
        elif one.region == other.region:
            delay = 5 * MILLISECOND
        else:
            delay = 40 * MILLISECOND + self.chance.below(60 * MILLISECOND)
        return delay + SLOW_DELAY * (one.slow + other.slow)

    def _lost(self):
        return self.loss and self.chance.below(PERMILLE) < self.loss

    def _cut(self, one, other):
        return self.cut is not None and self.cut(one, other)

    def _send(self, node, send):
        target = self.node(send.to)
        if isinstance(send.message, Pull):
            self._exchange(node, target, send.message)
            return
        self.messages[node.index] += 1
        self._count_sent(node, wire_size(send.message))
        if not self._lost() and not self._cut(node, target):
            self.at(self.now + self._delay(node, target), self._deliver, node, target, send.message)

    def _deliver(self, sender, node, message):
        self._count_received(node, wire_size(message))
        if node.alive and node.disseminator.admits(self.now, sender.peer.name):
            self._version_step(node, node.disseminator.receive, sender.peer, message)

    def _retries(self, timeout, segments):
        """What lost segments add; those that were lost are sent again until none is."""
        added = 0
        while segments := sum([bool(self._lost()) for _ in range(segments)]):
            added, timeout = added + timeout, 2 * timeout
        return added

    def _exchange(self, node, target, pull):
        self.messages[node.index] += 1
        self._count_sent(node, wire_size(pull) // 2)
        self._count_received(node, wire_size(pull) - wire_size(pull) // 2)
        if self._cut(node, target) or self._cut(target, node):
            self.at(self.now + EXCHANGE_TIME, self._pulled, node, target, None)
            return
        asked = self.now + 3 * self._delay(node, target) + self._retries(SECOND, 2)
        asked += self._retries(DATA_TIMEOUT, 1)
        self.at(asked, self._answer, node, target, pull, self.now + EXCHANGE_TIME)

    def _answer(self, node, target, pull, ends):
        if not target.alive or self.now > ends:
            self.at(max(self.now, ends), self._pulled, node, target, None)
            return
        answer = target.disseminator.answer(self.now, pull)
        self.messages[target.index] += 1
        self._count_sent(target, wire_size(answer))
        arrives = self.now + self._delay(target, node)
        segments = 1 if isinstance(answer, Busy) else -(-wire_size(answer) // SEGMENT)
        arrives += self._retries(DATA_TIMEOUT, segments)
        self.at(min(arrives, ends), self._pulled, node, target, answer if arrives <= ends else None)

    def _pulled(self, node, target, answer):
        if answer is not None:
            self._count_received(node, wire_size(answer))
        self._version_step(node, node.disseminator.receive_answer, target.peer, answer)

    # States that would take long to play

    def advance(self, nodes, changes):
        """These gateways took so many changes and have long been at rest."""
        log, version = [], nodes[0].disseminator.document.version
        for _ in range(changes):
            log.append(change_from(version))
            version = log[-1].version
        for node in nodes:
            replica = node.disseminator.replica
            replica.document.version, replica.document.digest = version, log[-1].digest
            for change in log[-LOG_CHANGES:]:
                replica.log.append(change)
        return version
