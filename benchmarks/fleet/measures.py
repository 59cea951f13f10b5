"""How even a play was: tasks in hand by host, idle hosts, herds after reports and events, lateness.

`fair`: of a host of size s, s over the sum of the sizes of all that are up. A share of 1 is fair."""

from bisect import bisect_left
from statistics import median

from benchmarks.fleet.clock import MILLI, SECOND

TICK = 100 * MILLI  # between samples: a little over an answer time
FROM = 2 * SECOND  # first sample: before it the loads of the start weigh most
HERD = 500 * MILLI  # after a report or an event
IDLE, IDLE_FOR = 0.25, 50  # of the fair share, in the mean over so many samples
CONTRACT = 600 * MILLI


def coefficient(values):
    mean = sum(values) / len(values)
    return (sum((value - mean) ** 2 for value in values) / len(values)) ** 0.5 / mean if mean else 0.0


class Watch:
    """Watches a world; `sums` has the figures of the play."""

    def __init__(self, world, until, since=FROM):
        self.world, self.since = world, since
        self.samples, self.reports, self.events = [], [], []
        self.took, self.late = [], {"load": 0, "queue": 0, "failed": 0, "waited": 0, "declined": 0}
        self.relays = 0
        world.watchers.append(self)
        for at in range(since, until + 1, TICK):
            world.clock.at(at, self.sample)

    def sample(self):
        self.samples.append(
            {
                name: (host.busy / host.size, host.busy / host.lanes(self.world.clock.now) > 1)
                for name, host in self.world.hosts.items()
                if not host.lost
            }
        )

    def told(self, now, teller, words):
        heard = teller.gateway.sharing.decode(words)
        if heard is not None and now >= self.since:
            self.reports.append((now, heard[0], heard[1].cpu_busy))

    def event(self, names):
        """Something happened now after which these hosts may be herded to."""
        self.events.append((self.world.clock.now, tuple(names)))

    def relayed(self, now, one, function, worker, host):
        self.relays += 1

    def answered(self, now, asked):
        if asked.came < self.since:
            return
        took = now - asked.came
        self.took.append(took)
        if took > CONTRACT:
            before = took - asked.load - asked.queue
            parts = {"load": asked.load, "queue": asked.queue, "waited": before}
            why = "failed" if asked.failed else max(parts, key=parts.get)
            self.late[why] += 1

    def lost(self, now, asked):
        self.late["declined"] += asked.came >= self.since

    def got(self, name, at, span=HERD):
        """Relays that a host got after that moment, over its fair share of all."""
        mine, size = 0, 0.0
        every = 0
        for each, host in self.world.hosts.items():
            some = bisect_left(host.came, at + span) - bisect_left(host.came, at)
            every, size = every + some, size + host.size
            if each == name:
                mine = some / host.size
        return mine / (every / size) if every else 0.0

    def herds(self):
        """After reports that told of less than the middle: mean, highest in a hundred; the worst host of the
        events."""
        known = sorted(share for _, _, share in self.reports)
        middle = known[len(known) // 2] if known else 0.0
        low = [(at, name) for at, name, share in self.reports if share <= middle][::7]
        after = sorted(self.got(name, at) for at, name in low) or [0.0]
        worst = max((self.got(name, at) for at, names in self.events for name in names), default=0.0)
        return sum(after) / len(after), after[len(after) * 99 // 100], worst

    def idle(self):
        """Hosts that were idle over some span while another queued."""
        found, names = set(), list(self.world.hosts)
        for end in range(IDLE_FOR, len(self.samples) + 1, IDLE_FOR // 5):
            span = self.samples[end - IDLE_FOR : end]
            stood = [name for name in names if all(name in sample for sample in span)]
            means = {name: sum(sample[name][0] for sample in span) / len(span) for name in stood}
            if means and any(queues for sample in span for _, queues in sample.values()):
                least = IDLE * sum(means.values()) / len(means)
                found.update(name for name in stood if means[name] < least)
        return len(found)

    def sums(self):
        each = [[value for value, _ in sample.values()] for sample in self.samples]
        over = {}
        for sample in self.samples:
            fleet = sum(value for value, _ in sample.values()) / len(sample)
            for name, (value, _) in sample.items():
                mine, all_of = over.get(name, (0.0, 0.0))
                over[name] = (mine + value, all_of + fleet)
        means = sorted(mine / all_of for mine, all_of in over.values() if all_of)
        in_hand = sum(map(sum, each)) / sum(map(len, each))
        tasks, took = self.world.counts["tasks"], sorted(self.took)
        herd, high, worst = self.herds()
        late, asked = sum(self.late.values()), len(took) + self.late["declined"]
        return {
            "cv": sum(map(coefficient, each)) / len(each),
            "by chance": in_hand**-0.5,
            "in hand": in_hand,
            "low": means[0],
            "high": means[-1],
            "lasting": coefficient(means),
            "peak": sum(max(some) * len(some) / max(sum(some), 1) for some in each) / len(each),
            "idle": self.idle(),
            "herd": herd,
            "herd p99": high,
            "herd event": worst,
            "p50": median(took) / MILLI,
            "p99": took[len(took) * 99 // 100] / MILLI,
            "late": late / asked,
            **{f"late {why}": count / asked for why, count in self.late.items()},
            "loads": self.world.counts["loads"] / tasks,
            "relays": self.relays / tasks,
            "probes": self.world.counts["probes"] / tasks,
            "CPU": self.world.cpu / tasks / MILLI,
        }
