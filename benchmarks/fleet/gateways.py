"""One gateway's decisions on the fleet's clock, and what each of its tasks met."""

from time import process_time_ns

from benchmarks.fleet.clock import SECOND
from benchmarks.fleet.hosts import LANES, WAY
from benchmarks.fleet.traffic import TRACKS
from gaproute import interface as face
from gaproute.core.driver import Driver

KEPT_LINK = 13 * SECOND  # rest of a connection after which a new one is opened


class Asked:
    """One task as it was asked, and what it waited for."""

    __slots__ = ("function", "came", "load", "queue", "relays", "failed")

    def __init__(self, function, came):
        self.function, self.came = function, came
        self.load = self.queue = self.relays = self.failed = 0


class One(Driver):
    """`decisions`: its `routing.Gateway`, or what stands in for it."""

    def __init__(self, world, place, decisions, rows):
        super().__init__(decisions)
        self.world, self.place, self.gone = world, place, False
        self.waits, self.links, self.asked = {}, {}, {}
        self.gateway.update_hosts(world.clock.now, rows, True)
        self.start_housekeeping(world.clock.now)

    def ask(self, function, track):
        world = self.world
        world.counts["tasks"] += 1
        key = str(world.counts["tasks"])
        self.asked[key] = Asked(function, world.clock.now)
        began = process_time_ns()
        self.start_request(
            world.clock.now, face.Request(key, 0, TRACKS[track].hard_limit, function, LANES, None, track)
        )
        world.cpu += process_time_ns() - began

    def wait(self, key, until, now):
        self.waits[key] = mark = object()
        self.world.clock.at(max(until, now + 1), self.woken, key, mark)

    def cancel_wait(self, key):
        self.waits.pop(key, None)

    def woken(self, key, mark):
        if self.waits.get(key) is mark and not self.gone:
            began = process_time_ns()
            self.wait_elapsed(key, self.world.clock.now)
            self.world.cpu += process_time_ns() - began

    def connect(self, worker):
        now = self.world.clock.now
        if now - self.links.get(worker, -KEPT_LINK) >= KEPT_LINK:
            self.world.counts["connections"] += 1
        self.links[worker] = now

    def start_attempt(self, key, number, attempt, now):
        worker = attempt.host
        self.connect(worker)
        world, asked = self.world, self.asked[key]
        host = world.hosts[worker]
        world.relayed(self, asked.function, worker, host)
        asked.relays += 1
        if host.lost:
            asked.failed += 1
            world.clock.at(now + WAY, self.refused, key, number, worker)
            return
        took, load, began, warm = host.take(now, asked.function)
        world.counts["loads"] += began
        asked.load, asked.queue = asked.load + load, asked.queue + took - load
        world.clock.at(
            now + took,
            self.answered,
            key,
            number,
            worker,
            took,
            face.Found.WARM if warm else face.Found.BEGAN_LOAD,
            host.life,
        )

    def refused(self, key, number, worker):
        if not self.gone:
            self.handle_outcome(
                self.world.clock.now,
                face.Outcome(
                    key,
                    number,
                    worker,
                    face.Result.CONNECT_FAILED,
                    WAY,
                    False,
                    face.Found.UNKNOWN,
                    None,
                    None,
                ),
            )

    def answered(self, key, number, worker, took, found, life):
        world, host = self.world, self.world.hosts[worker]
        if host.life != life:
            self.handle_outcome(
                world.clock.now,
                face.Outcome(
                    key, number, worker, face.Result.RESET, took, False, face.Found.UNKNOWN, None, None
                ),
            )
            return
        host.busy -= 1
        if self.gone:
            return
        if key in self.generators:
            world.counts["delivered"] += 1
            world.answer(self.asked.pop(key))
        began = process_time_ns()
        self.handle_outcome(
            world.clock.now,
            face.Outcome(key, number, worker, face.Result.OK, took, True, found, host.busy, None),
        )
        world.cpu += process_time_ns() - began

    def cancel(self, key, number):
        """The host works on."""

    def order(self, worker, function, copies):
        self.connect(worker)
        world = self.world
        world.counts["orders"] += 1
        world.clock.at(
            world.clock.now + WAY,
            lambda: self.gateway.load_order_ended(world.clock.now, worker, function, face.Result.OK, copies),
        )

    def probe(self, worker):
        self.connect(worker)
        world, host = self.world, self.world.hosts[worker]
        world.counts["probes"] += 1
        report = None if host.lost else face.Report(cpu_busy=host.share(), memory_busy=0.2)
        world.clock.at(world.clock.now + WAY, self.reported, worker, report)

    def reported(self, worker, report):
        if not self.gone:
            self.probe_answered(self.world.clock.now, worker, report is not None, report)

    def broadcast(self, payload):
        self.world.tell(self, payload)

    def watch_hosts(self):
        """The list was given."""

    def reject(self, key, rejection):
        self.world.lost(self.asked.pop(key))

    def fail(self, key):
        self.world.lost(self.asked.pop(key))
