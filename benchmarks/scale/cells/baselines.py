"""Other ways of bounding the view, on the same traffic: loads, waits and evenness of hosts.

Every host known, as today; two hosts drawn by chance, the less loaded taken; a fixed subset of the hosts for
each gateway without regard to functions; and cells.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Generator, Sequence
from random import Random
from typing import Any

from benchmarks.fleet.clock import SECOND
from benchmarks.scale.cells.fleet import Shape, location_of, make_table
from benchmarks.scale.cells.gateways import CellGateway
from benchmarks.scale.cells.hosts import CellHost
from benchmarks.scale.cells.popularity import Popularity
from benchmarks.scale.cells.terms import IDEMPOTENT
from benchmarks.scale.cells.world import CellWorld
from gaproute import interface as face
from gaproute.decisions.cells.table import CellTable
from gaproute.decisions.routing import Gateway

SHAPE = Shape(26, 10, 39, entries=3, host_capacity=2.0)
FUNCTIONS, EXPONENT = 20_000, 1.0
RATE = 400.0  # calls a second: hosts about 0.04 busy of 520 lanes
KEEP_ALIVE = 120 * SECOND
SUBSET = 20  # hosts that a gateway knows by "a fixed subset": as many as a gateway of cells
MAX_ATTEMPTS = 4  # of a call, where two hosts are drawn by chance
SECONDS, WARM_UP = 180, 100
EVERY_HOST, TWO_BY_CHANCE = "every host known", "two hosts by chance"
FIXED_SUBSET, CELLS = "a fixed subset of 20 hosts", "cells"
WAYS = (EVERY_HOST, TWO_BY_CHANCE, FIXED_SUBSET, CELLS)

MakeDecisions = Callable[[int, face.RoutingSettings], Any]  # takes a seed and the routing settings
ChooseHosts = Callable[[Random, Sequence[CellHost]], Sequence[CellHost]]


class TwoByChance:
    """Draws two of all hosts for each call and takes the one with the shorter queue by its last report."""

    single_gateway = True  # as of `CellularGateway`: there are no cells

    def __init__(self, seed: int) -> None:
        self._random = Random(seed)
        self._hosts: list[str] = []
        self._reported: dict[str, float] = {}  # calls in flight by host

    def update_hosts(self, now: int, rows: Sequence[face.ListedHost], *, complete: bool) -> None:
        """Take all hosts."""
        self._hosts = [row.host for row in rows]

    def serve(self, now: int, request: face.Request) -> Generator[Any, Any, None]:
        """One attempt, and as many again as fail."""
        for _ in range(MAX_ATTEMPTS):
            drawn = self._random.sample(self._hosts, 2)
            yield face.Attempt(min(drawn, key=lambda host: self._reported.get(host, 0)))
            _, outcome = yield face.Wait(now + request.time_left)
            if outcome is None or outcome.request_ended:
                return
        yield face.Reject(0, face.RejectReason.HOST_FULL)

    def attempt_ended(self, now: int, outcome: face.Outcome) -> None:
        """Keep the queue that the host reported."""
        if outcome.report is not None and outcome.report.in_hand is not None:
            self._reported[outcome.host_id] = outcome.report.in_hand

    def housekeep(self, now: int) -> Generator[Any, Any, None]:
        """Nothing is to be done."""
        while True:
            now, _ = yield face.Wait(now + SECOND)


class FlatWorld(CellWorld):
    """A world whose gateways know hosts without cells: `choose_hosts` returns those of each."""

    def __init__(
        self,
        shape: Shape,
        table: CellTable,
        make_decisions: MakeDecisions,
        choose_hosts: ChooseHosts,
        seed: int,
    ) -> None:
        super().__init__(shape, table, (), KEEP_ALIVE, seed)
        random = Random(seed)
        for number in range(shape.gateways):
            location = location_of(number, shape)
            decisions = make_decisions(seed + number, self.routing_settings)
            gateway = CellGateway(self, location.name, location.zone, decisions)
            self.gateways[location.name] = gateway
            hosts = choose_hosts(random, list(self.hosts.values()))
            decisions.update_hosts(0, [self.host_row(host) for host in hosts], complete=True)
            gateway.housekeep()


def todays_decisions(seed: int, routing_settings: face.RoutingSettings) -> Gateway:
    """A gateway as today."""
    return Gateway(seed, routing_settings, 0)


def two_by_chance(seed: int, routing_settings: face.RoutingSettings) -> TwoByChance:
    """A gateway that draws two hosts."""
    return TwoByChance(seed)


def every_host(random: Random, hosts: Sequence[CellHost]) -> Sequence[CellHost]:
    """All hosts."""
    return hosts


def some_hosts(random: Random, hosts: Sequence[CellHost]) -> Sequence[CellHost]:
    """A subset by chance."""
    return random.sample(hosts, SUBSET)


FLAT_WAYS: dict[str, tuple[MakeDecisions, ChooseHosts]] = {
    EVERY_HOST: (todays_decisions, every_host),
    TWO_BY_CHANCE: (two_by_chance, every_host),
    FIXED_SUBSET: (todays_decisions, some_hosts),
}


def make_world(way: str, shape: Shape, seed: int) -> CellWorld:
    """The world of one of `WAYS`."""
    table = make_table(shape)
    if way == CELLS:
        return CellWorld(shape, table, range(shape.gateways), KEEP_ALIVE, seed)
    make_decisions, choose_hosts = FLAT_WAYS[way]
    return FlatWorld(shape, table, make_decisions, choose_hosts, seed)


class BaselinePlay:
    """One play of one of `WAYS`."""

    def __init__(self, way: str, seed: int, shape: Shape, *, rate: float, functions: int) -> None:
        self._random, self._rate = Random(seed), rate
        self.world = make_world(way, shape, seed)
        self._popularity = Popularity(functions, EXPONENT, self._random)
        self._gateways = list(self.world.gateways.values())

    def run(self, seconds: int, warm_up: int) -> dict[str, Any]:
        """The figures of the time after the warm-up, s."""
        world = self.world
        world.clock.at(0, self._call)
        world.clock.run(warm_up * SECOND)
        before = Counter(world.counts)
        world.latencies.clear()
        for host in world.hosts.values():
            host.worked = 0
        world.clock.run(seconds * SECOND)
        return _traffic_figures(world, before, seconds - warm_up) | _evenness_figures(world)

    def _call(self) -> None:
        gateway = self._random.choice(self._gateways)
        self.world.call(gateway, self._popularity.draw(), IDEMPOTENT)
        self.world.clock.after(int(self._random.expovariate(self._rate) * SECOND), self._call)


def _traffic_figures(world: CellWorld, before: Counter[str], span: float) -> dict[str, Any]:
    def rate(name: str) -> float:
        return round((world.counts[name] - before[name]) / span, 2)

    latencies = sorted(world.latencies)
    return {
        "calls a second": rate("calls"),
        "loads a second": rate("loads"),
        "share found standing": round(rate("warm") / rate("delivered"), 4),
        "median wait ms": round(latencies[len(latencies) // 2] / 1e6, 1),
        "p99 wait ms": round(latencies[len(latencies) * 99 // 100] / 1e6, 1),
    }


def _evenness_figures(world: CellWorld) -> dict[str, Any]:
    hosts = list(world.hosts.values())
    by_host = [host.worked / host.capacity for host in hosts]
    worked: Counter[str] = Counter()
    capacity: dict[str, float] = {}
    for host in hosts:
        worked[host.cell] += host.worked
        capacity[host.cell] = capacity.get(host.cell, 0) + host.capacity
    by_cell = [worked[cell] / capacity[cell] for cell in capacity]
    loaded = sum(sum(until > world.clock.now for until in host.loaded_until.values()) for host in hosts)
    return {
        "most loaded host over mean": round(max(by_host) / (sum(by_host) / len(by_host)), 2),
        "most loaded cell over mean": round(max(by_cell) / (sum(by_cell) / len(by_cell)), 2),
        "copies kept": loaded,
    }


def play(
    way: str,
    seed: int = 1,
    shape: Shape = SHAPE,
    *,
    rate: float = RATE,
    seconds: int = SECONDS,
    warm_up: int = WARM_UP,
    functions: int = FUNCTIONS,
) -> dict[str, Any]:
    """The figures of one play of one of `WAYS`."""
    return BaselinePlay(way, seed, shape, rate=rate, functions=functions).run(seconds, warm_up)
