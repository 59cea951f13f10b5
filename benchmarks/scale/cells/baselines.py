"""Other ways of bounding the view, on the same traffic: loads, waits and evenness of hosts.

Every host known, as today; two hosts drawn by chance, the less loaded taken; a fixed subset of the hosts for
each gateway without regard to functions; and cells.
"""

from random import Random

from benchmarks.fleet.clock import SECOND
from benchmarks.scale.cells.evenness import Popularity
from benchmarks.scale.cells.fleet import Shape, place, table
from benchmarks.scale.cells.node import Node
from benchmarks.scale.cells.world import IDEMPOTENT, World
from gaproute import interface as face
from gaproute.decisions.routing import Gateway

SHAPE = Shape(26, 10, 39, entries=3, host_capacity=2.0)
FUNCTIONS, EXPONENT = 20_000, 1.0
RATE = 400.0  # calls a second: hosts about 0.04 busy of 520 lanes
KEEP_ALIVE = 120 * SECOND
SUBSET = 20  # hosts that a gateway knows by "a fixed subset": as many as a gateway of cells
SECONDS, WARM_UP = 180, 100


class TwoByChance:
    """Draws two of all hosts for each call and takes the one with the shorter queue by its last report."""

    single = True

    def __init__(self, seed):
        self.random, self.rows, self.told = Random(seed), [], {}

    def update_hosts(self, now, rows, complete):
        """All hosts."""
        self.rows = [row.host for row in rows]

    def serve(self, now, task):
        """One relay, and as many again as fail."""
        for _ in range(4):
            worker = min(self.random.sample(self.rows, 2), key=lambda each: self.told.get(each, 0))
            yield face.Attempt(worker)
            _, outcome = yield face.Wait(now + task.time_left)
            if outcome is None or outcome.ended:
                return
        yield face.Reject(0, face.RejectReason.HOST_FULL)

    def attempt_ended(self, now, outcome):
        """Keep the queue that the host told."""
        if outcome.report is not None:
            self.told[outcome.host] = outcome.report.in_hand

    def housekeep(self, now):
        """Nothing is to be done."""
        while True:
            now, _ = yield face.Wait(now + SECOND)


class FlatWorld(World):
    """A play whose gateways know hosts without cells: `choose(random, hosts)` gives those of each."""

    def __init__(self, shape, made, make, choose, seed):
        super().__init__(shape, made, (), KEEP_ALIVE, seed)
        random = Random(seed)
        for number in range(shape.gateways):
            stands = place(number, shape)
            gateway = make(seed + number, self.terms)
            node = self.nodes[stands.name] = Node(self, stands.name, stands.zone, gateway)
            rows = [
                face.ListedHost(host.name, 0, 0, face.State.ACTIVE, host.capacity / shape.host_capacity, None)
                for host in choose(random, list(self.hosts.values()))
            ]
            gateway.update_hosts(0, rows, True)
            node.housekeep()


def everything(seed, told):
    """A gateway as today."""
    return Gateway(seed, told, 0)


def worlds(shape, seed):
    """{way: its world}."""
    made = table(shape)

    def every(random, hosts):
        return hosts

    def some(random, hosts):
        return random.sample(hosts, SUBSET)

    return {
        "every host known": lambda: FlatWorld(shape, made, everything, every, seed),
        "two hosts by chance": lambda: FlatWorld(
            shape, made, lambda seed, told: TwoByChance(seed), every, seed
        ),
        "a fixed subset of 20 hosts": lambda: FlatWorld(shape, made, everything, some, seed),
        "cells": lambda: World(shape, made, range(shape.gateways), KEEP_ALIVE, seed),
    }


def play(way, seed=1, shape=SHAPE, rate=RATE, seconds=SECONDS, warm_up=WARM_UP, functions=FUNCTIONS):
    """One play: {what: figure} after the warm-up."""
    random = Random(seed)
    world = worlds(shape, seed)[way]()
    popularity = Popularity(functions, EXPONENT, random)
    nodes = list(world.nodes.values())

    def call():
        world.call(random.choice(nodes), popularity.draw(), IDEMPOTENT)
        world.clock.at(world.clock.now + int(random.expovariate(rate) * SECOND), call)

    world.clock.at(0, call)
    world.clock.run(warm_up * SECOND)
    before = dict(world.counts)
    world.waits.clear()
    for host in world.hosts.values():
        host.worked = 0
    world.clock.run(seconds * SECOND)
    waits = sorted(world.waits)
    worked = [host.worked / host.capacity for host in world.hosts.values()]
    mean = sum(worked) / len(worked)
    by_cell = {}
    for host in world.hosts.values():
        done, capacity = by_cell.get(host.cell, (0, 0))
        by_cell[host.cell] = done + host.worked, capacity + host.capacity
    cells = [done / capacity for done, capacity in by_cell.values()]
    span = seconds - warm_up

    def rate_of(what):
        return round((world.counts[what] - before.get(what, 0)) / span, 2)

    return {
        "calls a second": rate_of("calls"),
        "loads a second": rate_of("loads"),
        "share found standing": round(rate_of("warm") / rate_of("delivered"), 4),
        "median wait ms": round(waits[len(waits) // 2] / 1e6, 1),
        "p99 wait ms": round(waits[len(waits) * 99 // 100] / 1e6, 1),
        "most loaded host over mean": round(max(worked) / mean, 2),
        "most loaded cell over mean": round(max(cells) / (sum(cells) / len(cells)), 2),
        "copies kept": sum(
            sum(until > world.clock.now for until in host.copies.values()) for host in world.hosts.values()
        ),
    }


WAYS = ("every host known", "two hosts by chance", "a fixed subset of 20 hosts", "cells")
