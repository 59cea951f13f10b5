"""Raft nodes and lease clients on a simulated network and clock.

Random faults are tested with `gaproute/simulation`.
"""

import heapq
import random

from gaproute.shared.leases import LeaseClient, LeaseTable
from gaproute.shared.leases.group_invariants import GroupHistory, check_group
from gaproute.shared.raft import RaftNode

MILLI, SECOND = 1_000_000, 1_000_000_000


class Chance(random.Random):
    def below(self, bound):
        return self.randrange(bound)


class Disk:
    """Records in memory; the first `synced` survive a crash. `fails` is the error text of every write."""

    def __init__(self):
        self.records, self.synced, self.fails, self.quarantined = [], 0, None, []

    def _raise_if_failing(self):
        if self.fails:
            raise OSError(self.fails)

    def read(self):
        return list(self.records)

    def append(self, record):
        self._raise_if_failing()
        self.records.append(record)

    def sync(self):
        self._raise_if_failing()
        self.synced = len(self.records)

    def replace(self, records):
        self._raise_if_failing()
        self.records, self.synced = list(records), len(records)

    def quarantine(self, reason):
        self.quarantined.append(reason)
        self.records, self.synced = [], 0

    def crash(self, chance):
        del self.records[self.synced + chance.below(1 + len(self.records) - self.synced) :]
        self.synced = len(self.records)


class Net:
    def __init__(self, seed, nodes=3, clients=0):
        self.chance, self.now, self.messages_in_flight, self.sent_messages = Chance(seed), 0, [], 0
        self.names = [f"k{number}" for number in range(nodes)]
        self.disks = {name: Disk() for name in self.names}
        self.cut_links, self.history = set(), GroupHistory()
        self.nodes = {}
        for name in self.names:
            self.start(name)
        self.clients = {
            f"h{number}": LeaseClient(f"h{number}", self.names, self.chance, 0) for number in range(clients)
        }

    def start(self, name):
        self.nodes[name] = RaftNode(
            name, self.names, self.disks[name], self.chance, self.now, LeaseTable(initial_wait=False)
        )

    def crash(self, name, *, lost=False):
        if self.nodes.pop(name, None) is not None:
            self.disks[name].crash(self.chance)
        if lost:
            self.disks[name] = Disk()

    def send(self, sender, messages):
        for to, message in messages:
            if (sender, to) not in self.cut_links:
                self.sent_messages += 1
                heapq.heappush(
                    self.messages_in_flight,
                    (self.now + (1 + self.chance.below(5)) * MILLI, self.sent_messages, sender, to, message),
                )

    def participants(self):
        return {**self.nodes, **self.clients}

    def step(self):
        """Advances the clock to the next message or tick and handles it."""
        when, name = min(
            (participant.due, name)
            for name, participant in self.participants().items()
            if participant.due is not None
        )
        if self.messages_in_flight and self.messages_in_flight[0][0] <= when:
            when, _, sender, to, message = heapq.heappop(self.messages_in_flight)
            self.now = max(self.now, when)
            receiver = self.participants().get(to)
            if receiver is not None:
                self.send(to, receiver.hear(self.now, sender, message))
        else:
            self.now = max(self.now, when)
            self.send(name, self.participants()[name].tick(self.now))

    def run(self, span):
        end = self.now + span
        while self.now < end:
            self.step()
            self.check()

    def check(self):
        clients = [(client, self.now) for client in self.clients.values()]
        assert check_group(list(self.nodes.values()), clients, self.history) == []

    @property
    def leader(self):
        return max(
            (node for node in self.nodes.values() if node.is_leader), key=lambda node: node.term, default=None
        )
