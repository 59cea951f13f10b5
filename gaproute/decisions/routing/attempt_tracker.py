"""Tracks the attempts in flight and detects overdue ones."""

from typing import NamedTuple

from gaproute.decisions.routing.function_table import FunctionTable
from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.host import AttemptKey, Host
from gaproute.decisions.routing.measurements import Measurements
from gaproute.decisions.routing.request_attempts import RequestAttempts
from gaproute.interface import Request, RequestClass

# An attempt is overdue after this many usual answer times.
OVERDUE_ANSWER_TIMES = 4
# Lower limit of that number, for classes with a short latency objective.
MIN_OVERDUE_ANSWER_TIMES = 2
OVERDUE_LOAD_TIMES = 2  # usual load times added to the limit for an attempt that probably waits for a load
UNANSWERED_WEIGHT = 1.0  # failure weight of an attempt without an answer


class InFlightAttempt(NamedTuple):
    """What is stored of a sent attempt until its outcome arrives."""

    host_id: str
    function_name: str
    request_class: int
    sent_at: int  # ns
    warm: bool  # whether an instance was expected to be loaded at the host


class AttemptTracker:
    """Owns the attempts in flight of all requests of this gateway."""

    def __init__(
        self,
        request_classes: tuple[RequestClass, ...],
        functions: FunctionTable,
        measurements: Measurements,
    ) -> None:
        self.request_classes, self.functions = request_classes, functions
        self.answer_times, self.outliers = measurements.answer_times, measurements.outliers
        self.silent_zones = measurements.silent_zones
        self.in_flight: dict[AttemptKey, InFlightAttempt] = {}

    def record_sent(
        self, now: int, request: Request, attempt: int, host: Host, attempts: RequestAttempts
    ) -> float:
        """Registers a sent attempt; returns the time from which the attempt is overdue (ns)."""
        function = self.functions.find_or_add(request.function, request.lanes)
        proven = function.proven_at.get(host.id, -1) >= host.instances_lost_at
        warm = proven and self.functions.warmth(function, host, now) > 0
        overdue_at = self._overdue_at(now, request, function, warm=warm)
        key = request.id, attempt
        host.in_flight[key] = now
        self.in_flight[key] = InFlightAttempt(host.id, request.function, request.request_class, now, warm)
        attempts.record_sent(attempt, host, now)
        self.silent_zones.record_attempt(host.zone, now)
        function.record_use(host.id, now)
        host.spend_credit()
        return overdue_at

    def _overdue_at(self, now: int, request: Request, function: Function, *, warm: bool) -> float:
        usual = self.answer_times.usual_answer_time(function)
        objective = self.request_classes[request.request_class].latency_objective
        overdue_at = now + min(
            OVERDUE_ANSWER_TIMES * usual, max(MIN_OVERDUE_ANSWER_TIMES * usual, objective - 2 * usual)
        )
        if not warm:
            overdue_at += OVERDUE_LOAD_TIMES * self.answer_times.usual_load_time(request.load_time)
        return overdue_at

    def is_in_time(self, function: Function, duration: int, *, warm: bool) -> bool:
        """Whether an answer after `duration` (ns) arrives before its attempt is overdue."""
        load_limit = 0 if warm else OVERDUE_LOAD_TIMES * self.answer_times.usual_load_time()
        return duration <= OVERDUE_ANSWER_TIMES * self.answer_times.usual_answer_time(function) + load_limit

    def record_overdue_attempts(
        self, now: int, request: Request, attempts: RequestAttempts, function: Function
    ) -> float:
        """Counts overdue attempts as failures of silent hosts; returns the time of the next check (ns).

        A host is silent for a request class if it has answered no request of the class since the attempt was
        sent: the host hangs, has vanished, is cut off, or does not answer this class. One slow request proves
        little, so a failure is counted only when two attempts at the host are overdue, or when one attempt is
        overdue at two consecutive checks. The attempt continues, because sending the request again would be
        late and would double the work.
        """
        for attempt, (host, sent_at) in attempts.in_flight.items():
            key = request.id, attempt
            silent = host.answered_at.get(request.request_class, -1) < sent_at
            if silent and not host.overdue.get(key, False):
                # Another attempt at the host is overdue, or this one already was at the previous check.
                host.overdue[key] = bool(host.overdue)
                if host.overdue[key]:
                    self.outliers.record(host, now, request.request_class, UNANSWERED_WEIGHT)
        self.silent_zones.detect(now)
        return now + OVERDUE_ANSWER_TIMES * self.answer_times.usual_answer_time(function)
