"""Campaigns beside production in one process: gateways, keepers and hosts with a true room, judged by that
truth.

`CampaignRun(seed, case)` is one run; `cases` are in `cases.py`. `world.run()` raises
InvariantViolationError where a check fails; `figures()` says what was used, how production fared
and what was delivered.
"""

from gaproute.rollouts.campaign import SECOND, WAY, Campaign, RolloutHost, check, floors, lendable
from gaproute.shared.leases import LeaseTable
from gaproute.shared.raft import RaftNode
from gaproute.simulation.campaigns.checks import checks
from gaproute.simulation.campaigns.gateway import SimulatedGateway
from gaproute.simulation.campaigns.host import SimulatedHost
from gaproute.simulation.fault_schedule import FaultSchedule
from gaproute.simulation.invariant_checks import InvariantViolationError
from gaproute.simulation.seeded_random import SeededRandom
from gaproute.simulation.simulation import Simulation

MILLI = 1_000_000

END = 18 * SECOND  # of a run's faults and of production's bursts
BEGIN = 5 * SECOND  # from here the use counts: a leader, a plan, permits and the first loads are there
SAMPLE = 10 * MILLI  # between two looks at the truth
LANES, ROOM = 8, 2  # of a host: a campaign's old and new copy, or two campaigns' copies
LOADS = 500 * MILLI  # that a load takes; a store at a tenth of its pace: ten times
USUAL = 0.35  # of all lanes that production wants on an ordinary day
BURST = (1.5, 2.3)  # times that, in a burst


class CampaignRun:
    """`case`: see `cases.Case`. `without`: no campaigns at all, the same production."""

    def __init__(self, seed, case, end=END, without=False):
        self.seed, self.case, self.end, self.way = seed, case, end, WAY
        self.chance = SeededRandom(seed, "campaigns")
        self.production = SeededRandom(seed, "production")
        self.count, self.mean = 0, 200 * MILLI
        self.keepers = ["k1", "k2", "k3"]
        self.gateways = [f"g{number}" for number in range(1, case.gateways + 1)]
        self.hosts = {
            f"h{number}": RolloutHost(f"h{number}", "abc"[number % 3], LANES, ROOM)
            for number in range(1, case.hosts + 1)
        }
        self.zones = {
            name: "abc"[number % 3]
            for names in (self.keepers, self.gateways)
            for number, name in enumerate(names)
        } | {host.name: host.zone for host in self.hosts.values()}
        given = [
            Campaign(
                "c1",
                "m",
                1,
                case.tasks,
                1000,
                1,
                1,
                SECOND,
                450 * MILLI,
                4,
                floors={**dict.fromkeys(self.hosts, case.floor), "a": len(self.hosts) // 3 * case.floor + 2},
            )
        ]
        if case.two:
            given.append(given[0]._replace(name="c2", weight=3, floors={}))
        wrong = check(given, self.hosts.values(), {"m": 1})
        if wrong:
            raise ValueError("; ".join(wrong))
        self.floors = floors(given)
        self.lent = lendable(list(self.hosts.values()), self.floors)
        self.campaigns = {} if without else {campaign.name: campaign for campaign in given}
        self.ration = 3
        self.versions, self.done = {name: 1 for name in self.campaigns}, {name: 0 for name in self.campaigns}
        self.answers = []  # ms at the host, production's waits and runs
        self.arrived, self.waits, self.used, self.spare, self.stop = {}, [], 0, 0, 0
        self.by, self.served, self.breaches = dict.fromkeys(self.campaigns, 0), {}, []
        self.bursts = sorted((self.chance.below(end), self.chance.between(1, 3) * SECOND) for _ in range(3))
        self.height = BURST[0] + (BURST[1] - BURST[0]) * self.chance.below(1000) / 1000
        makes = (
            {name: self._keeper for name in self.keepers}
            | {name: lambda *told: SimulatedGateway(self, *told) for name in self.gateways}
            | {name: lambda *told: SimulatedHost(self, *told) for name in self.hosts}
        )
        self.numbers = {name: number for number, name in enumerate(makes)}
        self.world = None
        script = CampaignScript(self)
        # Actors are made by the run, which is there by then.
        self.world = Simulation(FaultSchedule(seed, end, case.faults(self), 0), makes, checks(self), script)

    def _keeper(self, name, disk, chance, now):
        table, base = LeaseTable(initial_wait=False), 1 + self.world.now // MILLI
        return RaftNode(name, self.keepers, disk, chance, now, table, fencing_base=base)

    # What actors ask

    def number(self):
        self.count += 1
        return self.count

    def started(self, name):
        return self.world.seats[name].life > 1

    def loads(self, name):
        return LOADS * (10 if self.case.store else 1)

    def lasts(self, chance):
        return chance.between(200, 700) * MILLI

    def takes(self, chance):
        return chance.between(50, 350) * MILLI

    def up(self):
        return [name for name in self.hosts if self.world.seats[name].actor is not None] or list(self.hosts)

    # What actors tell

    def came(self, task):
        self.arrived[task] = self.world.now

    def waited(self, task, lasts):
        if task in self.arrived:
            self.waits.append((self.world.now - self.arrived.pop(task)) / MILLI)
            self.answers.append(self.waits[-1] + lasts / MILLI)

    def ran(self, task, campaign, version, how):
        if campaign and how == "done":
            self.served[task] = version

    def delivered(self, gateway, campaign, group):
        """A gateway holds the group for whole: the hosts' truth says by which version each was answered."""
        size = self.campaigns[campaign].group
        versions = {self.served.pop(f"{group}/{number}", None) for number in range(size)}
        if len(versions) != 1 or None in versions:
            self.breaches.append(f"no version mixing: group {group} by {sorted(map(str, versions))}")
        self.done[campaign] += size

    def found(self, texts):
        self.breaches += texts

    # Figures

    def rate(self, now):
        """Production's tasks a second now."""
        factor = self.height if any(at <= now < at + lasts for at, lasts in self.bursts) else 1.0
        return USUAL * factor * LANES * len(self.hosts) * SECOND / self.mean

    def sample(self):
        for name in self.hosts:
            truth = self.world.seats[name].actor
            if truth is not None:
                spare = max(0, self.lent[name] - truth.production)
                self.used += min(spare, truth.rollouts)  # what production came beside is spare no more
                self.spare += spare
                for _, campaign, _ in truth.running.values():
                    if campaign:
                        self.by[campaign] += 1

    def figures(self):
        waits, answers = sorted(self.waits), sorted(self.answers)
        groups = [seat.actor.groups.counts for seat in self.world.up() if seat.name in self.gateways]
        return {
            "used": self.used / max(1, self.spare),
            "by": dict(self.by),
            "done": dict(self.done),
            "versions": dict(self.versions),
            "wait": waits[len(waits) * 99 // 100],
            "p50": answers[len(waits) // 2],
            "p99": answers[len(waits) * 99 // 100],
            "mean": sum(answers) / len(waits),
            "late": sum(wait > 100 for wait in waits) / len(waits),
            "lost": len(self.arrived),
            "stop": self.stop / MILLI,
            "production": len(waits),
            "scrapped": sum(sum(each.values()) - each["delivered"] for each in groups),
        }


class CampaignScript:
    """What happens from outside: production's tasks, trainers that move weights on, the case's own doings."""

    def __init__(self, play):
        self.play, self.sampled, self.done = play, BEGIN, set()

    def next(self, now):
        every = SECOND / max(1.0, self.play.rate(now))
        return now + 1 + int(self.play.production.random() * 2 * every)

    def run(self, world, chance=None):
        play = self.play
        world.ask(play.production.of(play.gateways), SimulatedGateway.produce)
        while self.sampled <= world.now:
            self.sampled += SAMPLE
            play.sample()
        for name, campaign in play.campaigns.items():
            if play.done[name] >= campaign.tasks * play.versions[name]:
                play.versions[name] += 1
                for gateway in play.gateways:  # one that is up hears it, the others from it
                    if world.ask(gateway, SimulatedGateway.moved, name, play.versions[name]):
                        break
        for at, what in play.case.acts:
            if world.now >= at and at not in self.done:
                self.done.add(at)
                what(play, world)


def play(seed, case, **words):
    """(CampaignRun, InvariantViolationError or None)."""
    made = CampaignRun(seed, case, **words)
    try:
        made.world.run()
    except InvariantViolationError as breach:
        return made, breach
    return made, None
