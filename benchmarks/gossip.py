"""Gossip at scale, simulated: bytes and CPU a gateway, and how far figures of the fleet are from true.

    python benchmarks/gossip.py [--sizes 3,20,60,230,1000] [--seeds 1,2,3] [--jobs 4] [--out docs/measured]

Gateways on a simulated clock and network; decisions and bytes are the product's own. Each gateway takes 15
tasks a second on the average (some a thirtieth, some ten times as many) of 100 functions, the most wanted
with a fifth of all, and holds each for 0.3 s on one of 120 hosts; which hosts are busy moves within tens of
seconds. Cases: nothing lost, 5% and 20% of the words lost, three in ten ways between two gateways cut for
good, and one in twenty gateways that tells a million tasks in hand on each of 64 hosts.

Figures, after 20 s, at ten gateways every 5 s:
bytes/s   told by one gateway, with IP and UDP headers; as many come in. busiest: in, of the one that got most
CPU       of telling, hearing and their bytes, % of a core a gateway; read: us to read the hands of all hosts
hands     mean error of a host's tasks in hand over the fleet against their mean of the last 5 s, in % of the
          mean host; `alone`: by own tasks times the gateways; `now`: by all true counts at that moment
age       of the tasks in hand that others told, s; tellers: how many such words a reader holds
demand    mean error of the ten most wanted functions' arrivals a second, %; spread: told, over the true one
warm      copies used within 60 s that a reader can name, %; false: named, but never there
"""

import argparse
import heapq
import random
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path
from statistics import mean, median

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from benchmarks.rows import write
from gaproute.decisions.chance import Chance
from gaproute.peers import word_pb2
from gaproute.peers.gossip import decode, encode
from gaproute.shared.gossip import EntryKind, EntrySet, GossipNode
from gaproute.shared.gossip.invariants import check, own_observations_alone
from gaproute.shared.gossip.messages import HostEntry

SECOND = 1_000_000_000
STEP = SECOND // 4  # in which tasks come
LINK = 5_000_000  # that a word takes
HOSTS, FUNCTIONS, RATE, HELD = 120, 100, 15, 0.3
PLAY, FROM, EVERY, READERS = 45, 20, 5, 10
CASES = {"none": 0, "5% lost": 0.05, "20% lost": 0.2, "30% cut": 0, "5% lie": 0}


def poisson(dice, mean_of):
    """Knuth's way below 30, the normal distribution above."""
    if mean_of > 30:
        return max(0, round(dice.gauss(mean_of, mean_of**0.5)))
    limit, count, product = 2.718281828459045**-mean_of, 0, dice.random()
    while product > limit:
        count, product = count + 1, product * dice.random()
    return count


class Fleet:
    def __init__(self, size, case, seed):
        self.dice, self.size, self.loss = random.Random(f"{size} {case} {seed}"), size, CASES[case]
        names = [f"gate-{number}" for number in range(size)]
        self.nodes = {
            name: GossipNode(name, 1, Chance(seed * 10_000 + place), 0) for place, name in enumerate(names)
        }
        self.hosts = [f"host-{number:03}" for number in range(HOSTS)]
        self.functions = [f"model-{number:03}" for number in range(FUNCTIONS)]
        self.wanted = [1 / (place + 1) for place in range(FUNCTIONS)]
        self.homes = [self.dice.sample(self.hosts, 6) for _ in self.functions]
        self.busy = {host: self.dice.uniform(0.3, 1.7) for host in self.hosts}
        weights = [self.dice.choice((1 / 30, 0.5, 1, 1, 1, 1.5, 10)) for _ in names]
        self.rates = {
            name: RATE * weight * size / sum(weights) for name, weight in zip(names, weights, strict=True)
        }
        self.cut = {
            (one, other) for one in names for other in names if case == "30% cut" and self.dice.random() < 0.3
        }
        self.liars = set(names[::20]) if case == "5% lie" else set()
        for node in self.nodes.values():
            node.set_peers(0, names)
            node.set_hosts(0, dict.fromkeys(self.hosts, 1))
        self.now, self.count, self.events = 0, 0, []
        self.hands = {name: Counter() for name in names}  # name: tasks in hand by host
        self.ends = []
        self.true = Counter()
        self.past = []  # true counts of the last steps
        self.copies = {}  # (host, function): last used
        self.spent, self.out, self.came, self.words, self.breaches = 0.0, 0, Counter(), 0, []

    def tasks(self):
        """The tasks of one step."""
        while self.ends and self.ends[0][0] <= self.now:
            _, name, host = heapq.heappop(self.ends)
            self.hands[name][host] -= 1
            self.true[host] -= 1
            self.nodes[name].record_in_flight(host, self.hands[name][host])
        for host in self.dice.sample(self.hosts, 3):
            self.busy[host] = self.dice.uniform(0.3, 1.7)
        for name, node in self.nodes.items():
            count = poisson(self.dice, self.rates[name] * STEP / SECOND)
            for place in self.dice.choices(range(FUNCTIONS), self.wanted, k=count):
                homes = self.homes[place]
                host = self.dice.choices(homes, [self.busy[home] for home in homes])[0]
                function = self.functions[place]
                node.record_arrival(self.now, function, 0)
                node.record_warm_instance(self.now, host, function)
                self.copies[host, function] = self.now
                self.hands[name][host] += 1
                self.true[host] += 1
                node.record_in_flight(host, self.hands[name][host])
                until = self.now + round(self.dice.expovariate(1 / HELD) * SECOND)
                heapq.heappush(self.ends, (until, name, host))
        self.past = [*self.past, Counter(self.true)][-5 * SECOND // STEP :]

    def push(self, when, name, data=None, sender=None):
        self.count += 1
        heapq.heappush(self.events, (when, self.count, name, data, sender))

    def tick(self, name, node):
        begun = time.process_time()
        words = node.tick(self.now)
        sent = []
        for to, word in words:
            if name in self.liars:
                lie = EntrySet(
                    EntryKind.IN_FLIGHT,
                    0,
                    word.sets[0].sequence,
                    0,
                    0.0,
                    tuple([HostEntry(node.keys.key(host), 1e6) for host in self.hosts[:64]]),
                )
                word = word._replace(sets=(lie, *word.sets[1:]))
            made = word_pb2.Word(version=1, kind=6, weak=encode(word))
            made.sender.name = name
            sent.append((to, made.SerializeToString()))
        self.spent += time.process_time() - begun
        if self.count % 64 == 0 and name not in self.liars:
            for _, word in words:
                self.breaches += own_observations_alone(node, word)
        for to, data in sent:
            assert len(data) <= 1200
            self.words += 1
            self.out += len(data) + 28
            if self.dice.random() >= self.loss and (name, to) not in self.cut:
                self.push(self.now + LINK, to, data, name)
        self.push(max(node.due, self.now + 1_000_000), name)

    def run(self, until):
        while self.events[0][0] <= until:
            self.now, _, name, data, sender = heapq.heappop(self.events)
            if name is None:
                self.tasks()
                self.push(self.now + STEP, None)
            elif data is None:
                self.tick(name, self.nodes[name])
            else:
                self.hear(name, data)
        self.now = until

    def hear(self, name, data):
        self.came[name] += len(data) + 28
        begun = time.process_time()
        told = word_pb2.Word.FromString(data)
        self.nodes[name].receive_encoded(self.now, told.sender.name, lambda: decode(told.weak))
        self.spent += time.process_time() - begun

    def read(self, name):
        """The errors at one gateway."""
        node, now = self.nodes[name], self.now
        smooth = {host: mean([counts[host] for counts in self.past]) for host in self.hosts}
        usual = mean(smooth.values())

        def error(figures):
            return 100 * mean(abs(figures[host] - smooth[host]) for host in self.hosts) / usual

        begun = time.process_time()
        hands = {host: node.in_flight(now, host) for host in self.hosts}
        spent = time.process_time() - begun
        one = hands[self.hosts[0]]
        rate, share = sum(self.rates.values()), sum(self.wanted)
        demand, spread = [], []
        for place, function in enumerate(self.functions[:10]):
            told, true = node.demand(now, function, 0), rate * self.wanted[place] / share
            demand.append(100 * abs(told.total - true) / true)
            spread.append(told.deviation / (true / 2) ** 0.5)  # a step of 2 s: Poisson
        lately = {copy for copy, used in self.copies.items() if now - used < 60 * SECOND}
        named = {
            (host, function) for function in self.functions for host in node.warm_instances(now, function)
        }
        return {
            "read, us": 1e6 * spent,
            "hands": error({host: each.total for host, each in hands.items()}),
            "alone": error({host: self.hands[name][host] * self.size for host in self.hosts}),
            "now": error(self.true),
            "age, s": one.age / SECOND,
            "tellers": one.origins,
            "demand": mean(demand),
            "spread": mean(spread),
            "warm": 100 * len(named & lately) / len(lately),
            "false": len(named - self.copies.keys()),
        }


def play(size, case, seed):
    fleet = Fleet(size, case, seed)
    fleet.push(0, None)
    for name in fleet.nodes:
        fleet.push(fleet.dice.randrange(SECOND // 2), name)
    fleet.run(FROM * SECOND)
    fleet.spent, fleet.out, fleet.words = 0.0, 0, 0
    fleet.came.clear()
    honest = [name for name in fleet.nodes if name not in fleet.liars]
    found = []
    for at in range(FROM + EVERY, PLAY + 1, EVERY):
        fleet.run(at * SECOND)
        found += [fleet.read(name) for name in fleet.dice.sample(honest, min(READERS, len(honest)))]
    breaches = fleet.breaches + [
        breach for node in fleet.nodes.values() for breach in check(node, thorough=True)
    ]
    assert not breaches, breaches[:3]
    span = PLAY - FROM
    return {
        "words/s": fleet.words / span / size,
        "bytes/s": fleet.out / span / size,
        "busiest": max(fleet.came.values()) / span,
        "CPU, %": 100 * fleet.spent / span / size,
    } | {name: mean([each[name] for each in found]) for name in found[0]}


def told_of(runs, name):
    found = sorted(run[name] for run in runs)
    middle, low, high = (
        f"{figure:.3g}" if figure < 1000 else f"{figure:.0f}"
        for figure in (median(found), found[0], found[-1])
    )
    return middle + (f" ({low}-{high})" if low != high else "")


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--sizes", default="3,20,60,230,1000")
    arguments.add_argument("--seeds", default="1,2,3")
    arguments.add_argument("--jobs", type=int, default=4)
    arguments.add_argument("--out", default="docs/measured")
    told = arguments.parse_args()
    seeds = [int(seed) for seed in told.seeds.split(",")]
    cases = [(size, case) for size in map(int, told.sizes.split(",")) for case in CASES]
    rows = []
    with ProcessPoolExecutor(told.jobs) as pool:
        plays = {(*case, seed): pool.submit(play, *case, seed) for case in cases for seed in seeds}
        for size, case in cases:
            runs = [plays[size, case, seed].result() for seed in seeds]
            rows.append({"gateways": size, "faults": case} | {name: told_of(runs, name) for name in runs[0]})
            print(rows[-1], flush=True)
            write(told.out, "gossip", rows, plays=len(seeds))


if __name__ == "__main__":
    main()
