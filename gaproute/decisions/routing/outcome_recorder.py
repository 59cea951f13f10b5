"""Records what the outcome of an attempt reveals about its host, its function and the fleet."""

from statistics import median

from gaproute.decisions.routing.attempt_tracker import UNANSWERED_WEIGHT, AttemptTracker, InFlightAttempt
from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.hints import Hints
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.measurements import Measurements
from gaproute.decisions.routing.parameters import ERROR_WEIGHT, EVIDENCE_LIFETIME, USUAL_CONCURRENCY
from gaproute.decisions.routing.slow_start import SlowStart
from gaproute.decisions.routing.tables import Tables
from gaproute.interface import Idempotency, InstanceStatus, Outcome, Result

ANSWERED_RESULTS = (Result.OK, Result.ERROR, Result.FULL, Result.NOT_LOADED)  # the host has answered
FAILED_RESULTS = (Result.ERROR, Result.TIMEOUT, Result.CONNECT_FAILED, Result.RESET)
GOOD_RESULT_WEIGHT = 0.0  # failure weight of a good answer


class OutcomeRecorder:
    """Records outcomes of attempts, whether or not their requests still wait."""

    def __init__(
        self,
        tables: Tables,
        measurements: Measurements,
        tracker: AttemptTracker,
        slow_start: SlowStart,
        hints: Hints,
    ) -> None:
        self.hosts, self.functions = tables.hosts, tables.functions
        self.answer_times, self.host_loads, self.outliers, self.silent_zones, self.throughput = measurements
        self.tracker, self.slow_start, self.hints = tracker, slow_start, hints

    def record(self, now: int, outcome: Outcome) -> None:
        """Records the outcome of an attempt in the tables and measurements."""
        key, result = (outcome.request_id, outcome.attempt), outcome.result
        attempt = self.tracker.in_flight.pop(key, None)
        host = self.hosts.by_id.get(outcome.host_id)
        if attempt is None or host is None:
            return
        host.in_flight.pop(key, None)
        counted_as_failure = host.overdue.pop(key, False)
        function = self.functions.find_or_add(attempt.function_name, 1)
        self.host_loads.record(host, now, outcome.report)
        if result in ANSWERED_RESULTS:
            host.answered_at[attempt.request_class] = now
            self.silent_zones.record_answer(host.zone, now)
        self.throughput.record_outcome(now, refused=result is Result.FULL)
        if result is Result.OK:
            self._record_answer(now, outcome, attempt, host, function)
        elif result in FAILED_RESULTS and not counted_as_failure:
            self._record_failure(now, result, attempt, host)
        if result is Result.FULL:
            # About the time at which a request at the host ends.
            host.full_until = now + self.answer_times.usual_answer_time(function)
        if result is Result.NOT_LOADED or outcome.found is InstanceStatus.LOAD_FAILED:
            self.hints.verify(attempt.function_name, host.id, InstanceStatus.LOAD_FAILED)
            function.record_not_loaded(host.id)
        if result is Result.RESET and not host.in_flight:
            # All attempts at the host have ended, the last by a reset: its process probably ended, and its
            # instances with it.
            host.instances_lost_at = now

    def _record_answer(
        self, now: int, outcome: Outcome, attempt: InFlightAttempt, host: Host, function: Function
    ) -> None:
        self.outliers.record(host, now, attempt.request_class, GOOD_RESULT_WEIGHT)
        host.full_until = -1
        if attempt.warm:
            self.throughput.record_answer(now)
        if now < self.hosts.all_warm_at:
            # After a stall many answers arrive at one moment and do not show the current rate of warm hosts.
            in_time = self.tracker.is_in_time(function, outcome.duration, warm=attempt.warm)
            if now < host.warm_at or in_time:
                self.slow_start.record_answer(now, host)
        if attempt.sent_at >= host.instances_lost_at:
            function.record_answer(host.id, now)
        self.hints.verify(attempt.function_name, host.id, outcome.found)
        if outcome.found is InstanceStatus.WARM or outcome.found is InstanceStatus.UNKNOWN and attempt.warm:
            self._record_warm_answer(now, outcome.duration, host, function)
        else:
            self.answer_times.load_times.append(outcome.duration)

    def _record_warm_answer(self, now: int, duration: int, host: Host, function: Function) -> None:
        """Records the answer time of a loaded instance, which shows how fast the host is."""
        if function.answer_times:
            host.relative_answer_times.append((now, duration / max(1, median(function.answer_times))))
            host.slowdown = self.outliers.slowdown(host, now)
            host.slowdown_until = now + EVIDENCE_LIFETIME
        function.answer_times.append(duration)
        request_count = self.host_loads.request_count(host, 1, now)
        if request_count >= USUAL_CONCURRENCY and host.slowdown <= 1:
            self.throughput.record_drain_time(now, duration * host.capacity / request_count)

    def _record_failure(self, now: int, result: Result, attempt: InFlightAttempt, host: Host) -> None:
        request_class = self.tracker.request_classes[attempt.request_class]
        may_run_again = request_class.idempotency is Idempotency.IDEMPOTENT
        failure_weight = ERROR_WEIGHT if result is Result.ERROR and may_run_again else UNANSWERED_WEIGHT
        self.outliers.record(host, now, attempt.request_class, failure_weight)
