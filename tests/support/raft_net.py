"""Raft nodes and lease clients on a network and a clock of the test's own.

Random faults are for `gaproute/simulation`.
"""

import heapq
import random

from gaproute.shared.leases import LeaseClient, LeaseTable
from gaproute.shared.leases.group_invariants import GroupHistory, check_group
from gaproute.shared.raft import RaftNode

MILLI, SECOND = 1_000_000, 1_000_000_000


class Chance(random.Random):
    def below(self, n):
        return self.randrange(n)


class Disk:
    """Records in memory; `synced` of them survive a crash. `fails`: what every write raises."""

    def __init__(self):
        self.records, self.synced, self.fails, self.quarantined = [], 0, None, []

    def _may(self):
        if self.fails:
            raise OSError(self.fails)

    def read(self):
        return list(self.records)

    def append(self, record):
        self._may()
        self.records.append(record)

    def sync(self):
        self._may()
        self.synced = len(self.records)

    def replace(self, records):
        self._may()
        self.records, self.synced = list(records), len(records)

    def quarantine(self, why):
        self.quarantined.append(why)
        self.records, self.synced = [], 0

    def crash(self, chance):
        del self.records[self.synced + chance.below(1 + len(self.records) - self.synced) :]
        self.synced = len(self.records)


class Net:
    def __init__(self, seed, nodes=3, clients=0):
        self.chance, self.now, self.flying, self.count = Chance(seed), 0, [], 0
        self.names = [f"k{n}" for n in range(nodes)]
        self.disks = {name: Disk() for name in self.names}
        self.cut, self.history = set(), GroupHistory()
        self.nodes = {}
        for name in self.names:
            self.start(name)
        self.clients = {f"h{n}": LeaseClient(f"h{n}", self.names, self.chance, 0) for n in range(clients)}

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
            if (sender, to) not in self.cut:
                self.count += 1
                heapq.heappush(
                    self.flying,
                    (self.now + (1 + self.chance.below(5)) * MILLI, self.count, sender, to, message),
                )

    def everyone(self):
        return {**self.nodes, **self.clients}

    def step(self):
        """To the next message or tick."""
        when, name = min((each.due, name) for name, each in self.everyone().items() if each.due is not None)
        if self.flying and self.flying[0][0] <= when:
            when, _, sender, to, message = heapq.heappop(self.flying)
            self.now = max(self.now, when)
            each = self.everyone().get(to)
            if each is not None:
                self.send(to, each.hear(self.now, sender, message))
        else:
            self.now = max(self.now, when)
            self.send(name, self.everyone()[name].tick(self.now))

    def run(self, span):
        end = self.now + span
        while self.now < end:
            self.step()
            self.check()

    def check(self):
        clients = [(each, self.now) for each in self.clients.values()]
        assert check_group(list(self.nodes.values()), clients, self.history) == []

    @property
    def leader(self):
        return max(
            (each for each in self.nodes.values() if each.is_leader), key=lambda each: each.term, default=None
        )
