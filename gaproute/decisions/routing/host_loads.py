"""Estimates the number of requests at hosts from load reports and from this gateway's own attempts."""

from collections import deque
from statistics import median

from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.parameters import EVALUATION_INTERVAL, MAX_RATE_SAMPLES, REPORT_LIFETIME
from gaproute.decisions.routing.samples import Sample
from gaproute.interface import HostLoadReport


class HostLoads:
    """Records load reports of hosts and computes the usual load.

    A load is a number of requests, waiting or running; the usual load is per unit of capacity.
    """

    def __init__(self) -> None:
        # Load divided by capacity, from the last reports.
        self.recent_loads: deque[Sample] = deque(maxlen=MAX_RATE_SAMPLES)
        self.cached_usual_load, self.usual_load_at = 0.0, -EVALUATION_INTERVAL

    def record(self, host: Host, now: int, report: HostLoadReport | None) -> None:
        """Records a load report of the host."""
        if report is None:
            return
        host.report, host.reported_at, host.memory_busy = report, now, report.memory_busy
        load = report.waiting if report.in_hand is None else report.in_hand
        if load is not None:
            self.recent_loads.append((now, load / host.capacity))

    def request_count(self, host: Host, lanes: int, now: int) -> float:
        """Returns the estimated number of requests at the host, waiting or running.

        The estimate is the number in a fresh report plus the attempts sent since then; without a fresh report
        it is the number of own attempts in flight.
        """
        report, in_flight = host.report, host.in_flight
        if report is None or now > host.reported_at + REPORT_LIFETIME:
            return len(in_flight)
        reported_at = host.reported_at
        sent_since = sum([sent > reported_at for sent in in_flight.values()])
        if report.in_hand is not None:
            return max(report.in_hand + sent_since, 0)
        # The running requests are not reported: own attempts in flight stand for them.
        if report.waiting is not None:
            return max(report.waiting, 0) + len(in_flight)
        return max(sent_since + (report.cpu_busy or 0.0) * lanes, len(in_flight))

    def usual_load(self, now: int) -> float:
        """Returns the median load per capacity in recent reports, for hosts without a fresh report."""
        if now - self.usual_load_at >= EVALUATION_INTERVAL:
            recent = [load for at, load in self.recent_loads if now - at < REPORT_LIFETIME]
            self.cached_usual_load = median(recent) if recent else 0.0
            self.usual_load_at = now
        return self.cached_usual_load
