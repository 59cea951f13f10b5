"""What acts in a run of rounds: hosts with their true copies, schedulers, gateways that see and tell, a crew.

Words between them are tuples that nobody changes; keepers get and give their own. A host keeps the greatest
fence and mark that it took, and the last round whose crew restarted it, over its restarts (`memory`), as what
supervises it does.
"""

from gaproute.maintenance import FleetStatus, RoundController
from gaproute.maintenance.drain_proof import DrainBounds
from gaproute.maintenance.invariants import check_belief, check_given, check_round
from gaproute.maintenance.warm_capacity import HostReport
from gaproute.shared.gossip import GossipNode
from gaproute.shared.leases import LeaseClient

MILLI, SECOND = 1_000_000, 1_000_000_000
PROBE = SECOND  # between two questions to one host
TURN = 500 * MILLI  # between two looks of a scheduler at its round
LOAD = 2 * SECOND  # a copy takes so long, and up to as long again
COLD = 5 * SECOND  # after its start a host has half of its power
SPAN = 20 * SECOND  # of permits: some renewals may be lost
PEAK = 60 * SECOND  # the highest demand told within it is the peak


class Host:
    """`truth`: of the play: {name: this}, to be judged."""

    def __init__(self, play, name, chance, now, first):
        self.host, self.play, self.chance = play.fleet[name], play, chance
        self.memory = play.memory.setdefault(name, {"fence": 0, "mark": (0, 0), "done": ""})
        self.copies = dict.fromkeys(play.copies[name], 0) if first else {}
        self.loading, self.tasks = {}, []  # function: when it is there; ends of tasks in hand
        self.down = None
        self.begin(now, first)

    def begin(self, now, first=False):
        self.start, self.draining = self.chance.below(1 << 40) + 1, False
        self.warms = None if first else now + COLD  # when it has its full power

    @property
    def due(self):
        return min(
            [when for when in (self.down, self.warms, *self.loading.values()) if when is not None],
            default=None,
        )

    def tick(self, now):
        if self.down is not None:
            if now < self.down:
                return []
            self.down = None
            self.begin(now)
        if self.warms is not None and now >= self.warms:
            self.warms = None
        for function in [name for name, when in self.loading.items() if when <= now]:
            del self.loading[function]
            self.copies[function] = now
        return []

    def hear(self, now, sender, message):
        self.tick(now)
        if self.down is not None:
            return []
        kind, memory = message[0], self.memory
        if kind == "probe":
            self.tasks = [end for end in self.tasks if end > now]
            return [
                (
                    sender,
                    (
                        "shown",
                        message[1],
                        (
                            self.start,
                            self.draining,
                            memory["mark"],
                            len(self.tasks),
                            500 if self.warms else 1000,
                            self.host.slots - len(self.copies) - len(self.loading),
                            tuple(self.loading),
                            memory["done"],
                        ),
                        tuple(self.copies),
                    ),
                )
            ]
        if kind == "task" and not self.draining:
            self.tasks.append(now + message[1])
        elif kind == "drain" and message[1] > memory["mark"]:
            memory["mark"], self.draining = message[1], True
            self.play.judge.takes(self)
        elif kind == "serve" and message[1] > memory["mark"]:
            memory["mark"], self.draining = message[1], False
            self.play.judge.serves(self)
        elif (
            kind == "load"
            and len(self.copies) + len(self.loading) < self.host.slots
            and not self.loading
            and message[1] not in self.copies
        ):
            self.loading[message[1]] = now + LOAD + self.chance.below(LOAD)
        elif kind == "restart":
            _, fence, mark, name = message
            if self.draining and mark == memory["mark"] and fence > memory["fence"]:
                memory["fence"], memory["done"] = fence, name
                self.play.judge.restarts(self, now, sum(end > now for end in self.tasks))
                self.stop(now)
        elif kind == "pull":  # taken out although nobody gave it
            self.play.judge.pulled(self)
            self.stop(now)
        return []

    def stop(self, now):
        self.copies, self.loading, self.tasks, self.warms = {}, {}, [], None
        never = self.host.name in self.play.never
        outs = self.play.outs
        self.down = now + (10_000 * SECOND if never else outs - self.chance.below(outs // 10))

    def warm(self):
        """{function: lanes} in truth, for new tasks."""
        if self.down is not None or self.draining:
            return {}
        lanes = self.host.lanes // 2 if self.warms else self.host.lanes
        return dict.fromkeys(self.copies, lanes)


class HostObserver:
    """Probes the hosts in turn and tells what it saw: of a gateway and of a scheduler alike."""

    def __init__(self, play, name, chance, now, peers):
        self.play, self.name, self.chance = play, name, chance
        self.gossip = GossipNode(name, 1 + play.world.seats[name].life, chance, now)
        self.gossip.set_peers(now, peers)
        self.hosts, self.place, self.number = list(play.fleet), 0, 0
        self.asked, self.shown, self.starts = {}, {}, {}
        self.next = now
        self.gossip.set_hosts(now, dict.fromkeys(self.hosts, 0))

    def tick(self, now):
        out = []
        if now >= self.gossip.due:
            out += [(peer, ("word", word)) for peer, word in self.gossip.tick(now)]
        if now >= self.next:
            self.next = now + PROBE // len(self.hosts)
            name = self.hosts[self.place % len(self.hosts)]
            self.place, self.number = self.place + 1, self.number + 1
            self.asked[name] = self.number, now
            out.append((name, ("probe", self.number)))
        return out

    def hear(self, now, sender, message):
        if message[0] == "word":
            self.gossip.receive(now, sender, message[1])
        elif message[0] == "shown" and self.asked.get(sender, (0, 0))[0] == message[1]:
            asked = self.asked[sender][1]
            start, draining, mark, hands, power, free, loading, done = message[2]
            if self.starts.get(sender) != start:
                self.starts[sender] = start
                self.gossip.set_hosts(
                    now, self.starts | {name: 0 for name in self.hosts if name not in self.starts}
                )
            self.shown[sender] = HostReport(
                asked, start, draining, mark, hands, power, free, message[3], loading, done
            )
            for function in self.play.functions:
                if function in message[3]:  # as of when it was asked: an answer may be long on its way
                    self.gossip.record_warm_instance(asked, sender, function)
                else:
                    self.gossip.record_unloaded_instance(sender, function)


class ReportingGateway(HostObserver):
    """Tells the schedulers of demand, and sends tasks to hosts of which it does not know that they drain."""

    @property
    def due(self):
        return min(self.next, self.gossip.due)

    def tick(self, now):
        out = super().tick(now)
        if self.chance.below(4) == 0:
            out.append((self.chance.of(self.hosts), ("task", 200 * MILLI + self.chance.below(2 * SECOND))))
            out += [(name, ("demand", dict(self.play.demand))) for name in self.play.schedulers]
        return out


class SimulatedScheduler(HostObserver):
    running = RoundController

    def __init__(self, play, name, chance, now, peers, rounds):
        super().__init__(play, name, chance, now, peers)
        self.holder = LeaseClient(name, play.keepers, chance, now)
        self.rounds = [
            self.running(
                asked,
                name,
                self.holder,
                now,
                SPAN,
                DrainBounds(),
                beside=[other for other in play.rounds if other is not asked],
            )
            for asked in rounds
        ]
        self.demand, self.told, self.look = {}, now - PEAK, now
        self.log, self.breaches = [], []

    @property
    def requests(self):
        return self.holder.requests

    @property
    def due(self):
        return min(
            [self.next, self.gossip.due, self.look] + [self.holder.due] * (self.holder.due is not None)
        )

    def view(self, now):
        peak = {function: max(lanes for lanes, _ in told) for function, told in self.demand.items()}
        return FleetStatus(
            self.play.fleet,
            self.shown,
            {function: self.gossip.warm_instances(now, function) for function in self.play.functions},
            peak,
            now - self.told,
        )

    def tick(self, now):
        out = super().tick(now)
        if now >= self.look:
            self.look, view = now + TURN, self.view(now)
            for running in self.rounds:
                for order in running.tick(now, view):
                    out.append((order[1], (order[0], order[2])))
                self.breaches += check_round(running, now, self.play.fleet) + check_belief(running, now, view)
                self.play.judge.logs(self.name, running)
        return out + self.holder.tick(now)

    def hear(self, now, sender, message):
        if sender in self.play.keepers:
            return self.holder.hear(now, sender, message)
        if message[0] == "demand":
            self.told = now
            for function, lanes in message[1].items():
                kept = [
                    each for each in self.demand.get(function, ()) if each[0] > lanes and now - each[1] < PEAK
                ]
                self.demand[function] = [*kept[-8:], (lanes, now)]
        elif message[0] == "ask":
            return self.give(now, sender, message[1])
        return super().hear(now, sender, message) or []

    def give(self, now, sender, number):
        out = []
        for running in self.rounds:
            for name in [place.name for place in running.places.values() if place.state in ("ready", "out")]:
                answer = running.ask(now, name, self.view(now))
                self.breaches += check_given(running, now, name, answer, self.play.greatest)
                if not isinstance(answer, str):
                    out.append((sender, ("out", number, name, *answer, running.asked.name)))
        return out


class MaintenanceWorker:
    """Asks who is ready, and restarts it if it still may: it counts from when it asked."""

    def __init__(self, play, now):
        self.play, self.due, self.number, self.asked = play, now, 0, {}

    def tick(self, now):
        self.due, self.number = now + 500 * MILLI, self.number + 1
        self.asked[self.number] = now
        self.asked.pop(self.number - 100, None)
        return [(name, ("ask", self.number)) for name in self.play.schedulers]

    def hear(self, now, sender, message):
        _, number, name, fence, mark, left, asked = message
        if number in self.asked and now < self.asked[number] + left:
            return [(name, ("restart", fence, mark, asked))]
        return []
