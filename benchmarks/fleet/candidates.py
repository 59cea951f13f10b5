"""Candidates for a better policy: they change how the last report is read, or how ties are broken.

Letters are those of docs/evenness.md.
"""

from __future__ import annotations

from collections.abc import Sequence
from math import exp
from typing import ClassVar
from zlib import crc32

from benchmarks.fleet.split_choice import EqualFirstChoices, HostScore
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.parameters import REPORT_LIFETIME
from gaproute.interface import Request
from gaproute.units import MILLI, SECOND

NEAR_TIE = 0.3  # points: less than from one choice of the hash to the next
ANSWER_TIME = 100 * MILLI  # over which the requests that a report counts have been answered
SOFTNESS = 0.1  # points by which a host is chosen e times as often
USUAL_INTERVAL = 40 * MILLI  # between two computations of the fleet's usual load
OTHERS_SHARE = 0.93  # of the points of the hash, for other gateways' own first choices


class FadingReports(EqualFirstChoices):
    """(a) A report fades to the usual one within an answer time, as what all others send comes in between."""

    def __init__(self, *parts: object) -> None:
        super().__init__(*parts)
        self._usual, self._usual_at = 0.0, -SECOND

    def queue(self, host: Host, request: Request, now: int) -> float:
        """By the report and its age."""
        queued = super().queue(host, request, now)
        age = now - host.reported_at
        if host.report is None or age > REPORT_LIFETIME or host.report.cpu_busy is None:
            return queued
        usual = self._usual_share(now) * request.lanes
        freshness = exp(-age / ANSWER_TIME)
        faded = usual + (host.report.cpu_busy * request.lanes - usual) * freshness
        return max(faded, len(host.in_flight))

    def _usual_share(self, now: int) -> float:
        if now - self._usual_at > USUAL_INTERVAL:
            shares = [
                host.report.cpu_busy
                for host in self.hosts.active
                if host.report is not None
                and host.report.cpu_busy is not None
                and now - host.reported_at <= REPORT_LIFETIME
            ]
            self._usual, self._usual_at = sum(shares) / len(shares) if shares else 0.0, now
        return self._usual


class WeightByReaders(EqualFirstChoices):
    """(b) Points for the queue grow with how many read the same report: the root of the gateways."""

    def queue_weight(self, heat: float) -> float:
        """More points the more gateways there are."""
        return float(super().queue_weight(heat) * max(1.0, len(self.world.gateways) ** 0.5))


class TiesByCapacity(EqualFirstChoices):
    """(c) Near-ties by chance in proportion to the free capacity that reports show."""

    slack = NEAR_TIE

    def free_capacity(self, host: Host) -> int:
        """Of the host, in thousandths of a unit of capacity; at least 1."""
        busy = 0.0 if host.report is None else host.report.cpu_busy or 0.0
        return max(1, int(1000 * host.capacity * (1 - busy)))

    def pick(self, scores: Sequence[HostScore]) -> Host:
        """One of the near-ties."""
        best = max(score.total for score in scores)
        near_ties = sorted(
            [score.host for score in scores if score.total >= best - self.slack],
            key=lambda host: host.index,
        )
        weights = [self.free_capacity(host) for host in near_ties]
        drawn = self.random.below(sum(weights))
        for host, weight in zip(near_ties, weights, strict=True):
            drawn -= weight
            if drawn < 0:
                return host
        raise AssertionError("drawn beyond the sum of the weights")


class OwnFirstChoice(EqualFirstChoices):
    """(d) Of the first choices that count alike each gateway has its own."""

    def prior(self, name: str, host: Host, rank: int, width: int, prior: float) -> float:
        """Less for first choices that are not the own one."""
        own = (self.number + crc32(name.encode())) % width
        points = super().prior(name, host, rank, width, prior)
        return points * (1.0 if rank >= width or rank == own else OTHERS_SHARE)


class QueueInSteps(EqualFirstChoices):
    """(c) A queue counts in whole steps alone, so that the hosts of one step share by chance."""

    step: ClassVar[int] = 1  # request, of those that a share of CPU stands for: a quarter of the share

    def queue(self, host: Host, request: Request, now: int) -> float:
        """Rounded down to a step."""
        return super().queue(host, request, now) // self.step * self.step


class QueueInLargeSteps(QueueInSteps):
    """The same with steps of half the share."""

    step = 2


class ReportInLargeSteps(EqualFirstChoices):
    """(c) As `QueueInLargeSteps`, of the share of CPU alone: own attempts in flight count each."""

    def queue(self, host: Host, request: Request, now: int) -> float:
        """The report in steps, and what was sent since."""
        report, own = host.report, len(host.in_flight)
        if report is None or report.cpu_busy is None or now > host.reported_at + REPORT_LIFETIME:
            return own
        sent_since = sum([sent > host.reported_at for sent in host.in_flight.values()])
        step = QueueInLargeSteps.step
        return max(sent_since + report.cpu_busy * request.lanes // step * step, own)


class SoftTies(EqualFirstChoices):
    """(c) Near-ties by chance, the likelier the more points."""

    slack = 5 * SOFTNESS

    def pick(self, scores: Sequence[HostScore]) -> Host:
        """One of the near-ties."""
        best = max(score.total for score in scores)
        near_ties = sorted(
            [score for score in scores if score.total >= best - self.slack],
            key=lambda score: score.host.index,
        )
        weights = [exp((score.total - best) / SOFTNESS) for score in near_ties]
        drawn = self.random.below(SECOND) / SECOND * sum(weights)
        for score, weight in zip(near_ties, weights, strict=True):
            drawn -= weight
            if drawn < 0:
                return score.host
        return near_ties[-1].host
