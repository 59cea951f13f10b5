"""Candidates that read a host's load over many reports, beside what else each changes."""

from zlib import crc32

from benchmarks.fleet.candidates import Firsts, Shared, Soft
from benchmarks.fleet.parted import Alike
from gaproute.decisions.routing.function_mix import FunctionMix
from gaproute.decisions.routing.host_loads import HostLoads
from gaproute.decisions.routing.parameters import (
    MILLI,
    REPORT_LIFETIME,
    SECOND,
    SPREAD_FACTOR,
    USUAL_CONCURRENCY,
)

SMOOTH = 8  # reports over which a host's load is averaged
STRONG = 4.0  # times more points for the smoothed load
RELATIVE = 0.3  # of a usual room, for the load that is usual in the fleet
BOUND = 1.25  # of its share that a host may long have


class SmoothedLoads(HostLoads):
    """Keeps the mean of each host's last reports as `host.smooth`."""

    smooth_over = SMOOTH

    def record(self, host, now, report):
        super().record(host, now, report)
        if report is not None and report.cpu_busy is not None:
            was = getattr(host, "smooth", report.cpu_busy)
            host.smooth = was + (report.cpu_busy - was) / self.smooth_over


class SlowlySmoothedLoads(SmoothedLoads):
    """The same over twice as many reports."""

    smooth_over = 2 * SMOOTH


class Smooth(Alike):
    """A host's load is the mean of its last reports, not the last; it weighs more."""

    strong, loads_type = STRONG, SmoothedLoads

    def queue(self, host, request, now):
        if now - host.reported_at > REPORT_LIFETIME or not hasattr(host, "smooth"):
            return len(host.in_flight)
        return max(host.smooth * request.lanes * self.strong, len(host.in_flight))


class SmoothShared(Smooth, Shared):
    """The smoothed load, and near-ties by chance in proportion to room."""

    def room(self, host):
        return max(1, int(1000 * host.capacity * (1 - getattr(host, "smooth", 0.0))))


class SoftSmooth(Smooth, Soft):
    """The smoothed load, and near-ties by chance, the likelier the more points."""


class FirstsSmooth(Smooth, Firsts):
    """The smoothed load, and own first choices."""


class Relative(SoftSmooth):
    """The smoothed load over the fleet's, so that it says as much where all have little to do."""

    relative = RELATIVE

    def queue(self, host, request, now):
        if now - host.reported_at > REPORT_LIFETIME or not hasattr(host, "smooth"):
            return USUAL_CONCURRENCY * self.relative
        return USUAL_CONCURRENCY * self.relative * min(3.0, host.smooth / self.usual_smooth(now))

    def usual_smooth(self, now):
        if now - getattr(self, "shared_at", -SECOND) > 40 * MILLI:
            known = [host.smooth for host in self.hosts.active if hasattr(host, "smooth")]
            self.shared, self.shared_at = max(sum(known) / max(len(known), 1), 0.01), now
        return self.shared


class Gentle(Relative):
    """The same with a fifth of the points, over twice as many reports."""

    relative, loads_type = RELATIVE / 5, SlowlySmoothedLoads


class Bounded(Smooth, Firsts):
    """Own first choices; a host that long had over a quarter more than its share loses as much of the
    functions that are its by the hash: each gateway decides by its own hash, so that few copies move."""

    queue, usual_smooth = Alike.queue, Relative.usual_smooth
    loads_type = SlowlySmoothedLoads

    def prior(self, name, host, rank, width, prior):
        points = super().prior(name, host, rank, width, prior)
        over = getattr(host, "smooth", 0.0) / (BOUND * self.usual_smooth(self.world.clock.now))
        if over > 1 and crc32(f"{self.number} {name} {host.id}".encode()) % 1000 < 1000 * (1 - 1 / over):
            points *= 0.8
        return points


class WideMix(FunctionMix):
    """Takes each function to fill a host, nearly."""

    def breadth(self, name):
        return max(super().breadth(name), 2 / SPREAD_FACTOR)


class Wide(Firsts):
    """Own first choices, of at least two for each function, also a rare one."""

    mix_type = WideMix


class WideBounded(Bounded, Wide):
    """Both."""
