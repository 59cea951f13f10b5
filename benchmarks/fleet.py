"""What a fleet costs its hosts as gateways go from 3 to 200 at constant traffic: decisions on a clock of
their own.

Many gateways' decision modules in one process, hosts that keep copies and answer after a time; no sockets
and no protocol. It counts what the gateways wish: probes, words told, orders, and connections by how long
hosts keep one. Its figures show how costs grow, not what an operators' day would give.

    python -m benchmarks.fleet [--gateways 3,20,60,200] [--hosts 88] [--rate 1000] [--seconds 20]
"""
import argparse
import heapq

from gaproute import interface as face
from gaproute.core.drive import Driver
from gaproute.decisions.chance import Chance
from gaproute.decisions.route import Gateway

MILLI, SECOND = 1_000_000, 1_000_000_000
FUNCTIONS = 400
LOAD = 900 * MILLI       # of a copy
WORK = 70 * MILLI        # of a task on an idle host
WAY = MILLI              # there and back again
KEPT_LINK = 13 * SECOND  # rest of a connection after which a new one is opened
LANES = 4

TRACKS = (face.Track(face.Effect.PURE, face.Group.ALL, 0, 600 * MILLI, 2400 * MILLI, 3.0),
          face.Track(face.Effect.EFFECTFUL, face.Group.ALL, 0, 600 * MILLI, 2000 * MILLI, 3.0))


def terms(gateways):
    return face.Terms(TRACKS, (), 1.0, 10 * SECOND, True, 6, 0.3, 10 * SECOND, True, True, True, True,
                      ("cpu_busy", "memory_busy"), 0.08, 0.01, True, gateways, True, True, 6, SECOND, 0.17,
                      18 * SECOND, False, -1, 0.0)


class Fleet:
    """The clock, the hosts and the counts."""

    def __init__(self, gateways, hosts):
        self.now, self.events, self.count = 0, [], 0
        self.counts = dict.fromkeys(
            ("tasks", "delivered", "probes", "words", "orders", "connections", "loads"), 0)
        self.hosts = {f"h{number}": Host() for number in range(hosts)}
        rows = [face.Listed(name, number % 3, 0, face.State.ACTIVE, 4.0, None)
                for number, name in enumerate(self.hosts)]
        self.gateways = [One(self, number, gateways, rows) for number in range(gateways)]

    def at(self, when, call, *args):
        self.count += 1
        heapq.heappush(self.events, (when, self.count, call, args))

    def run(self, until):
        while self.events and self.events[0][0] <= until:
            self.now, _, call, args = heapq.heappop(self.events)
            call(*args)


class Host:
    def __init__(self):
        self.busy, self.copies = 0, {}

    def share(self):
        return min(1.0, self.busy / (4 * LANES))


class One(Driver):
    """One gateway's decisions on the fleet's clock."""

    def __init__(self, fleet, number, gateways, rows):
        super().__init__(Gateway(number + 1, terms(gateways), 0))
        self.fleet, self.waits, self.links, self.asked = fleet, {}, {}, {}
        self.gateway.listed(0, rows, True)
        self.begin_housekeeping(0)

    def ask(self, function, track):
        fleet = self.fleet
        fleet.counts["tasks"] += 1
        key = str(fleet.counts["tasks"])
        self.asked[key] = function
        self.take(fleet.now, face.Task(key, 0, TRACKS[track].hard_limit, function, LANES, None, track))

    def wait(self, key, until, now):
        self.waits[key] = mark = object()
        self.fleet.at(max(until, now + 1), self.woken, key, mark)

    def unwait(self, key):
        self.waits.pop(key, None)

    def woken(self, key, mark):
        if self.waits.get(key) is mark:
            self.late(key, self.fleet.now)

    def connect(self, worker):
        if self.fleet.now - self.links.get(worker, -KEPT_LINK) >= KEPT_LINK:
            self.fleet.counts["connections"] += 1
        self.links[worker] = self.fleet.now

    def relay(self, key, number, worker, now):
        self.connect(worker)
        host, function = self.fleet.hosts[worker], self.asked[key]
        host.busy += 1
        stands = host.copies.get(function)
        found = face.Found.WARM if stands is not None and stands <= now else face.Found.BEGAN_LOAD
        if stands is None:
            self.fleet.counts["loads"] += 1
            stands = host.copies[function] = now + LOAD
        took = max(0, stands - now) + WAY + int(WORK * max(1.0, host.busy / (2 * LANES)))
        self.fleet.at(now + took, self.answered, key, number, worker, took, found)

    def answered(self, key, number, worker, took, found):
        host = self.fleet.hosts[worker]
        host.busy -= 1
        if key in self.tasks:
            self.fleet.counts["delivered"] += 1
        self.outcome(self.fleet.now, face.Outcome(key, number, worker, face.Result.OK, took, True, found,
                                                  host.busy, None))

    def recall(self, key, number):
        """The host works on."""

    def order(self, worker, function, copies):
        self.connect(worker)
        self.fleet.counts["orders"] += 1
        self.fleet.at(self.fleet.now + WAY, lambda: self.gateway.stood(
            self.fleet.now, worker, function, face.Result.OK, copies))

    def probe(self, worker):
        self.connect(worker)
        self.fleet.counts["probes"] += 1
        report = face.Report(cpu_busy=self.fleet.hosts[worker].share(), memory_busy=0.2)
        self.fleet.at(self.fleet.now + WAY, lambda: self.probed(self.fleet.now, worker, True, report))

    def tell(self, words):
        self.fleet.counts["words"] += len(words) * len(self.fleet.gateways)
        for other in self.fleet.gateways:
            other.gateway.told(self.fleet.now, words)

    def listen(self):
        """The list was given."""

    def decline(self, key, stay_away, why):
        """Nobody waits."""

    def scrap(self, key):
        """Nobody waits."""


def play(gateways, hosts, rate, seconds):
    """The counts for each task."""
    fleet, chance = Fleet(gateways, hosts), Chance(7)

    def arrive():
        popular = chance.below(FUNCTIONS) * chance.below(FUNCTIONS) // FUNCTIONS
        fleet.gateways[chance.below(gateways)].ask(f"f{popular}", chance.below(7) == 0)
        fleet.at(fleet.now + 2 * (1 + chance.below(SECOND // rate)), arrive)

    fleet.at(0, arrive)
    fleet.run(seconds * SECOND)
    return {what: count / fleet.counts["tasks"] for what, count in fleet.counts.items()}


def main():
    asked = argparse.ArgumentParser()
    asked.add_argument("--gateways", default="3,20,60,200")
    asked.add_argument("--hosts", type=int, default=88)
    asked.add_argument("--rate", type=int, default=1000)
    asked.add_argument("--seconds", type=int, default=20)
    told = asked.parse_args()
    print("| gateways | probes a task | bytes told a task | orders a task | connections a task |"
          " loads a task | delivered |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for gateways in map(int, told.gateways.split(",")):
        each = play(gateways, told.hosts, told.rate, told.seconds)
        print(f"| {gateways} | {each['probes']:.3f} | {each['words']:.1f} | {each['orders']:.3f} | "
              f"{each['connections']:.3f} | {each['loads']:.3f} | {each['delivered']:.3f} |", flush=True)


if __name__ == "__main__":
    main()
