"""Which points decided each relay, how old the report was that it read, and what all sent there since.

A relay is told by what would have been chosen without the points for the queue. Herds show in what a host got
in the half second after a report of it beside the half second before, by whether its load fell or rose.
"""

from bisect import bisect_right
from statistics import mean, median

from benchmarks.fleet.clock import MILLI, SECOND
from benchmarks.fleet.faults import FAULTS, chance_of, none
from benchmarks.fleet.measures import HERD, Watch
from benchmarks.fleet.traffic import Traffic
from benchmarks.fleet.variants import VARIANTS
from benchmarks.fleet.world import World
from benchmarks.rows import table, write
from gaproute.decisions.routing.parameters import REPORT_LIFETIME
from gaproute.decisions.routing.scorer import ROUNDING

WHY = (
    "only copy known",
    "copy by warmth",
    "copy by queue",
    "prior",
    "queue among equal priors",
    "queue against prior",
    "chance",
)
STEP = 0.03  # of CPU: a report is taken to rise or fall from here on; half a task in hand


def why(scored, chosen):
    """Which points decided, of `WHY`."""
    mine = next(each for each in scored if each.host.id == chosen)
    if mine.warmth > 0 and sum(each.warmth > 0 for each in scored) == 1:
        return WHY[0]
    best = max(each.score + each.queue for each in scored)
    alike = [each for each in scored if each.score + each.queue >= best - ROUNDING]
    if len(alike) == 1 and alike[0] is mine:
        return WHY[1] if mine.warmth > 0 else WHY[3]
    if sum(each.score >= mine.score - ROUNDING for each in alike) > 1 and mine in alike:
        return WHY[6]
    return WHY[2] if mine.warmth > 0 else WHY[4] if mine in alike else WHY[5]


class Follow(Watch):
    def __init__(self, world, until):
        super().__init__(world, until)
        self.each = {name: [] for name in WHY}

    def relayed(self, now, one, function, worker, host):
        super().relayed(now, one, function, worker, host)
        if now < self.since or not one.gateway.selector.latest:
            return
        known = one.gateway.hosts_by_id[worker]
        age = now - known.reported_at if known.report is not None else REPORT_LIFETIME + 1
        since = len(host.came) - bisect_right(host.came, known.reported_at) if age <= REPORT_LIFETIME else 0
        own = sum(sent > known.reported_at for sent in known.in_flight.values())
        others = mean(each.busy for each in self.world.hosts.values())
        self.each[why(one.gateway.selector.latest, worker)].append(
            (age, since, own, host.busy / others if others else 0.0, function in host.copies)
        )

    def shares(self):
        """A row for each reason."""
        every = sum(map(len, self.each.values()))
        rows = []
        for name, some in self.each.items():
            if not some:
                continue
            fresh = [each for each in some if each[0] <= REPORT_LIFETIME]
            rows.append(
                {
                    "decided by": name,
                    "share": round(len(some) / every, 3),
                    "a report was there": round(len(fresh) / len(some), 2),
                    "its age, ms": round(median(each[0] for each in fresh) / MILLI) if fresh else "-",
                    "sent there since by all": round(mean(each[1] for each in fresh), 1) if fresh else "-",
                    "by this gateway, in hand": round(mean(each[2] for each in fresh), 2) if fresh else "-",
                    "true tasks there over the mean": round(mean(each[3] for each in some), 2),
                    "copy stood or was on its way": round(mean(each[4] for each in some), 2),
                }
            )
        return rows

    def after(self):
        """What hosts got before and after reports of them, over their fair share."""
        last, kinds = {}, {"fell": [], "as before": [], "rose": [], "told idle": []}
        for at, name, share in self.reports:
            was = last.get(name, share)
            last[name] = share
            pair = self.got(name, at - HERD), self.got(name, at)
            kind = "fell" if share < was - STEP else "rose" if share > was + STEP else "as before"
            kinds[kind].append(pair)
            if share < STEP:
                kinds["told idle"].append(pair)
        return [
            {
                "report": kind,
                "number": len(pairs),
                "500 ms before": round(mean(before for before, _ in pairs), 2),
                "500 ms after": round(mean(after for _, after in pairs), 2),
            }
            for kind, pairs in kinds.items()
            if pairs
        ]


def play(variant, gateways, hosts, rate, seconds, seed, fault="none"):
    world = World(gateways, hosts, VARIANTS[variant])
    watch = Follow(world, seconds * SECOND)
    FAULTS.get(fault, none)(world, watch, chance_of(seed))
    Traffic(world, rate, seed)
    world.clock.run(seconds * SECOND)
    return watch


def show(told):
    rows, after = [], []
    for rate in map(int, told.rates.split(",")):
        for fault in told.faults.split(","):
            for seed in map(int, told.seeds.split(",")):
                head = {"rate": rate, "fault": fault, "seed": seed}
                watch = play("parted", int(told.gateways), told.hosts, rate, told.seconds, seed, fault)
                rows += [head | row for row in watch.shares()]
                after += [head | row for row in watch.after()]
    print(table(rows))
    print(table(after))
    if told.out:
        write(told.out, told.name, rows, after=after)
