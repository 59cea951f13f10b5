"""Candidates that read a worker's load over many reports, beside what else each changes."""

from zlib import crc32

from benchmarks.fleet.candidates import Firsts, Shared, Soft
from benchmarks.fleet.parted import Alike
from gaproute.decisions.routing import score as policy
from gaproute.decisions.routing.beliefs import LOAD_LIFE, MILLI, SECOND, WIDE

SMOOTH = 8  # reports over which a worker's load is averaged
STRONG = 4.0  # times more points for the smoothed load
RELATIVE = 0.3  # of a usual room, for the load that is usual in the fleet
BOUND = 1.25  # of its share that a worker may long have


class Smooth(Alike):
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

    queue, usual_smooth = Alike.queue, Relative.usual_smooth
    smooth_over = 2 * SMOOTH

    def prior(self, name, worker, rank, width, prior):
        points = super().prior(name, worker, rank, width, prior)
        over = getattr(worker, "smooth", 0.0) / (BOUND * self.usual_smooth(self.world.clock.now))
        if over > 1 and crc32(f"{self.number} {name} {worker.id}".encode()) % 1000 < 1000 * (1 - 1 / over):
            points *= 0.8
        return points


class Wide(Firsts):
    """Own first choices, of at least two for each function, also a rare one."""

    def breadth(self, name):
        return max(super().breadth(name), 2 / WIDE)


class WideBounded(Bounded, Wide):
    """Both."""
