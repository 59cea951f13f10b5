"""Who chooses: the policy as it is, some that see what no gateway can, and candidates (docs/evenness.md).

Each candidate is one small change to one part of the score.
"""
from math import exp
from zlib import crc32

from gaproute import policy
from gaproute.beliefs import LOAD_LIFE, MILLI, SECOND
from gaproute.policy import Gateway

from benchmarks.fleet.parted import Parted

NEAR_TIE = 0.3           # points: less than from one choice of the hash to the next
WORK_TIME = 100 * MILLI  # over which what a report told of has been answered
SMOOTH = 8               # reports over which a worker's load is averaged
POINT = 0.5              # points a task in hand, where queues are true: a copy is worth twelve
SOFT = 0.1               # points by which a worker is chosen e times as often
RELATIVE = 0.3           # of a usual room, for the load that is usual in the fleet
BOUND = 1.25             # of its share that a worker may long have
STRONG = 4.0             # times more points for the smoothed load


class Sees(Parted):
    """The same score with the true queues, as old as `lag`."""
    lag = 0

    def true(self, worker):
        host = self.world.hosts[worker.id]
        if not self.lag:
            return host.busy
        return self.world.past.busy(worker.id, self.lag)

    def queue(self, worker, task, now):
        return self.true(worker)


class Level(Sees):
    """True queues and true copies: the least load among hosts where a copy stands, another where it pays."""
    slack = 100.0            # all are scored

    def queue_weight(self, heat):
        return POINT * policy.ROOM

    def copy(self, name, worker, rank, width, warmth):
        return 1.0 if name in self.world.hosts[worker.id].copies else 0.0


class Least(Level):
    """True queues and nothing else: the least load, whatever it costs in loads."""

    def copy(self, name, worker, rank, width, warmth):
        return 1.0


class Aged(Parted):
    """(a) A report fades to the usual one within an answer time: what all others send comes in between."""

    def queue(self, worker, task, now):
        told = super().queue(worker, task, now)
        age = now - worker.reported
        if worker.report is None or age > LOAD_LIFE or worker.report.cpu_busy is None:
            return told
        usual = self.usual_share(now) * task.lanes
        fresh = exp(-age / WORK_TIME)
        return max(usual + (worker.report.cpu_busy * task.lanes - usual) * fresh, len(worker.out))

    def usual_share(self, now):
        if now - getattr(self, "shared_at", -SECOND) > 40 * MILLI:
            shares = [worker.report.cpu_busy for worker in self.fleet
                      if worker.report is not None and now - worker.reported <= LOAD_LIFE]
            self.shared, self.shared_at = sum(shares) / len(shares) if shares else 0.0, now
        return self.shared


class Readers(Parted):
    """(b) Points for the queue grow with how many read the same report: the root of the gateways."""

    def queue_weight(self, heat):
        return super().queue_weight(heat) * max(1.0, len(self.world.gateways) ** 0.5)


class Shared(Parted):
    """(c) Near-ties by chance in proportion to the room that reports tell of."""
    slack = NEAR_TIE

    def room(self, worker):
        busy = worker.report.cpu_busy if worker.report is not None else 0.0
        return max(1, int(1000 * worker.capacity * (1 - busy)))

    def pick(self, scored):
        best = max(each.score for each in scored)
        near = sorted([each.worker for each in scored if each.score >= best - self.slack],
                      key=lambda worker: worker.place)
        rooms = [self.room(worker) for worker in near]
        drawn = self.chance.below(sum(rooms))
        for worker, room in zip(near, rooms, strict=True):
            drawn -= room
            if drawn < 0:
                return worker
        raise AssertionError("drawn beyond all room")


class Firsts(Parted):
    """(d) Of the first choices that count alike each gateway has its own."""

    def prior(self, name, worker, rank, width, prior):
        mine = (self.number + crc32(name.encode())) % width
        return super().prior(name, worker, rank, width, prior) * (
            1.0 if rank >= width or rank == mine else 0.93)


class Told(Sees):
    """(e) Tasks in hand told by all each 500 ms, beside reports: as old as that at most, half in the mean."""
    lag = 250 * MILLI


class Smooth(Parted):
    """A worker's load is the mean of its last reports, not the last; it weighs more."""
    strong, smooth_over = STRONG, SMOOTH

    def note(self, worker, now, report):
        super().note(worker, now, report)
        if report is not None and report.cpu_busy is not None:
            was = getattr(worker, "smooth", report.cpu_busy)
            worker.smooth = was + (report.cpu_busy - was) / self.smooth_over

    def queue(self, worker, task, now):
        if now - worker.reported > LOAD_LIFE or not hasattr(worker, "smooth"):
            return len(worker.out)
        return max(worker.smooth * task.lanes * self.strong, len(worker.out))


class SmoothShared(Smooth, Shared):
    """The smoothed load, and near-ties by chance in proportion to room."""

    def room(self, worker):
        return max(1, int(1000 * worker.capacity * (1 - getattr(worker, "smooth", 0.0))))


class Coarse(Parted):
    """(c) A queue counts in whole steps alone, so that the workers of one step share by chance."""
    step = 1                 # task, of those that a share of CPU stands for: a quarter of the share

    def queue(self, worker, task, now):
        return super().queue(worker, task, now) // self.step * self.step


class Coarser(Coarse):
    """The same with steps of half the share."""
    step = 2


class Soft(Parted):
    """(c) Near-ties by chance, the likelier the more points."""
    slack, heat = 5 * SOFT, SOFT

    def pick(self, scored):
        best = max(each.score for each in scored)
        near = sorted([each for each in scored if each.score >= best - self.slack],
                      key=lambda each: each.worker.place)
        weights = [exp((each.score - best) / self.heat) for each in near]
        drawn = self.chance.below(SECOND) / SECOND * sum(weights)
        for each, weight in zip(near, weights, strict=True):
            drawn -= weight
            if drawn < 0:
                return each.worker
        return near[-1].worker


class SoftSmooth(Smooth, Soft):
    """The smoothed load, and near-ties by chance, the likelier the more points."""


class FirstsSmooth(Smooth, Firsts):
    """The smoothed load, and own first choices."""


class Relative(SoftSmooth):
    """The smoothed load over the fleet's, so that it says as much where all have little to do."""

    relative = RELATIVE

    def queue(self, worker, task, now):
        if now - worker.reported > LOAD_LIFE or not hasattr(worker, "smooth"):
            return policy.ROOM * self.relative
        return policy.ROOM * self.relative * min(3.0, worker.smooth / self.usual_smooth(now))

    def usual_smooth(self, now):
        if now - getattr(self, "shared_at", -SECOND) > 40 * MILLI:
            known = [worker.smooth for worker in self.fleet if hasattr(worker, "smooth")]
            self.shared, self.shared_at = max(sum(known) / max(len(known), 1), 0.01), now
        return self.shared


class Gentle(Relative):
    """The same with a fifth of the points, over twice as many reports."""
    relative, smooth_over = RELATIVE / 5, 2 * SMOOTH


class Bounded(Smooth, Firsts):
    """Own first choices; a worker that long had over a quarter more than its share loses as much of the
    functions that are its by the hash: each gateway decides by its own hash, so that few copies move."""

    queue, usual_smooth = Parted.queue, Relative.usual_smooth
    smooth_over = 2 * SMOOTH

    def prior(self, name, worker, rank, width, prior):
        points = super().prior(name, worker, rank, width, prior)
        over = getattr(worker, "smooth", 0.0) / (BOUND * self.usual_smooth(self.world.clock.now))
        if over > 1 and crc32(f"{self.number} {name} {worker.id}".encode()) % 1000 < 1000 * (1 - 1 / over):
            points *= 0.8
        return points


def lagging(base, milli):
    return type(f"{base.__name__}{milli}", (base,), {"lag": milli * MILLI})


VARIANTS = {
    "today": lambda world, seed, terms, now: Gateway(seed, terms, now), "parted": Parted,
    "sees": Sees, "level": Level, "level50": lagging(Level, 50), "level100": lagging(Level, 100),
    "level300": lagging(Level, 300), "level1000": lagging(Level, 1000), "least": Least,
    "aged": Aged, "readers": Readers, "shared": Shared, "firsts": Firsts, "told": Told,
    "smooth": Smooth, "smoothshared": SmoothShared, "soft": Soft, "softsmooth": SoftSmooth, "coarse": Coarse, "coarser": Coarser,
   
    "firstssmooth": FirstsSmooth, "relative": Relative, "gentle": Gentle, "bounded": Bounded,
}
