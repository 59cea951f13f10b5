"""Candidates that change how the last report is read, or how equals are chosen among."""

from math import exp
from zlib import crc32

from benchmarks.fleet.parted import Alike
from gaproute.decisions.routing.parameters import MILLI, REPORT_LIFETIME, SECOND

NEAR_TIE = 0.3  # points: less than from one choice of the hash to the next
WORK_TIME = 100 * MILLI  # over which what a report told of has been answered
SOFT = 0.1  # points by which a host is chosen e times as often


class Aged(Alike):
    """(a) A report fades to the usual one within an answer time: what all others send comes in between."""

    def queue(self, host, request, now):
        told = super().queue(host, request, now)
        age = now - host.reported_at
        if host.report is None or age > REPORT_LIFETIME or host.report.cpu_busy is None:
            return told
        usual = self.usual_share(now) * request.lanes
        fresh = exp(-age / WORK_TIME)
        return max(usual + (host.report.cpu_busy * request.lanes - usual) * fresh, len(host.in_flight))

    def usual_share(self, now):
        if now - getattr(self, "shared_at", -SECOND) > 40 * MILLI:
            shares = [
                host.report.cpu_busy
                for host in self.hosts.active
                if host.report is not None and now - host.reported_at <= REPORT_LIFETIME
            ]
            self.shared, self.shared_at = sum(shares) / len(shares) if shares else 0.0, now
        return self.shared


class Readers(Alike):
    """(b) Points for the queue grow with how many read the same report: the root of the gateways."""

    def queue_weight(self, heat):
        return super().queue_weight(heat) * max(1.0, len(self.world.gateways) ** 0.5)


class Shared(Alike):
    """(c) Near-ties by chance in proportion to the room that reports tell of."""

    slack = NEAR_TIE

    def room(self, host):
        busy = host.report.cpu_busy if host.report is not None else 0.0
        return max(1, int(1000 * host.capacity * (1 - busy)))

    def pick(self, scored):
        best = max(each.score for each in scored)
        near = sorted(
            [each.host for each in scored if each.score >= best - self.slack],
            key=lambda host: host.index,
        )
        rooms = [self.room(host) for host in near]
        drawn = self.chance.below(sum(rooms))
        for host, room in zip(near, rooms, strict=True):
            drawn -= room
            if drawn < 0:
                return host
        raise AssertionError("drawn beyond all room")


class Firsts(Alike):
    """(d) Of the first choices that count alike each gateway has its own."""

    def prior(self, name, host, rank, width, prior):
        mine = (self.number + crc32(name.encode())) % width
        return super().prior(name, host, rank, width, prior) * (
            1.0 if rank >= width or rank == mine else 0.93
        )


class Coarse(Alike):
    """(c) A queue counts in whole steps alone, so that the hosts of one step share by chance."""

    step = 1  # task, of those that a share of CPU stands for: a quarter of the share

    def queue(self, host, request, now):
        return super().queue(host, request, now) // self.step * self.step


class Coarser(Coarse):
    """The same with steps of half the share."""

    step = 2


class Steps(Alike):
    """(c) As `Coarser`, of the share of CPU alone: own attempts in flight count each."""

    def queue(self, host, request, now):
        report, own = host.report, len(host.in_flight)
        if report is None or report.cpu_busy is None or now > host.reported_at + REPORT_LIFETIME:
            return own
        since = sum([sent > host.reported_at for sent in host.in_flight.values()])
        return max(since + report.cpu_busy * request.lanes // Coarser.step * Coarser.step, own)


class Soft(Alike):
    """(c) Near-ties by chance, the likelier the more points."""

    slack, heat = 5 * SOFT, SOFT

    def pick(self, scored):
        best = max(each.score for each in scored)
        near = sorted(
            [each for each in scored if each.score >= best - self.slack], key=lambda each: each.host.index
        )
        weights = [exp((each.score - best) / self.heat) for each in near]
        drawn = self.chance.below(SECOND) / SECOND * sum(weights)
        for each, weight in zip(near, weights, strict=True):
            drawn -= weight
            if drawn < 0:
                return each.host
        return near[-1].host
