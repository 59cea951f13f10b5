"""Requests in a simulated fleet whose gateways gossip: what each gateway sees, and what is true of all."""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections.abc import Mapping

from gaproute.shared.gossip import GossipNode

SECOND = 1_000_000_000
STEP = SECOND // 4  # in which requests come
HISTORY_STEPS = 5 * SECOND // STEP  # of true counts that are kept
HOSTS, FUNCTIONS = 120, 100
RATE = 15  # requests a second that a gateway takes on average
RATE_WEIGHTS = (1 / 30, 0.5, 1, 1, 1, 1.5, 10)  # of a gateway's rate, by chance
DURATION = 0.3  # s that a request takes on average
HOSTS_OF_A_FUNCTION = 6
BUSYNESS = (0.3, 1.7)  # bounds of a host's weight in the choice of one
CHANGED_HOSTS = 3  # whose weight is drawn anew in a step
MAX_EXACT_MEAN = 30  # of a Poisson distribution that is drawn exactly


def poisson(source: random.Random, mean: float) -> int:
    """A Poisson distributed number: by Knuth's algorithm, of a large mean by the normal distribution."""
    if mean > MAX_EXACT_MEAN:
        return max(0, round(source.gauss(mean, mean**0.5)))
    limit, count, product = 2.718281828459045**-mean, 0, source.random()
    while product > limit:
        count, product = count + 1, product * source.random()
    return count


class GossipTraffic:
    """Requests at all gateways; the gossip nodes are told what their gateways see of them.

    `in_flight`: by gateway, requests in flight by host; `true_counts`: of all gateways; `history`: true
    counts of the last steps. `instances`: when each (host, function) was used last, ns.
    """

    def __init__(self, nodes: Mapping[str, GossipNode], source: random.Random) -> None:
        self._nodes, self._random = nodes, source
        self.hosts = [f"host-{number:03}" for number in range(HOSTS)]
        self.functions = [f"model-{number:03}" for number in range(FUNCTIONS)]
        self.popularity = [1 / (rank + 1) for rank in range(FUNCTIONS)]
        self._hosts_of = [source.sample(self.hosts, HOSTS_OF_A_FUNCTION) for _ in self.functions]
        self._busyness = {host: source.uniform(*BUSYNESS) for host in self.hosts}
        weights = [source.choice(RATE_WEIGHTS) for _ in nodes]
        self.rates = {
            name: RATE * weight * len(nodes) / sum(weights)
            for name, weight in zip(nodes, weights, strict=True)
        }
        self.in_flight: dict[str, Counter[str]] = {name: Counter() for name in nodes}
        self.true_counts: Counter[str] = Counter()
        self.history: list[Counter[str]] = []
        self.instances: dict[tuple[str, str], int] = {}
        self._ends: list[tuple[int, str, str]] = []  # a heap: when, gateway, host

    def true_demand(self, rank: int) -> float:
        """Requests a second for the function of that rank, over the whole fleet."""
        return sum(self.rates.values()) * self.popularity[rank] / sum(self.popularity)

    def step(self, now: int) -> None:
        """Play the requests of one step."""
        self._end_requests(now)
        for host in self._random.sample(self.hosts, CHANGED_HOSTS):
            self._busyness[host] = self._random.uniform(*BUSYNESS)
        for name in self._nodes:
            count = poisson(self._random, self.rates[name] * STEP / SECOND)
            for rank in self._random.choices(range(FUNCTIONS), self.popularity, k=count):
                self._begin_request(now, name, rank)
        self.history = [*self.history, Counter(self.true_counts)][-HISTORY_STEPS:]

    def _begin_request(self, now: int, name: str, rank: int) -> None:
        hosts, function, node = self._hosts_of[rank], self.functions[rank], self._nodes[name]
        host = self._random.choices(hosts, [self._busyness[each] for each in hosts])[0]
        node.record_arrival(now, function, 0)
        node.record_warm_instance(now, host, function)
        self.instances[host, function] = now
        self._count(name, host, 1)
        duration = round(self._random.expovariate(1 / DURATION) * SECOND)
        heapq.heappush(self._ends, (now + duration, name, host))

    def _end_requests(self, now: int) -> None:
        while self._ends and self._ends[0][0] <= now:
            _, name, host = heapq.heappop(self._ends)
            self._count(name, host, -1)

    def _count(self, name: str, host: str, change: int) -> None:
        self.in_flight[name][host] += change
        self.true_counts[host] += change
        self._nodes[name].record_in_flight(host, self.in_flight[name][host])
