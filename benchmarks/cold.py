"""How much cold hosts get from a whole fleet, against the budget past which one falls: decisions alone, on
the clock of `benchmarks/fleet`, against stand-in hosts.

    python benchmarks/cold.py [--seeds 0:1000] [--jobs 2] [--gain step|even] [--kind KIND] [--named] [--list]

The seed decides the day: one host new, six in ten replaced within 7 s, all cold, a third back cold; 3 to 200
gateways, some with ten times or a thirtieth of the mean traffic; the load; whether a minute without traffic
comes before, seven in ten gateways restart, lists come up to 4 s late. `step`: a cold host stays at its first
share until it is warm, the least that the settings promise; `even`: it gains evenly. `--named`: with each
list every gateway is told, wrongly, that each cold host has a copy of each function and nothing to do.
"""

import argparse
import sys
from collections import defaultdict
from multiprocessing import Pool
from pathlib import Path
from random import Random
from typing import NamedTuple

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from benchmarks.fleet import world as fleet_world
from benchmarks.fleet.clock import MILLI, SECOND
from benchmarks.fleet.cold_hosts import COLD, MULTIPLE, PACE, ColdHost, Gate
from benchmarks.fleet.hosts import LANES
from gaproute import interface as face

FUNCTIONS = 60
BEFORE, IDLE, AFTER = 3 * SECOND, 60 * SECOND, 10 * SECOND
KINDS, GATEWAYS = ("one", "join", "all", "zone"), (3, 20, 30, 200)


class Day(NamedTuple):
    kind: str
    gateways: int
    hosts: int
    busy: float  # of the warm hosts' pace
    share: float  # of its power that a cold host has at least
    gain: str
    uneven: bool
    idle: bool
    restart: bool
    late: bool


def day(seed, gain=None, kind=None):
    dice = Random(seed)
    return Day(
        kind or KINDS[seed % 4],
        GATEWAYS[seed // 4 % 4],
        dice.choice((12, 16, 20, 24, 32, 40, 88)),
        dice.uniform(0.3, 0.6),
        dice.choice((0.17, 0.25)),
        gain or dice.choice(("step", "even")),
        *[dice.random() < odds for odds in (0.6, 0.25, 0.3, 0.3)],
    )


class Play(fleet_world.World):
    def __init__(self, told, seed, named=False):
        self.named, self.day, self.dice, self.made = named, told, Random(f"play {seed}"), 0
        super().__init__(told.gateways, 0)
        self.hosts = {f"h{number}": ColdHost(number, told) for number in range(told.hosts)}
        self.made, self.first = told.hosts, self.clock.now
        for one in self.gateways:
            one.gateway.listed(0, self.rows(), True)
        quiet = IDLE if told.idle else 0
        self.weights = [
            self.dice.choice((300, 30, 30, 30, 1)) if told.uneven else 30 for _ in range(told.gateways)
        ]
        self.clock.at(0, self.arrive, BEFORE)
        self.begin = BEFORE + quiet
        self.end = self.begin + AFTER + (7 * SECOND if told.kind == "join" else 0)
        self.clock.at(self.begin, self.arrive, self.end)
        if told.restart:
            for place in self.dice.sample(range(told.gateways), int(0.7 * told.gateways)):
                self.clock.at(self.begin + self.dice.randrange(2 * SECOND), self.restart, place)
        {"one": self.one_new, "join": self.join, "all": self.all, "zone": self.zone, "most": self.most}[
            told.kind
        ]()

    def one(self, place, seed, rows):
        terms = fleet_world.terms(self.members)._replace(
            cold_share=self.day.share,
            cold_time=COLD,
            cold_multiple=MULTIPLE,
            probes_allowed=False,
            orders_allowed=False,
        )
        return Gate(self, place, self.make(self, seed, terms, self.clock.now), rows)

    def arrive(self, until):
        if self.clock.now >= until:
            return
        gap = self.dice.expovariate(self.day.busy * PACE * self.day.hosts)
        self.dice.choices(self.gateways, self.weights)[0].ask(
            f"f{int(FUNCTIONS * self.dice.random() * self.dice.random())}", 0
        )
        self.clock.at(self.clock.now + max(1, int(gap * SECOND)), self.arrive, until)

    def list_anew(self):
        """Each gateway is told by itself, what holds then."""
        for place in range(self.day.gateways):
            after = self.dice.randrange(4 * SECOND if self.day.late else 300 * MILLI)
            self.clock.at(self.clock.now + after, self.tell_list, place)

    def tell_list(self, place):
        gateway = self.gateways[place].gateway
        gateway.listed(self.clock.now, self.rows(), True)
        for worker in [worker for worker in gateway.fleet if self.named and self.clock.now < worker.warm_at]:
            gateway.note(worker, self.clock.now, face.Report(in_hand=0))
            for number in range(FUNCTIONS):
                gateway.hint(worker.id, f"f{number}", LANES, self.clock.now)

    def back_cold(self, names):
        for name in names:
            host = self.hosts[name]
            host.lose()
            host.back(self.clock.now)
            host.free = 0
        self.list_anew()

    def replace(self, name):
        self.hosts[name].lose()
        self.made += 1
        self.hosts[f"h{self.made}"] = ColdHost(self.made, self.day, self.clock.now)
        self.list_anew()

    def join(self):
        names = self.dice.sample(sorted(self.hosts), int(0.6 * self.day.hosts))
        for number, name in enumerate(names):
            self.clock.at(self.begin + 7 * SECOND * number // len(names), self.replace, name)

    def one_new(self):
        self.clock.at(self.begin, self.replace, "h0")

    def all(self):
        self.clock.at(self.begin, self.back_cold, sorted(self.hosts))

    def most(self):
        """Of all one in sixteen, one at least, stays warm."""
        self.clock.at(self.begin, self.back_cold, sorted(self.hosts)[1 + self.day.hosts // 16 :])

    def lose_some(self, names):
        for name in names:
            self.hosts[name].lose()
        self.list_anew()

    def zone(self):
        names = [name for name, host in self.hosts.items() if host.zone == 0]
        self.clock.at(self.begin - SECOND, self.lose_some, names)
        self.clock.at(self.begin + SECOND, self.back_cold, names)


def play(told, seed, named=False):
    """What the day came to, counted over what came after its start."""
    world = Play(told, seed, named)
    world.clock.run(world.begin)
    tasks, delivered = world.counts["tasks"], world.counts["delivered"]
    world.clock.run(world.end + 3 * SECOND)
    cold = [host for host in world.hosts.values() if host.started is not None]
    worst = [host.worst() for host in cold]
    got = sum([work for host in cold for at, work, _ in host.got if at < host.started + COLD])
    seconds = sum([min(COLD, world.end - host.started) for host in cold]) / SECOND
    bears = sum(
        [
            host.power(at)
            for host in cold
            for at in range(host.started, min(host.started + COLD, world.end), SECOND // 10)
        ]
    )
    return {
        "passed": sum([all_told > 1 for all_told, _ in worst]),
        "broken": sum([by_told for _, by_told in worst]),
        "hosts": len(cold),
        "worst": max(most for most, _ in worst),
        "got": got / seconds,
        "bears": bears / 10 * PACE / seconds,
        "served": (world.counts["delivered"] - delivered) / (world.counts["tasks"] - tasks),
    }


def once(asked):
    seed, named, *forced = asked
    told = day(seed, *forced)
    return seed, told, play(told, seed, named)


def table(results, key):
    groups = defaultdict(list)
    for _, told, found in results:
        groups[key(told)].append(found)
    for name, all_found in sorted(groups.items()):

        def mean(part, found=all_found):
            return sum([each[part] for each in found]) / len(found)

        print(
            f"| {name} | {len(all_found)} | {sum([each['passed'] > 0 for each in all_found])} | "
            f"{sum([each['broken'] > 0 for each in all_found])} | "
            f"{max(each['worst'] for each in all_found):.2f} | {mean('worst'):.2f} | {mean('got'):.2f} | "
            f"{mean('bears'):.2f} | {mean('served'):.3f} |"
        )


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--seeds", default="0:1000")
    arguments.add_argument("--jobs", type=int, default=2)
    arguments.add_argument("--gain", choices=("step", "even"))
    arguments.add_argument("--kind", choices=(*KINDS, "most"))
    arguments.add_argument("--named", action="store_true", help="gossip and hints name the cold hosts")
    arguments.add_argument("--list", action="store_true", help="each play in which a budget was passed")
    told = arguments.parse_args()
    first, last = map(int, told.seeds.split(":"))
    with Pool(told.jobs) as pool:
        results = pool.map(once, [(seed, told.named, told.gain, told.kind) for seed in range(first, last)], 4)
    print("| day | plays | a budget passed | by the told | worst | worst, mean | got /s | can /s | served |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- | --- |")
    for key in (
        lambda each: each.kind,
        lambda each: f"{each.gateways} gateways",
        lambda each: each.gain,
        lambda each: "late lists" if each.late else "prompt lists",
        lambda each: "whole",
    ):
        table(results, key)
    if told.list:
        for seed, each, found in results:
            if found["passed"]:
                print(seed, each, found)


if __name__ == "__main__":
    main()
