"""The play: a clock, hosts, gateways, the net between them, and counts of what happened."""

from collections import Counter, deque
from random import Random

from benchmarks.fleet.clock import MILLI, SECOND, Clock
from benchmarks.scale.cells.fleet import place, region_of
from benchmarks.scale.cells.hosts import Host
from benchmarks.scale.cells.node import Node
from gaproute import interface as face
from gaproute.decisions.cells import invariants
from gaproute.decisions.cells.cellular import CellularGateway
from gaproute.decisions.cells.entries import MAX_HOPS

ONE_WAY = {"zone": MILLI // 4, "region": MILLI, "far": 30 * MILLI}
CALL_TIME = 8 * SECOND  # that a client waits
IDEMPOTENT, NON_IDEMPOTENT = 0, 1  # places of the tracks
TRACKS = (
    face.RequestClass(face.Idempotency.IDEMPOTENT, face.Group.ALL, 0, 2 * SECOND, CALL_TIME, 1.0),
    face.RequestClass(face.Idempotency.NON_IDEMPOTENT, face.Group.ALL, 0, 2 * SECOND, CALL_TIME, 1.0),
)
MOST_IN_HAND = 4  # times its capacity at which a host turns calls away


def terms(gateways, keep_alive):
    """What each gateway is told."""
    return face.Terms(
        TRACKS, (), 1.0, keep_alive, False, 0, 0.0, 0, True, True, False, False, (), 0.0, 0.0, False,
        gateways, True, False, 6, SECOND, 0.2, 10 * SECOND, False, -1, 0.0,
    )  # fmt: skip


class World:
    """`numbers`: which of the shape's gateways are there as full ones."""

    def __init__(self, shape, table, numbers, keep_alive, seed=1, checking=False):
        self.shape, self.table, self.keep_alive, self.checking = shape, table, keep_alive, checking
        self.regions = {f"zone{zone}": region_of(zone, shape) for zone in range(shape.zones)}
        self.clock, self.counts, self.by_second = Clock(), Counter(), {}
        self.ran = {}  # a client's call that must not run twice: how often it ran
        self.random, self.loss = Random(seed), 0.0  # share of messages that are lost, each way
        self.waits, self.breaches, self.cut = deque(maxlen=1_000_000), [], set()  # cut: (zone, zone)
        self.hosts, self.members = {}, {}
        for cell in table.cells:
            self.add_cell(cell)
        self.terms, self.seed = terms(shape.gateways, keep_alive), seed
        self.nodes = {}
        for number in numbers:
            self.add_node(number)

    def add_cell(self, cell):
        """The hosts of a cell."""
        each = cell.capacity / cell.hosts
        names = [f"{cell.name}-host{number}" for number in range(cell.hosts)]
        self.members[cell.name] = names
        for name in names:
            self.hosts[name] = Host(name, cell.name, cell.zone, each, self.keep_alive)

    def add_node(self, number):
        """A full gateway."""
        stands = place(number, self.shape)
        gateway = CellularGateway(self.seed + number, self.terms, self.clock.now, stands)
        node = self.nodes[stands.name] = Node(self, stands.name, stands.zone, gateway)
        self.adopt(node, self.table)
        node.housekeep()
        return node

    def adopt(self, node, table):
        """A gateway takes a table, and the lists of the cells that it then wants."""
        node.gateway.adopt(self.clock.now, table)
        for name in node.gateway.wanted():
            self.list_cell(node, name)

    def list_cell(self, node, name):
        """A gateway is told of the hosts of a cell that are up."""
        rows = [
            face.ListedHost(
                host.name, 0, 0, face.State.ACTIVE, host.capacity / self.shape.host_capacity, None
            )
            for host in (self.hosts[each] for each in self.members.get(name, ()))
            if host.up
        ]
        node.gateway.update_hosts(self.clock.now, rows, True, name)

    def count(self, what, amount=1):
        """Count, in all and by the second."""
        self.counts[what] += amount
        self.by_second.setdefault(self.clock.now // SECOND, Counter())[what] += amount

    def delay(self, one, other):
        """One way between two zones; None: it is cut, or this message is lost."""
        if (one, other) in self.cut or self.loss and self.random.random() < self.loss:
            return None
        if one == other:
            return ONE_WAY["zone"]
        return ONE_WAY["region" if self.regions[one] == self.regions[other] else "far"]

    def cut_off(self, zones):
        """Nothing passes between these zones and the others."""
        every = set(self.regions)
        self.cut |= {(a, b) for a in zones for b in every - zones}
        self.cut |= {(b, a) for a in zones for b in every - zones}

    # Relays

    def to_host(self, node, held, relay, name):
        """A relay to a host of a cell that the gateway knows."""
        host = self.hosts[name]
        delay = self.delay(node.zone, host.zone)
        if delay is not None:
            self.clock.at(self.clock.now + delay, self._at_host, node, held, relay, host, delay)

    def _at_host(self, node, held, relay, host, delay):
        def answer(result, found=face.Found.UNKNOWN, report=None):
            if self.delay(node.zone, host.zone) is not None:
                self.clock.at(self.clock.now + delay, node.answered, held, relay, result, found, report)

        if not host.up:
            answer(face.Result.CONNECT_FAILED)
            return
        if host.busy >= MOST_IN_HAND * host.capacity:
            answer(face.Result.FULL, report=face.Report(in_hand=host.busy))
            return
        self._run(held.task)
        span, warm, began = host.take(self.clock.now, held.task.function)
        self.count("runs")
        self.count("loads" if began else "found")
        found = face.Found.WARM if warm else face.Found.BEGAN_LOAD if began else face.Found.AWAITED_LOAD

        def done():
            if host.up and not host.mute:
                host.busy = max(0, host.busy - 1)
                answer(face.Result.OK, found, face.Report(in_hand=host.busy))

        self.clock.at(self.clock.now + span, done)

    def _run(self, task):
        if task.request_class == NON_IDEMPOTENT:
            call = task.id.split(">")[0]
            self.ran[call] = self.ran.get(call, 0) + 1
            if self.ran[call] > 1:
                self.breaches.append(f"{call} ran twice")

    def forward(self, node, held, relay, wish):
        """A relay to an entry gateway."""
        self.count("forwards")
        entry = self.nodes.get(wish.host)
        if entry is None:
            self.clock.at(self.clock.now + MILLI, node.answered, held, relay, face.Result.CONNECT_FAILED)
            return
        delay = self.delay(node.zone, entry.zone)
        if delay is None:
            return
        self.clock.at(self.clock.now + delay, self._at_entry, node, held, relay, wish, entry, delay)

    def _at_entry(self, node, held, relay, wish, entry, delay):
        def answer(result, found=face.Found.UNKNOWN, report=None):
            if self.delay(node.zone, entry.zone) is not None:
                self.clock.at(self.clock.now + delay, node.answered, held, relay, result, found, report)

        if not entry.up:
            answer(face.Result.CONNECT_FAILED)
            return

        def finish(ending, why, found):
            results = {
                "delivered": face.Result.OK,
                "declined": face.Result.FULL,
                "unknown": face.Result.NOT_LOADED,
            }
            report = entry.gateway.local.report(self.clock.now, wish.forwarded.cell)
            answer(results.get(ending, face.Result.ERROR), found, report)

        self.counts["serial"] += 1
        left = max(MILLI, held.end - self.clock.now - delay)
        if held.task.id.count(">") >= MAX_HOPS:
            self.breaches.append(f"{held.task.id} is forwarded once more")
        task = held.task._replace(id=f"{held.task.id}>{self.counts['serial']}", time_left=left)
        entry.take(task, finish, wish.forwarded)

    # Calls

    def call(self, node, function, track=IDEMPOTENT, time_left=CALL_TIME, done=None):
        """A client's call to a full gateway."""
        self.counts["serial"] += 1
        begun = self.clock.now

        def finish(ending, why, found):
            self.count(ending)
            if ending == "declined":
                self.counts[f"declined: {why}"] += 1
            if ending == "delivered":
                self.waits.append(self.clock.now - begun)
                self.count("warm" if found is face.Found.WARM else "cold")
            if done is not None:
                done(ending, found)

        task = face.Request(f"t{self.counts['serial']}", 0, time_left, function, 4, None, track)
        self.count("calls")
        node.take(task, finish)

    def check(self, node, task, wish):
        """Invariants of each wish."""
        if self.checking and node.gateway.single is None:
            self.breaches += invariants.hops_bounded(wish)
            if isinstance(wish, face.Attempt):
                self.breaches += invariants.sent_to_known(node.gateway, wish)
                self.breaches += invariants.one_cell_at_a_time(node.gateway)
