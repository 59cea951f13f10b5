"""Load shedding: rejects requests early that would wait too long."""

from collections import deque

from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.routing.attempt_tracker import AttemptTracker, InFlightAttempt
from gaproute.decisions.routing.host import AttemptKey, Host
from gaproute.decisions.routing.host_table import HostTable
from gaproute.decisions.routing.measurements import Measurements
from gaproute.decisions.routing.parameters import (
    EVALUATION_INTERVAL,
    MAX_RATE_SAMPLES,
    REPORT_LIFETIME,
    USUAL_CONCURRENCY,
)
from gaproute.interface import Request, RequestClass, RoutingSettings
from gaproute.units import SECOND

# Longest expected wait for which a request of the highest priority weight is accepted, as a multiple of the
# shortest latency objective; half of it for a request without any weight.
MAX_WAIT_OBJECTIVES = 2.0
# Longest wait in the queue of one host, as a share of the longest expected wait. It is lower because the
# answers from which the wait in a queue is estimated are those that waited least.
MAX_QUEUE_WAIT_SHARE = 0.3
SHED_EXPONENT = 3  # exponent of (longest / expected wait): at twice the longest wait one in eight is accepted
MIN_IN_FLIGHT = 8  # attempts in flight below which nothing is rejected: too few to estimate a wait
TRUSTED_DOUBT_LIMIT = 0.5  # attempts at hosts with at least this doubt are not counted as waiting


class LoadShedder:
    """Estimates the wait of a request and decides whether its priority weight justifies the wait."""

    def __init__(
        self,
        settings: RoutingSettings,
        hosts: HostTable,
        measurements: Measurements,
        tracker: AttemptTracker,
        random: RandomGenerator,
    ) -> None:
        self.hosts, self.tracker, self.random = hosts, tracker, random
        self.answer_times, self.host_loads = measurements.answer_times, measurements.host_loads
        self.outliers, self.throughput = measurements.outliers, measurements.throughput
        self.tenant_shares, self.over_share_value = settings.tenant_shares, settings.over_share_value
        weights = [request_class.priority_weight for request_class in settings.request_classes]
        self.max_priority_weight = max(weights, default=1.0)
        self.recent_tenants: deque[int] = deque(maxlen=MAX_RATE_SAMPLES)  # tenants of the last requests
        self.waiting, self.counted_at = 0, -EVALUATION_INTERVAL  # see `_count_waiting_attempts`

    def record_request(self, tenant: int) -> None:
        """Records a request of the tenant."""
        self.recent_tenants.append(tenant)

    def is_overloaded(self, now: int, request: Request, request_class: RequestClass) -> bool:
        """Whether to reject a request at once because the expected wait is too long.

        The expected wait is the number of attempts in flight divided by the rate of answers. Both count only
        attempts at loaded instances, because waiting for loads is not a sign of overload. All request classes
        share the queues, so the shortest latency objective limits the wait, and requests of the lowest
        priority weight are rejected first.
        """
        if self.throughput.is_mostly_refused(now):
            return True
        rate = self.throughput.answer_rate(now)
        if rate is None:
            return False
        if now - self.counted_at >= EVALUATION_INTERVAL:
            self.counted_at = now
            self.waiting = self._count_waiting_attempts(now)
        if self.waiting < MIN_IN_FLIGHT:
            return False
        return self.waiting / rate > self._max_wait(request, request_class)

    def _count_waiting_attempts(self, now: int) -> int:
        """Counts the attempts in flight that wait for loaded instances at hosts that answer as usual."""
        in_flight = self.tracker.in_flight
        return sum([self._waits_at_normal_host(now, key, attempt) for key, attempt in in_flight.items()])

    def _waits_at_normal_host(self, now: int, key: AttemptKey, attempt: InFlightAttempt) -> bool:
        host = self.hosts.by_id[attempt.host_id]
        if not attempt.warm or key in host.overdue:
            return False
        if host.slowdown > 1 and now < host.slowdown_until:
            return False
        return self.outliers.doubt(host, attempt.request_class, now) < TRUSTED_DOUBT_LIMIT

    def _max_wait(self, request: Request, request_class: RequestClass) -> float:
        """Returns the longest expected wait (ns) for which a request is accepted.

        A request without priority weight is accepted for half as long a wait as one of the highest weight.
        """
        value = request_class.priority_weight / self.max_priority_weight
        shares = self.tenant_shares[request.tenant : request.tenant + 1]  # empty for an unknown tenant
        if shares and self.recent_tenants.count(request.tenant) > shares[0] * len(self.recent_tenants):
            value *= self.over_share_value
        return MAX_WAIT_OBJECTIVES * self.answer_times.shortest_objective * (0.5 + 0.5 * value)

    def should_shed(self, now: int, request: Request, request_class: RequestClass, host: Host) -> bool:
        """Whether to reject a request because of the queue at the best host.

        The expected wait is the load of the host (the usual load if it has no fresh report) times the recent
        answer time per unit of load. The longer the wait, the more likely the rejection; some requests are
        always accepted, so that the estimate stays current. This rule is for gateways that see too few
        requests to measure a rate of answers; it rejects wrongly if the queue of the host consists of light
        work.
        """
        load = self.host_loads.request_count(host, request.lanes, now) / host.capacity
        if host.report is None or host.reported_at < now - REPORT_LIFETIME:
            load = max(load, self.host_loads.usual_load(now))
        if load * host.capacity < USUAL_CONCURRENCY:
            return False
        drain_time = self.throughput.drain_time(now)
        if drain_time is None:
            return False
        wait = drain_time * load
        max_wait = MAX_QUEUE_WAIT_SHARE * self._max_wait(request, request_class)
        if wait <= max_wait:
            return False
        return self.random.below(SECOND) > (max_wait / wait) ** SHED_EXPONENT * SECOND
