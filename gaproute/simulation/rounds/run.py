"""Rounds of maintenance in one process: true copies, belief told late, permits of real keepers, faults.

`MaintenanceRun(seed, kind)` draws a fleet, rounds and what befalls them; `play(seed, kind)` runs them to
their end.
"""

from gaproute.maintenance import MaintenanceHost, RoundSpec
from gaproute.shared.leases import LeaseTable
from gaproute.shared.leases.commands import CLOCK_ERROR
from gaproute.shared.raft import RaftNode
from gaproute.simulation.fault_schedule import FaultSchedule, ScheduledFault, draw
from gaproute.simulation.invariant_checks import InvariantChecks, InvariantViolationError
from gaproute.simulation.raft_group.checks import LeaseValidityCheck
from gaproute.simulation.rounds.judge import FloorJudge
from gaproute.simulation.rounds.processes import (
    SPAN,
    Host,
    MaintenanceWorker,
    ReportingGateway,
    SimulatedScheduler,
)
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.simulation.simulation import Simulation

MILLI, SECOND = 1_000_000, 1_000_000_000
END = 100 * SECOND  # of the faults
LAST = 300 * SECOND  # a run that has not ended by then is looked at as it is
OUT = 10 * SECOND  # a host away
RATE = CLOCK_ERROR * 1_000  # millionths: clocks go wrong up to what is promised
KINDS = (
    "none",
    "links",
    "died",
    "died two",
    "zone cut",
    "demand",
    "killed",
    "two rounds",
    "withdrawn",
    "never back",
    "pulled",
    "all",
)
LINKS = ("crash", "pause", "cut", "cut both", "part", "lose", "double", "slow", "hold", "pace")


class MaintenanceRun:
    """`kind`: of KINDS. All is drawn from the seed."""

    scheduler = SimulatedScheduler

    def __init__(self, seed, kind, hosts=(6, 10), outs=OUT, changed=None):
        chance = self.chance = SeededRandom(seed, "rounds", kind)
        self.seed, self.kind, self.outs = seed, kind, outs
        self.keepers = ("k1", "k2", "k3")
        self.schedulers = ("s1", "s2") if kind in ("two rounds", "all") else ("s1",)
        self._fleet(chance, chance.between(*hosts))
        self.rounds = [self._round(chance, number) for number in range(len(self.schedulers))]
        if changed:
            self.rounds = [changed(asked) for asked in self.rounds]
        self.memory, self.greatest, self.never, self.started = {}, {}, set(), set()
        names = [*self.keepers, *self.schedulers, "g1", "g2", "crew", *self.fleet]
        self.numbers = {name: number for number, name in enumerate(names)}
        self.judge, self.world = FloorJudge(self), None
        makes = dict.fromkeys(self.keepers, self._keeper) | dict.fromkeys(self.schedulers, self._scheduler)
        makes |= dict.fromkeys(("g1", "g2"), self._gateway)
        makes |= {"crew": lambda name, disk, chance, now: MaintenanceWorker(self, now)}
        makes |= dict.fromkeys(self.fleet, self._host)
        self.plan = self._plan(chance)
        checks = InvariantChecks(touched=[self.judge, LeaseValidityCheck(self.schedulers, {})])
        rates = {name: chance.of((-RATE, 0, RATE)) for name in names}
        self.world = Simulation(self.plan, makes, checks, None, rates)
        self.asks = sorted(self._asks(chance), key=lambda ask: ask[0])

    def _fleet(self, chance, size):
        self.zones = [f"z{number}" for number in range(chance.between(2, 3))]
        self.functions = [f"f{number}" for number in range(chance.between(3, 5))]
        self.fleet, self.copies = {}, {}
        for number in range(size):
            zone = self.zones[number % len(self.zones)]
            rack = f"{zone}r{number // len(self.zones) % 2}"
            host = MaintenanceHost(f"h{number}", zone, rack, chance.of(("a", "b")), chance.of((4, 8)), 4)
            self.fleet[host.name] = host
            self.copies[host.name] = []
        for function in self.functions:
            for name in self.fleet:
                if len(self.copies[name]) < 3 and chance.below(100) < 55:
                    self.copies[name].append(function)
        self.copies = {name: tuple(copies) for name, copies in self.copies.items()}
        total = {
            function: sum(host.lanes for host in self.fleet.values() if function in self.copies[host.name])
            for function in self.functions
        }
        lanes, share = sum(host.lanes for host in self.fleet.values()), chance.between(10, 45)
        self.demand = {
            function: max(
                1, min(each * chance.between(15, 60) // 100, lanes * share // 100 // len(self.functions))
            )
            for function, each in total.items()
        }

    def _round(self, chance, number):
        chosen = [name for name in self.fleet if chance.below(100) < 70] or list(self.fleet)
        if len(self.schedulers) > 1:
            chosen = [name for place, name in enumerate(self.fleet) if place % 2 == number]
        by = 3600 * SECOND if self.kind not in ("never back", "all") else 220 * SECOND
        return RoundSpec(
            name=f"round{number}",
            hosts=tuple(chosen),
            out=OUT if self.outs < OUT else self.outs,
            together=min(len(chosen), chance.between(1, 3)),
            by=by,
            one_per=chance.of(("", "", "rack", "zone")),
            margin=chance.of((100, 250, 400)),
            zones=chance.of((0, 0, 300)),
            survive=chance.of(("host", "host", "host", "", "rack")),
            apart=(tuple(chosen[:2]),) if len(chosen) > 1 and chance.below(3) == 0 else (),
        )

    def _plan(self, chance):
        kind, faults, hosts = self.kind, [], list(self.fleet)
        staff = [*self.keepers, *self.schedulers, "g1", "g2", "crew"]

        def at():
            return 5 * SECOND + chance.below(END - 10 * SECOND)

        def add(what, who, long, value=0):
            begin = at()
            faults.append(
                ScheduledFault(what, begin, begin + long, tuple(self.numbers[name] for name in who), value)
            )

        if kind in ("links", "all"):
            drawn = draw(
                self.seed,
                len(self.numbers),
                END,
                LINKS,
                faulty=[self.numbers[name] for name in staff],
                beyond=RATE,
            )
            faults += [fault for fault in drawn.faults if chance.below(5) == 0]
        if kind in ("died", "died two") or kind == "all" and chance.below(2):
            for _ in range(2 if kind == "died two" else 1):
                add("crash", (chance.of(hosts),), chance.between(2, 30) * SECOND)
        if kind == "zone cut" or kind == "all" and chance.below(2):
            zone = chance.of(self.zones)
            parted = [name for name in hosts if self.fleet[name].zone == zone]
            add("part", parted, chance.between(5, 30) * SECOND)
        if kind == "killed" or kind == "all" and chance.below(2):
            for _ in range(3):
                add("crash", (chance.of(self.schedulers),), chance.between(1, 8) * SECOND)
        return FaultSchedule(self.seed, END, tuple(faults), 0)

    def _asks(self, chance):
        """[(true time, what)] beside the faults of the plan."""
        kind, came = self.kind, []

        def often(word):
            return kind == word or kind == "all" and chance.below(2)

        def at():
            return 20 * SECOND + chance.below(80 * SECOND)

        if often("demand"):
            came.append((at(), self._doubles))
        if often("withdrawn"):
            came.append(
                (
                    at(),
                    lambda: self.world.ask(
                        self.schedulers[0],
                        lambda actor, now: [running.withdraw(now) for running in actor.rounds] and [],
                    ),
                )
            )
        if often("never back"):
            self.never.add(chance.of(self.rounds[0].hosts))
        if often("pulled"):
            name = chance.of(list(self.fleet))
            came.append(
                (at(), lambda: self.world.ask(name, lambda actor, now: actor.hear(now, "", ("pull",))))
            )
        return came

    def _doubles(self):
        self.demand = {function: 2 * lanes for function, lanes in self.demand.items()}
        self.judge.rises()
        self.judge.look(self.world.now)

    # Actors

    def _keeper(self, name, disk, chance, now):
        table = LeaseTable(initial_wait=False, max_duration=SPAN)
        return RaftNode(name, self.keepers, disk, chance, now, table, fencing_base=1)

    def _scheduler(self, name, disk, chance, now):
        place = self.schedulers.index(name)
        peers = [*(other for other in self.schedulers if other != name), "g1", "g2"]
        return self.scheduler(self, name, chance, now, peers, [self.rounds[place]])

    def _gateway(self, name, disk, chance, now):
        peers = [other for other in ("g1", "g2", *self.schedulers) if other != name]
        return ReportingGateway(self, name, chance, now, peers)

    def _host(self, name, disk, chance, now):
        first = name not in self.started
        self.started.add(name)
        return Host(self, name, chance, now, first)

    def run(self):
        """Plays until all rounds have ended, the asks between. Errors: InvariantViolationError."""
        asks, now = list(self.asks), 0
        while now < LAST and len(self.judge.ends) < len(self.rounds):
            now += SECOND
            self.world.run(now)
            while asks and asks[0][0] <= now:
                asks.pop(0)[1]()
        return self


def play(seed, kind, made=MaintenanceRun, **told):
    """(MaintenanceRun, InvariantViolationError or None)."""
    one = made(seed, kind, **told)
    try:
        return one.run(), None
    except InvariantViolationError as breach:
        return one, breach
