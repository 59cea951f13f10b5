"""Keepers and holders on a net and clocks of the test's own: loss, doubling, late and cut words, crashes
that lose what was not synced, clocks of different rates."""
import heapq
import random

from gaproute.shared.keepers import Keeper
from gaproute.shared.keepers.invariants import History, check_all
from gaproute.shared.permits import Holder, Permits

MILLI, SECOND = 1_000_000, 1_000_000_000


class Chance(random.Random):
    def below(self, n):
        return self.randrange(n)


class Disk:
    """Records in memory; `synced` of them survive a crash. `fails`: what every write raises."""

    def __init__(self):
        self.records, self.synced, self.fails, self.put_aside = [], 0, None, []

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

    def aside(self, why):
        self.put_aside.append(why)
        self.records, self.synced = [], 0

    def crash(self, chance):
        del self.records[self.synced + chance.below(1 + len(self.records) - self.synced):]
        self.synced = len(self.records)


class Net:
    def __init__(self, seed, keepers=3, holders=0, loss=0, quiet=False, rates=False):
        self.chance, self.now, self.loss, self.flying, self.count = Chance(seed), 0, loss, [], 0
        self.names = [f"k{n}" for n in range(keepers)]
        self.disks = {name: Disk() for name in self.names}
        self.rate = {name: 1000 + (self.chance.below(21) - 10 if rates else 0)
                     for name in [*self.names, *(f"h{n}" for n in range(holders))]}
        self.quiet, self.cut, self.history, self.breaches = quiet, set(), History(), []
        self.keepers = {}
        for name in self.names:
            self.start(name)
        self.holders = {f"h{n}": Holder(f"h{n}", self.names, self.chance, self.clock(f"h{n}"))
                        for n in range(holders)}

    def clock(self, name):
        return self.now * self.rate[name] // 1000

    def start(self, name):
        self.keepers[name] = Keeper(name, self.names, self.disks[name], self.chance, self.clock(name),
                                    Permits(quiet=self.quiet, longest=9 * SECOND))

    def crash(self, name, lost=False):
        if self.keepers.pop(name, None) is not None:
            self.disks[name].crash(self.chance)
        if lost:
            self.disks[name] = Disk()

    def send(self, sender, messages):
        for to, message in messages:
            for _ in range(1 + (self.chance.below(100) < self.loss)):
                if self.chance.below(100) >= self.loss and (sender, to) not in self.cut:
                    self.count += 1
                    late = self.chance.below(2000 * self.loss + 1) if self.chance.below(10) == 0 else 0
                    heapq.heappush(self.flying, (self.now + (1 + self.chance.below(5) + late) * MILLI,
                                                 self.count, sender, to, message))

    def everyone(self):
        return {**self.keepers, **self.holders}

    def step(self):
        """To the next message or tick."""
        times = [(each.due * 1000 // self.rate[name] + 1, name) for name, each in self.everyone().items()
                 if each.due is not None]
        when, name = min(times)
        if self.flying and self.flying[0][0] <= when:
            when, _, sender, to, message = heapq.heappop(self.flying)
            self.now = max(self.now, when)
            each = self.everyone().get(to)
            if each is not None:
                self.send(to, each.hear(self.clock(to), sender, message))
        else:
            self.now = max(self.now, when)
            self.send(name, self.everyone()[name].tick(self.clock(name)))

    def run(self, span, check=None):
        end = self.now + span
        while self.now < end:
            self.step()
            self.check()

    def check(self):
        holders = [(each, self.clock(name)) for name, each in self.holders.items()]
        self.breaches += check_all(list(self.keepers.values()), holders, self.history)
        assert not self.breaches, self.breaches[:3]

    def whole(self):
        """Whether every keeper runs and is a member by what was agreed."""
        latest = max(self.keepers.values(), key=lambda each: each.commit, default=None)
        lives = {(each.name, each.life) for each in self.keepers.values()}
        return len(lives) == len(self.names) and lives == {
            (each.name, each.life) for each in latest.log.members_at(latest.commit)}

    @property
    def leader(self):
        return max((each for each in self.keepers.values() if each.leading), key=lambda each: each.term,
                   default=None)


def play(seed, keepers=3, holders=3, faults=60, lost=True):
    """Random faults and wishes from a seed; then all are healed. Returns the net."""
    net = Net(seed, keepers, holders, loss=10, quiet=seed % 4 == 0, rates=True)
    chance = net.chance
    for _ in range(faults):
        net.run((100 + chance.below(1500)) * MILLI)
        name, other = chance.choice(net.names), chance.choice([*net.names, *net.holders])
        deed = chance.below(8)
        if deed == 0:
            net.crash(name)
        elif deed == 1:
            net.cut.add((name, other))
        elif deed == 2:
            net.cut.clear()
        elif deed == 3 and lost and net.whole():
            net.crash(name, lost=True)       # one at a time: two of three are more than any majority bears
        elif deed == 4:
            net.disks[name].fails = "full"
        elif deed >= 5:
            for each in net.names:
                net.disks[each].fails = None
                if each not in net.keepers:
                    net.start(each)
        for each in net.holders:
            wish(net, each)
    net.cut.clear()
    for each in net.names:
        net.disks[each].fails = None
        if each not in net.keepers:
            net.start(each)
    net.loss = 0
    for _ in range(4):
        net.run(15 * SECOND)
        for each in net.holders:
            wish(net, each)
    return net


def wish(net, name):
    holder, now, deed = net.holders[name], net.clock(name), net.chance.below(6)
    held = [each for each in holder.wishes if each.may(now)]
    if deed < 3 and len(holder.wishes) < 4:
        resource = net.chance.choice(("a", "b", "room"))
        holder.take(now, resource, (1 + net.chance.below(8)) * SECOND, 1 + 2 * (resource == "room"))
    elif deed == 3 and held:
        holder.give(now, held[0])
    elif deed == 4:
        holder.size(now, "room", 4 + net.chance.below(4))
