"""Candidates that read a host's load over many reports, beside what else each changes."""

from __future__ import annotations

from typing import ClassVar
from zlib import crc32

from benchmarks.fleet.candidates import USUAL_INTERVAL, OwnFirstChoice, SoftTies, TiesByCapacity
from benchmarks.fleet.split_choice import EqualFirstChoices
from gaproute.decisions.routing.function_mix import FunctionMix
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.host_loads import HostLoads
from gaproute.decisions.routing.parameters import REPORT_LIFETIME, SPREAD_FACTOR, USUAL_CONCURRENCY
from gaproute.interface import HostLoadReport, Request
from gaproute.units import SECOND

SMOOTHED_REPORTS = 8  # over which a host's load is averaged
SMOOTHED_WEIGHT = 4.0  # times more points for the smoothed load
RELATIVE_WEIGHT = 0.3  # of a usual concurrency, for the load that is usual in the fleet
MAX_RELATIVE = 3.0  # of the usual load, beyond which a load counts no more
MIN_USUAL = 0.01  # share of CPU
SHARE_BOUND = 1.25  # of its share that a host may long have
LOST_PRIOR = 0.8  # of the points of the hash that a function keeps at a host beyond the bound


class SmoothedLoads(HostLoads):
    """Keeps the mean share of CPU of each host's last reports."""

    reports: ClassVar[int] = SMOOTHED_REPORTS

    def __init__(self) -> None:
        super().__init__()
        self.smoothed: dict[Host, float] = {}

    def record(self, host: Host, now: int, report: HostLoadReport | None) -> None:
        """Take a host's load report."""
        super().record(host, now, report)
        if report is not None and report.cpu_busy is not None:
            before = self.smoothed.get(host, report.cpu_busy)
            self.smoothed[host] = before + (report.cpu_busy - before) / self.reports


class SlowlySmoothedLoads(SmoothedLoads):
    """The same over twice as many reports."""

    reports = 2 * SMOOTHED_REPORTS


class SmoothedSelector(EqualFirstChoices):
    """Has the smoothed loads of hosts, and the one that is usual in the fleet."""

    host_loads_type: ClassVar[type[HostLoads]] = SmoothedLoads

    def __init__(self, *parts: object) -> None:
        super().__init__(*parts)
        self._usual, self._usual_at = 0.0, -SECOND

    def smoothed(self, host: Host) -> float | None:
        """The host's smoothed share of CPU; None before its first report."""
        loads = self.scorer.host_loads
        assert isinstance(loads, SmoothedLoads)
        return loads.smoothed.get(host)

    def usual_smoothed(self, now: int) -> float:
        """The mean smoothed share of the hosts that have reported, computed once in a while."""
        if now - self._usual_at > USUAL_INTERVAL:
            all_shares = [self.smoothed(host) for host in self.hosts.active]
            shares = [share for share in all_shares if share is not None]
            self._usual, self._usual_at = max(sum(shares) / max(len(shares), 1), MIN_USUAL), now
        return self._usual


class SmoothedQueue(SmoothedSelector):
    """A host's load is the mean of its last reports, not the last; it weighs more."""

    def queue(self, host: Host, request: Request, now: int) -> float:
        """By the smoothed load."""
        smoothed = self.smoothed(host)
        if now - host.reported_at > REPORT_LIFETIME or smoothed is None:
            return len(host.in_flight)
        return max(smoothed * request.lanes * SMOOTHED_WEIGHT, len(host.in_flight))


class SmoothedTiesByCapacity(SmoothedQueue, TiesByCapacity):
    """The smoothed load, and near-ties by chance in proportion to free capacity."""

    def free_capacity(self, host: Host) -> int:
        """By the smoothed load."""
        return max(1, int(1000 * host.capacity * (1 - (self.smoothed(host) or 0.0))))


class SmoothedSoftTies(SmoothedQueue, SoftTies):
    """The smoothed load, and near-ties by chance, the likelier the more points."""


class SmoothedOwnFirstChoice(SmoothedQueue, OwnFirstChoice):
    """The smoothed load, and own first choices."""


class RelativeLoad(SmoothedSoftTies):
    """The smoothed load over the fleet's, so that it says as much where all have little to do."""

    weight: ClassVar[float] = RELATIVE_WEIGHT

    def queue(self, host: Host, request: Request, now: int) -> float:
        """By the smoothed load over the usual one."""
        smoothed = self.smoothed(host)
        if now - host.reported_at > REPORT_LIFETIME or smoothed is None:
            return USUAL_CONCURRENCY * self.weight
        return USUAL_CONCURRENCY * self.weight * min(MAX_RELATIVE, smoothed / self.usual_smoothed(now))


class GentleRelativeLoad(RelativeLoad):
    """The same with a fifth of the points, over twice as many reports."""

    weight = RELATIVE_WEIGHT / 5
    host_loads_type = SlowlySmoothedLoads


class BoundedShare(SmoothedSelector, OwnFirstChoice):
    """Own first choices, with a bound on what one host gets for long.

    A host that long had over a quarter more than its share loses as much of the functions that are its by the
    hash. Each gateway decides by a hash of its own, so that few instances move.
    """

    host_loads_type = SlowlySmoothedLoads

    def prior(self, name: str, host: Host, rank: int, width: int, prior: float) -> float:
        """Less for some functions of a host beyond the bound."""
        points = super().prior(name, host, rank, width, prior)
        usual = self.usual_smoothed(self.world.clock.now)
        over = (self.smoothed(host) or 0.0) / (SHARE_BOUND * usual)
        drawn = crc32(f"{self.number} {name} {host.id}".encode()) % 1000
        if over > 1 and drawn < 1000 * (1 - 1 / over):
            points *= LOST_PRIOR
        return points


class WideMix(FunctionMix):
    """Takes each function to nearly fill a host."""

    def host_demand(self, name: str) -> float:
        """At least two first choices' worth."""
        return max(super().host_demand(name), 2 / SPREAD_FACTOR)


class TwoFirstChoices(OwnFirstChoice):
    """Own first choices, of at least two for each function, also a rare one."""

    function_mix_type: ClassVar[type[FunctionMix]] = WideMix


class BoundedTwoFirstChoices(BoundedShare, TwoFirstChoices):
    """Both."""
