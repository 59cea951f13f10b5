"""How many requests hosts have, by their load reports and by this gateway's own attempts."""

from collections import deque
from statistics import median

from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.parameters import EVALUATION_INTERVAL, MAX_RATE_SAMPLES, REPORT_LIFETIME
from gaproute.decisions.routing.samples import Sample
from gaproute.interface import HostLoadReport


class HostLoads:
    """The loads of hosts, and the usual load."""

    def __init__(self) -> None:
        self.recent_loads: deque[Sample] = deque(
            maxlen=MAX_RATE_SAMPLES
        )  # load divided by capacity, last reports
        self.cached_usual_load, self.usual_load_at = 0.0, -EVALUATION_INTERVAL

    def record(self, host: Host, now: int, report: HostLoadReport | None) -> None:
        """Take a host's load report."""
        if report is None:
            return
        host.report, host.reported_at, host.memory_busy = report, now, report.memory_busy
        load = report.waiting if report.in_hand is None else report.in_hand
        if load is not None:
            self.recent_loads.append((now, load / host.capacity))

    def request_count(self, host: Host, lanes: int, now: int) -> float:
        """Requests at the host: those of a fresh report and those sent since, else the own ones in flight."""
        report, in_flight = host.report, host.in_flight
        if report is None or now > host.reported_at + REPORT_LIFETIME:
            return len(in_flight)
        reported_at = host.reported_at
        sent_since = sum([sent > reported_at for sent in in_flight.values()])
        if report.in_hand is not None:
            return max(report.in_hand + sent_since, 0)
        if report.waiting is not None:  # requests at work are not reported: the own ones stand for them
            return max(report.waiting, 0) + len(in_flight)
        return max(sent_since + (report.cpu_busy or 0.0) * lanes, len(in_flight))

    def usual_load(self, now: int) -> float:
        """Median of load divided by capacity in the last reports, for hosts without a fresh report."""
        if now - self.usual_load_at >= EVALUATION_INTERVAL:
            recent = [load for at, load in self.recent_loads if now - at < REPORT_LIFETIME]
            self.cached_usual_load = median(recent) if recent else 0.0
            self.usual_load_at = now
        return self.cached_usual_load
