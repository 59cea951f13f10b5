"""How much cold hosts get from a whole fleet, against the budget past which one falls: decisions alone, on
the clock of `benchmarks/fleet`, against stand-in hosts.

    python benchmarks/cold.py [--seeds 0:1000] [--jobs 2] [--gain step|even] [--kind KIND]
        [--cases NAMES] [--named] [--list]

The seed decides the day: one host new, six in ten replaced within 7 s, all cold, a third back cold; 3 to 200
gateways, some with ten times or a thirtieth of the mean traffic; the load; whether a minute without traffic
comes before, seven in ten gateways restart, lists come up to 4 s late. `step`: a cold host stays at its first
share until it is warm, the least that the settings promise; `even`: it gains evenly. `--named`: with each
list every gateway is told, wrongly, that each cold host has a copy of each function and nothing to do.
`--cases NAMES`: a row for each of CASES, by semicolons; 'all' of them, or the 'hard' ones, in which hosts
gain nothing and every gateway is told at once: fleets of 1, 30 and 230, hosts of several sizes, storms.
The budget is that of the standing test: N + 2 x root of N + 2, with N under 30 N + 3 x root of N + 3, in
requests of mean work; what is turned away, cancelled or an order to load counts as well. `narrow`: by
N + 2 x root of N + 2 with any N.
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
from benchmarks.fleet.cold_hosts import COLD, MULTIPLE, PACE, ColdHost, Gate, narrow_budget
from benchmarks.fleet.hosts import CAPACITY, LANES
from gaproute import interface as face

FUNCTIONS = 60
BEFORE, IDLE, AFTER = 3 * SECOND, 60 * SECOND, 10 * SECOND
KINDS, GATEWAYS = ("one", "join", "all", "zone"), (3, 20, 30, 200)
MORE_KINDS = ("most", "twice", "row")
AGAIN, TRIES = 100 * MILLI, 3  # until a client asks again what was declined; how often it asks in all
SURGE = (3 * SECOND, 6 * SECOND)  # after the begin: little traffic before it, a burst in it
STALL = (2 * SECOND, 4 * SECOND)  # after the begin: no answer comes in, then all that waited

# Hosts gain nothing until they are warm, the least that the settings promise; all gateways are told at once.
LEAST = {"share": 0.17, "gain": "step", "uneven": False, "idle": False, "restart": False, "late": False}
STRONG = {"pace": 60.0, "hosts": 12}
SIZES = (0.4, 1.0, 1.6)
HARD_DAYS = {
    "small hosts among large ones": LEAST | STRONG | {"kind": "join", "sizes": SIZES, "busy": 0.9},
    "hosts crowded": LEAST | STRONG | {"kind": "join", "busy": 0.9},
    "weak hosts crowded": LEAST | {"kind": "join", "busy": 0.9, "hosts": 24},
    "all cold, a storm": LEAST | {"kind": "all", "busy": 2.0, "reasked": True, "hosts": 24},
    "all cold, strong, a storm": LEAST | STRONG | {"kind": "all", "busy": 1.5, "reasked": True},
    "answers stall": LEAST | STRONG | {"kind": "join", "busy": 0.6, "stall": True},
    "weak hosts, answers stall": LEAST | {"kind": "join", "busy": 0.6, "stall": True, "hosts": 24},
    "quiet, then a burst": LEAST | STRONG | {"kind": "join", "busy": 0.7, "surge": True},
    "all cold, they gain unlike": LEAST | STRONG | {"kind": "all", "busy": 0.8, "gain": "unlike"},
    "all replaced, they gain unlike": LEAST | STRONG | {"kind": "row", "busy": 0.6, "gain": "unlike"},
    "heavy functions": LEAST | STRONG | {"kind": "join", "busy": 0.6, "heavy_functions": True},
    "killed in slow start": LEAST | STRONG | {"kind": "join", "busy": 0.6, "restart": True, "reasked": True},
    "cold twice": LEAST | STRONG | {"kind": "twice", "busy": 0.4},
}

HARD = {
    f"{name}, in a fleet of {number}": case | {"gateways": number}
    for name, case in HARD_DAYS.items()
    for number in (1, 30, 230)
}

# What a case changes in the days that the seeds give.
CASES = {
    **HARD,
    "as the seeds say": {},
    **{f"{number} gateways": {"gateways": number} for number in (1, 2, 3, 4, 6, 230)},
    "all cold, 1 gateway": {"kind": "all", "gateways": 1},
    "all cold, 6 gateways": {"kind": "all", "gateways": 6},
    "all cold, 230 gateways": {"kind": "all", "gateways": 230},
    "one of sixteen warm": {"kind": "most"},
    "cold twice": {"kind": "twice"},
    "cold twice, lists late": {"kind": "twice", "late": True},
    "seven in ten killed in slow start": {"restart": True, "reasked": True},
    "all cold, seven in ten killed": {"kind": "all", "restart": True, "reasked": True},
    "a tenth restarts at a time": {"roll": True, "reasked": True},
    "all cold, a tenth at a time": {"kind": "all", "roll": True, "reasked": True},
    "lists late": {"late": True},
    "clients ask again": {"reasked": True, "busy": 0.9},
    "all cold, clients ask again": {"kind": "all", "reasked": True, "busy": 0.9},
    "probes and orders": {"probes": True},
    "all cold, probes and orders": {"kind": "all", "probes": True},
    "230 gateways, free probes": {"gateways": 230, "probes": True, "free_probes": True},
    "quiet, then a burst": {"surge": True, "kind": "join"},
    "quiet, then a burst, 1 gateway": {"surge": True, "kind": "join", "gateways": 1},
    "quiet, then a burst, 230 gateways": {"surge": True, "kind": "join", "gateways": 230},
    "strong hosts": STRONG,
    "strong hosts, 1 gateway": {"pace": 60.0, "hosts": 12, "gateways": 1},
    "strong hosts, 230 gateways": {"pace": 60.0, "hosts": 12, "gateways": 230},
    "strong hosts, a burst, 1 gateway": {
        "pace": 60.0,
        "hosts": 12,
        "gateways": 1,
        "surge": True,
        "kind": "join",
    },
    "hosts of three sizes": {"sizes": (0.4, 1.0, 1.6)},
    "strong hosts of three sizes": {"sizes": (0.4, 1.0, 1.6), "pace": 60.0, "hosts": 12},
    "hosts of three sizes, not told": {"sizes": (0.7, 1.0, 1.3), "sizes_told": False},
    "heavy functions": {"heavy_functions": True},
    "heavy functions, 1 gateway": {"heavy_functions": True, "gateways": 1},
    "hosts gain unlike, all cold": {"kind": "all", "gain": "unlike", "busy": 0.5},
    "hosts gain unlike, all cold, 1 gateway": {"kind": "all", "gain": "unlike", "gateways": 1, "busy": 0.5},
    "all replaced in a row": {"kind": "row"},
    "all replaced in a row, 1 gateway": {"kind": "row", "gateways": 1},
}


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
    pace: float = PACE  # requests of mean work a second that a warm host of size 1 does
    sizes: tuple[float, ...] = (1.0,)  # dealt out to the hosts
    sizes_told: bool = True  # by the list
    roll: bool = False  # a tenth of the gateways restarts each 0.4 s from the begin on
    reasked: bool = False  # clients ask again what was declined, and what a killed gateway held
    surge: bool = False  # little traffic, then a burst (SURGE)
    stall: bool = False  # no answer comes in for a while (STALL)
    probes: bool = False  # probes and orders to load are allowed, and count at the hosts
    free_probes: bool = False
    heavy_functions: bool = False


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
            one.gateway.update_hosts(0, self.rows(), True)
        quiet = IDLE if told.idle else 0
        self.weights = [
            self.dice.choice((300, 30, 30, 30, 1)) if told.uneven else 30 for _ in range(told.gateways)
        ]
        self.clock.at(0, self.arrive, BEFORE)
        self.begin = BEFORE + quiet
        self.end = self.begin + AFTER + (7 * SECOND if told.kind in ("join", "row") else 0)
        self.clock.at(self.begin, self.arrive, self.end)
        if told.restart:
            for place in self.dice.sample(range(told.gateways), int(0.7 * told.gateways)):
                self.clock.at(self.begin + self.dice.randrange(2 * SECOND), self.restart, place)
        if told.roll:
            for place in range(told.gateways):
                self.clock.at(
                    self.begin + (1 + 10 * place // told.gateways) * 400 * MILLI, self.restart, place
                )
        {
            "one": self.one_new,
            "join": self.join,
            "all": self.all,
            "zone": self.zone,
            "most": self.most,
            "twice": self.twice,
            "row": self.row,
        }[told.kind]()

    def one(self, place, seed, rows):
        terms = fleet_world.terms(self.members)._replace(
            warm_up_share=self.day.share,
            warm_up_time=COLD,
            warm_up_overload=MULTIPLE,
            probes_allowed=self.day.probes,
            load_orders_allowed=self.day.probes,
            probe_price=0.0 if self.day.free_probes else 0.025,
            peers_allowed=not self.day.free_probes,
        )
        return Gate(self, place, self.make(self, seed, terms, self.clock.now), rows)

    def arrive(self, until):
        if self.clock.now >= until:
            return
        size = sum(self.day.sizes) / len(self.day.sizes)
        gap = self.dice.expovariate(self.busy() * self.day.pace * size * self.day.hosts)
        self.ask()
        self.clock.at(self.clock.now + max(1, int(gap * SECOND)), self.arrive, until)

    def busy(self):
        """Of the warm hosts' pace: with a surge a third of it before, twice as much in it."""
        since = self.clock.now - self.begin
        if not self.day.surge or since < 0:
            return self.day.busy
        return self.day.busy * (1 / 3 if since < SURGE[0] else 2.0 if since < SURGE[1] else 1.0)

    def ask(self, function=None, tried=1):
        gateway = self.dice.choices(self.gateways, self.weights)[0]
        if function is None:
            function = f"f{int(FUNCTIONS * self.dice.random() * self.dice.random())}"
        gateway.ask(function, 0, tried)

    def again(self, function, tried):
        """Clients ask again, anywhere, what was declined or died with its gateway."""
        if self.day.reasked and tried < TRIES:
            self.clock.at(self.clock.now + AGAIN, self.ask, function, tried + 1)

    def restart(self, place):
        killed = self.gateways[place]
        super().restart(place)
        for key, asked in killed.asked.items():
            self.again(asked.function, killed.tries[key])

    def rows(self):
        rows = super().rows()
        return rows if self.day.sizes_told else [row._replace(capacity=CAPACITY) for row in rows]

    def held_until(self, now):
        """When an answer that comes now gets through."""
        begin, end = STALL
        return self.begin + end if self.day.stall and begin <= now - self.begin < end else now

    def list_anew(self):
        """Each gateway is told by itself, what holds then."""
        for place in range(self.day.gateways):
            after = self.dice.randrange(4 * SECOND if self.day.late else 300 * MILLI)
            self.clock.at(self.clock.now + after, self.tell_list, place)

    def tell_list(self, place):
        gateway = self.gateways[place].gateway
        gateway.update_hosts(self.clock.now, self.rows(), True)
        now = self.clock.now
        for host in [host for host in gateway.active_hosts if self.named and now < host.warm_at]:
            gateway.loads.record(host, now, face.Report(in_hand=0))
            for number in range(FUNCTIONS):
                gateway.hint_instance(host.id, f"f{number}", LANES, now)

    def back_cold(self, names):
        for name in names:
            host = self.hosts[name]
            host.lose()
            host.back(self.clock.now)
        self.list_anew()

    def replace(self, name):
        self.hosts[name].lose()
        self.made += 1
        self.hosts[f"h{self.made}"] = ColdHost(self.made, self.day, self.clock.now)
        self.list_anew()

    def join(self):
        self.replace_in_turn(self.dice.sample(sorted(self.hosts), int(0.6 * self.day.hosts)))

    def row(self):
        self.replace_in_turn(sorted(self.hosts))

    def replace_in_turn(self, names):
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

    def twice(self):
        """Six in ten come back cold, and again 3 s later, long before they are warm."""
        names = self.dice.sample(sorted(self.hosts), int(0.6 * self.day.hosts))
        for after in (0, 3 * SECOND):
            self.clock.at(self.begin + after, self.back_cold, names)

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
    worst = [each for host in cold for each in (*host.before, host.worst())]
    narrow = [each for host in cold for each in (*host.before_narrow, host.worst(narrow_budget))]
    got = sum([work for host in cold for at, work, _ in host.got if at < host.started + COLD])
    seconds = sum([min(COLD, world.end - host.started) for host in cold]) / SECOND
    bears = sum(
        [
            host.power(at) * host.size
            for host in cold
            for at in range(host.started, min(host.started + COLD, world.end), SECOND // 10)
        ]
    )
    return {
        "passed": sum([all_told > 1 for all_told, _ in worst]),
        "fallen": sum([by_told for _, by_told in worst]),
        "broken": sum([by_told for _, by_told in narrow]),
        "hosts": len(cold),
        "worst": max(most for most, _ in worst),
        "got": got / seconds,
        "bears": bears / 10 * told.pace / seconds,
        "served": (world.counts["delivered"] - delivered) / (world.counts["tasks"] - tasks),
    }


def once(asked):
    seed, named, case, *forced = asked
    told = day(seed, *forced)._replace(**CASES[case])
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
            f"{sum([each['fallen'] > 0 for each in all_found])} | "
            f"{sum([each['broken'] > 0 for each in all_found])} | "
            f"{max(each['worst'] for each in all_found):.2f} | {mean('worst'):.2f} | {mean('got'):.2f} | "
            f"{mean('bears'):.2f} | {mean('served'):.3f} |"
        )


HEAD = """| day | plays | a budget passed | by the told | narrow | worst | mean | got /s | can /s | served |
| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"""


def wanted(names):
    if names == "hard":
        return list(HARD)
    return names.split(";")


def by_case(told, seeds):
    """A row for each case; the same seeds in all."""
    print(HEAD, flush=True)
    with Pool(told.jobs) as pool:
        for case in CASES if told.cases == "all" else wanted(told.cases):
            asked = [(seed, told.named, case, told.gain, told.kind) for seed in seeds]
            table(pool.map(once, asked, 1), lambda _, case=case: case)
            sys.stdout.flush()


def main():
    arguments = argparse.ArgumentParser()
    arguments.add_argument("--seeds", default="0:1000")
    arguments.add_argument("--jobs", type=int, default=2)
    arguments.add_argument("--gain", choices=("step", "even"))
    arguments.add_argument("--kind", choices=(*KINDS, *MORE_KINDS))
    arguments.add_argument("--cases", help="of CASES, by semicolons, or 'all', 'hard': a row for each")
    arguments.add_argument("--named", action="store_true", help="gossip and hints name the cold hosts")
    arguments.add_argument("--list", action="store_true", help="each play in which a budget was passed")
    told = arguments.parse_args()
    first, last = map(int, told.seeds.split(":"))
    if told.cases:
        by_case(told, range(first, last))
        return
    asked = [(seed, told.named, "as the seeds say", told.gain, told.kind) for seed in range(first, last)]
    with Pool(told.jobs) as pool:
        results = pool.map(once, asked, 4)
    print(HEAD)
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
