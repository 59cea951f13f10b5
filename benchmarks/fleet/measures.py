"""How even a play was: requests in flight by host, idle hosts, herds after reports and events, lateness.

The fair share of a host is its size over the sum of the sizes of all; a figure of 1 is fair.
"""

from __future__ import annotations

from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from statistics import median
from typing import Any, NamedTuple, Protocol

from benchmarks.fleet.clock import MILLI, SECOND, EventClock
from benchmarks.fleet.gateways import FleetGateway, FleetRequest
from benchmarks.fleet.hosts import FleetHost

SAMPLE_INTERVAL = 100 * MILLI  # a little over an answer time
FIRST_SAMPLE = 2 * SECOND  # before it the loads of the start weigh most
HERD_SPAN = 500 * MILLI  # after a report or an event
IDLE_SHARE = 0.25  # of the fair share, on average over
IDLE_SAMPLES = 50  # so many samples: a host under it is idle
LATENCY_OBJECTIVE = 600 * MILLI
REPORTS_TAKEN = 7  # one in so many reports is looked at for herds
LATE_REASONS = ("load", "queue", "failed", "waited", "declined")


def coefficient_of_variation(values: Sequence[float]) -> float:
    """Standard deviation over mean; 0 where all are 0."""
    mean = sum(values) / len(values)
    return (sum((value - mean) ** 2 for value in values) / len(values)) ** 0.5 / mean if mean else 0.0


class ObservedWorld(Protocol):
    """What an observer needs of a world."""

    watchers: list[Any]

    @property
    def clock(self) -> EventClock:
        """The clock of the play."""

    @property
    def hosts(self) -> Mapping[str, FleetHost]:
        """The hosts by name."""

    @property
    def counts(self) -> Mapping[str, int]:
        """What was counted, by name."""

    @property
    def cpu_time(self) -> int:
        """CPU that decisions took, ns."""


class HostSample(NamedTuple):
    """A host at one moment."""

    load: float  # requests in flight over its size
    queues: bool  # it has more than it works on without slowing down


class ReportSeen(NamedTuple):
    """A load report that a gateway sent to all."""

    at: int
    host: str
    cpu_busy: float


class HerdFigures(NamedTuple):
    """What hosts got over their fair share after reports of low load, and after events."""

    mean: float
    highest_of_hundred: float
    worst_after_event: float


class PlayObserver:
    """Observes a world from `since` until `until` (ns); `figures` returns the figures of the play."""

    def __init__(self, world: ObservedWorld, until: int, since: int = FIRST_SAMPLE) -> None:
        self.world, self.since = world, since
        self.samples: list[dict[str, HostSample]] = []
        self.reports: list[ReportSeen] = []
        self.events: list[tuple[int, tuple[str, ...]]] = []  # when, with the hosts concerned
        self.latencies: list[int] = []  # ns
        self.late: Counter[str] = Counter(dict.fromkeys(LATE_REASONS, 0))  # requests by why they were late
        self.attempts = 0
        world.watchers.append(self)
        for at in range(since, until + 1, SAMPLE_INTERVAL):
            world.clock.at(at, self._sample)

    def _sample(self) -> None:
        now = self.world.clock.now
        self.samples.append(
            {
                name: HostSample(host.in_flight / host.size, host.in_flight / host.concurrency(now) > 1)
                for name, host in self.world.hosts.items()
                if not host.is_down
            }
        )

    def event(self, hosts: Iterable[str]) -> None:
        """Something happens now after which these hosts may get more than their share."""
        self.events.append((self.world.clock.now, tuple(hosts)))

    # What the world reports

    def report_sent(self, now: int, sender: FleetGateway, payload: bytes) -> None:
        """See `Watcher`."""
        decoded = sender.gateway.report_sharing.decode(payload)
        if decoded is not None and now >= self.since:
            host, report = decoded
            self.reports.append(ReportSeen(now, host, report.cpu_busy))

    def attempt_started(
        self, now: int, gateway: FleetGateway, function: str, host_name: str, host: FleetHost
    ) -> None:
        """See `Watcher`."""
        self.attempts += 1

    def request_answered(self, now: int, request: FleetRequest) -> None:
        """See `Watcher`."""
        if request.arrived_at < self.since:
            return
        latency = now - request.arrived_at
        self.latencies.append(latency)
        if latency > LATENCY_OBJECTIVE:
            self.late[_late_reason(request, latency)] += 1

    def request_unanswered(self, now: int, request: FleetRequest) -> None:
        """See `Watcher`."""
        self.late["declined"] += request.arrived_at >= self.since

    # Figures

    def share_after(self, host_name: str, at: int, span: int = HERD_SPAN) -> float:
        """Attempts that the host got after that moment, over its fair share of all."""
        own, total, total_size = 0.0, 0, 0.0
        for name, host in self.world.hosts.items():
            count = bisect_left(host.arrivals, at + span) - bisect_left(host.arrivals, at)
            total, total_size = total + count, total_size + host.size
            if name == host_name:
                own = count / host.size
        return own / (total / total_size) if total else 0.0

    def herd_figures(self) -> HerdFigures:
        """Of a part of the reports that showed no more than the median load, and of all events."""
        reported = sorted(report.cpu_busy for report in self.reports)
        middle = reported[len(reported) // 2] if reported else 0.0
        low = [report for report in self.reports if report.cpu_busy <= middle][::REPORTS_TAKEN]
        shares = sorted(self.share_after(report.host, report.at) for report in low) or [0.0]
        after_events = (self.share_after(name, at) for at, names in self.events for name in names)
        return HerdFigures(
            sum(shares) / len(shares), shares[len(shares) * 99 // 100], max(after_events, default=0.0)
        )

    def idle_hosts(self) -> int:
        """Hosts that were idle over some span while another queued."""
        idle: set[str] = set()
        for end in range(IDLE_SAMPLES, len(self.samples) + 1, IDLE_SAMPLES // 5):
            idle.update(_idle_in(self.samples[end - IDLE_SAMPLES : end], self.world.hosts))
        return len(idle)

    def host_means(self) -> list[float]:
        """The mean load of each host over that of the fleet while it was up, the lowest first."""
        sums: dict[str, tuple[float, float]] = {}  # loads of the host, and of the fleet at the same moments
        for sample in self.samples:
            fleet = sum(host.load for host in sample.values()) / len(sample)
            for name, host in sample.items():
                own, fleet_sum = sums.get(name, (0.0, 0.0))
                sums[name] = (own + host.load, fleet_sum + fleet)
        return sorted(own / fleet_sum for own, fleet_sum in sums.values() if fleet_sum)

    def figures(self) -> dict[str, float]:
        """The figures of the play; their names are those of the tables (`docs/evenness.md`)."""
        return self._load_figures() | self._herd_rows() | self._latency_figures() | self._cost_figures()

    def _load_figures(self) -> dict[str, float]:
        loads = [[host.load for host in sample.values()] for sample in self.samples]
        means = self.host_means()
        in_flight = sum(map(sum, loads)) / sum(map(len, loads))
        peaks = [max(sample) * len(sample) / max(sum(sample), 1) for sample in loads]
        return {
            "cv": sum(map(coefficient_of_variation, loads)) / len(loads),
            "by chance": in_flight**-0.5,
            "in hand": in_flight,
            "low": means[0],
            "high": means[-1],
            "lasting": coefficient_of_variation(means),
            "peak": sum(peaks) / len(loads),
            "idle": self.idle_hosts(),
        }

    def _herd_rows(self) -> dict[str, float]:
        herd = self.herd_figures()
        return {
            "herd": herd.mean,
            "herd p99": herd.highest_of_hundred,
            "herd event": herd.worst_after_event,
        }

    def _latency_figures(self) -> dict[str, float]:
        latencies = sorted(self.latencies)
        asked = len(latencies) + self.late["declined"]
        return {
            "p50": median(latencies) / MILLI,
            "p99": latencies[len(latencies) * 99 // 100] / MILLI,
            "late": self.late.total() / asked,
            **{f"late {reason}": count / asked for reason, count in self.late.items()},
        }

    def _cost_figures(self) -> dict[str, float]:
        counts = self.world.counts
        requests = counts["tasks"]
        return {
            "loads": counts["loads"] / requests,
            "relays": self.attempts / requests,
            "probes": counts["probes"] / requests,
            "CPU": self.world.cpu_time / requests / MILLI,
        }


def _late_reason(request: FleetRequest, latency: int) -> str:
    if request.failures:
        return "failed"
    waited = latency - request.load_wait - request.queue_wait  # before it was sent
    parts = {"load": request.load_wait, "queue": request.queue_wait, "waited": waited}
    longest: Callable[[str], int] = parts.__getitem__
    return max(parts, key=longest)


def _idle_in(span: Sequence[Mapping[str, HostSample]], hosts: Iterable[str]) -> set[str]:
    """The hosts that were idle in these samples, if another queued in any of them."""
    up = [name for name in hosts if all(name in sample for sample in span)]
    means = {name: sum(sample[name].load for sample in span) / len(span) for name in up}
    if not means or not any(host.queues for sample in span for host in sample.values()):
        return set()
    limit = IDLE_SHARE * sum(means.values()) / len(means)
    return {name for name in up if means[name] < limit}
