"""The fleet: the clock, the hosts, the gateways, the words between them, and the counts."""

from collections import deque
from time import process_time_ns

from benchmarks.fleet.clock import MILLI, SECOND, Clock
from benchmarks.fleet.gateways import One
from benchmarks.fleet.hosts import CAPACITY, COLD_SHARE, COLD_TIME, Host
from benchmarks.fleet.traffic import TRACKS
from gaproute import interface as face
from gaproute.decisions.routing import Gateway

ZONES = 3
STEP, STEPS = 25 * MILLI, 48  # between looks at the hosts' tasks in hand; so many are kept


def terms(gateways):
    return face.Terms(
        TRACKS,
        (),
        1.0,
        10 * SECOND,
        True,
        6,
        0.3,
        10 * SECOND,
        True,
        True,
        True,
        True,
        ("cpu_busy", "memory_busy"),
        0.08,
        0.01,
        True,
        gateways,
        True,
        True,
        6,
        SECOND,
        COLD_SHARE,
        COLD_TIME,
        False,
        -1,
        0.0,
    )


class Past:
    """Tasks in hand by host as they were: for policies that see what no gateway can."""

    def __init__(self, world):
        self.world, self.kept = world, deque(maxlen=STEPS)
        self.look()

    def look(self):
        self.kept.append({name: host.busy for name, host in self.world.hosts.items()})
        self.world.clock.at(self.world.clock.now + STEP, self.look)

    def busy(self, name, lag):
        return self.kept[-min(len(self.kept), lag // STEP)].get(name, 0)


class World:
    """`make(world, seed, terms, now)` gives one gateway's decisions; `sizes` are dealt out to the hosts."""

    def __init__(self, gateways, hosts, make=None, sizes=(1.0,)):
        self.clock, self.cpu, self.sizes = Clock(), 0, sizes
        self.counts = dict.fromkeys(
            ("tasks", "delivered", "probes", "words", "orders", "connections", "loads"), 0
        )
        self.hosts = {
            f"h{number}": Host(number % ZONES, sizes[number // ZONES % len(sizes)]) for number in range(hosts)
        }
        self.make = make or (lambda world, seed, told, now: Gateway(seed, told, now))
        self.hears = None  # (world, teller, hearer, words): handed over if it says so; None: always
        self.watchers = []  # told of relays, answers and words
        self.members = gateways
        self.past = Past(self)
        rows = self.rows()
        self.gateways = [self.one(place, place + 1, rows) for place in range(gateways)]

    def one(self, place, seed, rows):
        return One(self, place, self.make(self, seed, terms(self.members), self.clock.now), rows)

    def rows(self):
        """The list: hosts that are lost are gone from it."""
        return [
            face.ListedHost(
                name,
                host.zone,
                0,
                face.State.GONE if host.lost else face.State.ACTIVE,
                CAPACITY * host.size,
                host.started,
            )
            for name, host in self.hosts.items()
        ]

    def list_anew(self):
        rows = self.rows()
        for each in self.gateways:
            each.gateway.update_hosts(self.clock.now, rows, True)

    def restart(self, place):
        """A gateway is killed with all that it knows and held, and another starts in its place."""
        self.gateways[place].gone = True
        self.gateways[place] = self.one(place, place + 1 + len(self.gateways), self.rows())

    def tell(self, teller, words):
        self.counts["words"] += len(words) * len(self.gateways)
        for watcher in self.watchers:
            watcher.told(self.clock.now, teller, words)
        began = process_time_ns()
        for other in self.gateways:
            if self.hears is None or self.hears(self, teller, other, words):
                other.gateway.peer_message_received(self.clock.now, words)
        self.cpu += process_time_ns() - began

    def relayed(self, one, function, worker, host):
        for watcher in self.watchers:
            watcher.relayed(self.clock.now, one, function, worker, host)

    def answer(self, asked):
        for watcher in self.watchers:
            watcher.answered(self.clock.now, asked)

    def lost(self, asked):
        for watcher in self.watchers:
            watcher.lost(self.clock.now, asked)
