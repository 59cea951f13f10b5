"""Serves one request, from acceptance to its one final answer."""

from collections.abc import Generator
from typing import Any, NamedTuple

from gaproute.decisions.routing.answer_times import AnswerTimes
from gaproute.decisions.routing.attempt_tracker import AttemptTracker
from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.hints import Hints
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.host_selector import HostSelector
from gaproute.decisions.routing.load_orders import LoadOrders
from gaproute.decisions.routing.load_report_sharing import LoadReportSharing
from gaproute.decisions.routing.load_shedder import LoadShedder
from gaproute.decisions.routing.parameters import NEVER
from gaproute.decisions.routing.request_attempts import RequestAttempts
from gaproute.decisions.routing.retry_rules import RetryRules
from gaproute.decisions.routing.slow_start import SlowStart
from gaproute.decisions.routing.tables import Tables
from gaproute.interface import (
    Action,
    Attempt,
    Cancel,
    Fail,
    Idempotency,
    LoadOrder,
    Outcome,
    Reject,
    RejectReason,
    Request,
    Result,
    RoutingSettings,
    Wait,
)
from gaproute.units import MILLI, SECOND

HOST_SEARCH_INTERVAL = 100 * MILLI  # while a request waits for a host; about half an answer time
RETRY_AFTER_SHARE = 1.0  # Retry-After of a rejected request as a share of the latency objective
ANSWER_MARGIN = 4 * MILLI  # the final answer is sent at least this long before the deadline

# Returns the reason to reject the request, or None if the request has ended.
RequestSteps = Generator[Action, Any, RejectReason | None]


class RouterParts(NamedTuple):
    """The parts of a gateway that its request router uses."""

    tables: Tables
    answer_times: AnswerTimes
    tracker: AttemptTracker
    retry_rules: RetryRules
    selector: HostSelector
    shedder: LoadShedder
    slow_start: SlowStart
    load_orders: LoadOrders
    report_sharing: LoadReportSharing
    hints: Hints


class RequestRouter:
    """Serves each request with a generator; holds the parts that all requests use."""

    def __init__(self, settings: RoutingSettings, parts: RouterParts) -> None:
        self.request_classes = settings.request_classes
        self.cancel_allowed, self.retry_after_limit = settings.cancel_allowed, settings.retry_after_limit
        self.functions, self.function_mix = parts.tables.functions, parts.tables.function_mix
        self.answer_times, self.tracker = parts.answer_times, parts.tracker
        self.retry_rules, self.selector = parts.retry_rules, parts.selector
        self.shedder, self.slow_start = parts.shedder, parts.slow_start
        self.load_orders, self.report_sharing, self.hints = (
            parts.load_orders,
            parts.report_sharing,
            parts.hints,
        )
        self.end_by = NEVER  # final answers are due by then because the process stops

    def serve(self, now: int, request: Request) -> Generator[Action, Any, None]:
        """Serves one request, from acceptance to its one final answer."""
        function = self.functions.begin_request(request.function, request.lanes, now)
        try:
            yield from self._serve(now, request, function)
        finally:
            self.functions.end_request(function)

    def _serve(self, now: int, request: Request, function: Function) -> Generator[Action, Any, None]:
        if function.hinted_at:
            self.hints.follow_hint(now, request.function, function)
        self.function_mix.add(request.function)
        self.shedder.record_request(request.tenant)
        self.slow_start.record_request(now)
        request_class = self.request_classes[request.request_class]
        attempts = RequestAttempts()
        reason: RejectReason | None
        if self.shedder.is_overloaded(now, request, request_class):
            reason = RejectReason.OVERLOADED
        else:
            reason = yield from _RequestRun(self, now, request, function, attempts).steps()
        if self.cancel_allowed:
            for attempt in attempts.in_flight:
                yield Cancel(attempt)
        if reason is None:
            return
        if attempts.first_possible_run is None or request_class.idempotency is Idempotency.IDEMPOTENT:
            retry_after = int(RETRY_AFTER_SHARE * request_class.latency_objective)
            yield Reject(min(self.retry_after_limit, retry_after), reason)
        else:
            yield Fail()


class _RequestRun:
    """A request in progress: its attempts, until it has ended or another attempt would not help."""

    __slots__ = (
        "router",
        "request",
        "request_class",
        "function",
        "attempts",
        "arrived_at",
        "answer_by",
        "give_up_at",
        "search_at",
        "now",
        "reason",
        "ended_host",
    )

    def __init__(
        self,
        router: RequestRouter,
        now: int,
        request: Request,
        function: Function,
        attempts: RequestAttempts,
    ) -> None:
        self.router, self.request, self.function, self.attempts = router, request, function, attempts
        self.request_class = router.request_classes[request.request_class]
        self.arrived_at = self.now = now
        self.answer_by = now + request.time_left - ANSWER_MARGIN
        self.give_up_at = now + self.request_class.latency_objective  # end of the search for a first host
        self.search_at: Any = now  # time of the next search for a host; ns, may be a float
        self.reason: RejectReason | None = None  # set when the request is rejected
        self.ended_host: Host | None = None  # host of the last outcome, if its attempt was in flight

    def steps(self) -> RequestSteps:
        """Yields attempts and waits; returns None if the request has ended, else the reason to reject it."""
        router, request, attempts = self.router, self.request, self.attempts
        while self.reason is None and self.now < min(self.answer_by, router.end_by):
            if self.now >= self.search_at:
                host = self._choose_host()
                if host is not None:
                    start_by = router.retry_rules.start_by(self.request_class, attempts, self.answer_by)
                    attempt = yield Attempt(host.id, start_by)
                    self.search_at = router.tracker.record_sent(self.now, request, attempt, host, attempts)
                elif self.reason is not None:
                    break
            give_up_at = self.give_up_at if self.now < self.give_up_at else self.answer_by
            self.now, outcome = yield Wait(min(self.search_at, self.answer_by, give_up_at))
            if outcome is None:
                self._handle_elapsed_wait()
            elif outcome.result is Result.STREAM_STARTED:
                yield from self._follow_stream(outcome)
                return None
            else:
                order = self._record_end(outcome)
                if order is not None:
                    yield order
                if outcome.request_ended:
                    return None
                yield from self._handle_undelivered(outcome)
        return self.reason or RejectReason.NO_HOST_AVAILABLE

    def _is_overloaded(self) -> bool:
        return self.router.shedder.is_overloaded(self.now, self.request, self.request_class)

    def _choose_host(self) -> Host | None:
        """Returns the host that gets the request now, or None.

        With None the request waits until `search_at`, or is rejected if `reason` is set.
        """
        router, now, attempts = self.router, self.now, self.attempts
        host = router.selector.choose(now, self.request, attempts)
        if host is not None:
            if attempts.attempt_count or not router.shedder.should_shed(
                now, self.request, self.request_class, host
            ):
                return host
            self.reason = RejectReason.QUEUE_TOO_LONG
        elif attempts.in_flight:
            self.search_at = now + router.answer_times.usual_answer_time(self.function)
        elif now < self.give_up_at and router.selector.is_any_host_allowed(now, self.request_class, attempts):
            self.search_at = now + HOST_SEARCH_INTERVAL
        else:
            self.reason = RejectReason.NO_HOST_AVAILABLE
        return None

    def _handle_elapsed_wait(self) -> None:
        """Handles a wait that ended without an outcome: records overdue attempts or rejects the request."""
        now, attempts = self.now, self.attempts
        if not attempts.in_flight:
            return
        # A late answer has little value, and its work delays other requests in an overloaded fleet: the
        # request is rejected if the client may safely send it again.
        idempotent = self.request_class.idempotency is Idempotency.IDEMPOTENT
        if now >= self.give_up_at and idempotent and self._is_overloaded():
            self.reason = RejectReason.LATENCY_OBJECTIVE_MISSED
        elif self.search_at <= now < self.answer_by:
            tracker = self.router.tracker
            self.search_at = tracker.record_overdue_attempts(now, self.request, attempts, self.function)

    def _follow_stream(self, outcome: Outcome | None) -> Generator[Action, Any, None]:
        """Waits for the end of a streamed answer, which has no deadline."""
        while outcome is None or not outcome.request_ended:
            self.now, outcome = yield Wait(self.now + SECOND)
        self.attempts.in_flight.clear()  # so that the attempt is not cancelled

    def _record_end(self, outcome: Outcome) -> LoadOrder | None:
        """Records the end of an attempt.

        Returns an order for one more instance if the host that answered has many requests of the function.
        """
        sent = self.attempts.in_flight.get(outcome.attempt)
        self.ended_host = None
        if sent is None:
            return None
        host = self.ended_host = sent.host
        self.attempts.record_end(outcome.attempt, outcome.result)
        if outcome.result is not Result.OK:
            return None
        load_orders = self.router.load_orders
        load_orders.limiter.record_delivery(self.now, self.arrived_at)
        self.router.report_sharing.record_delivery()
        return load_orders.order_for_busy_function(self.now, self.request, self.function, host, outcome)

    def _handle_undelivered(self, outcome: Outcome) -> Generator[Action, Any, None]:
        """Handles an attempt without an answer: searches for another host at once, or rejects the request.

        A host that had no instance of the function is ordered to load one.
        """
        now, host = self.now, self.ended_host
        self.search_at = now
        if outcome.result is Result.FULL and not self.attempts.in_flight and self._is_overloaded():
            # Further attempts in a full fleet would only delay the answer.
            self.reason = RejectReason.HOST_FULL
        elif outcome.result is Result.NOT_LOADED and host is not None:
            order = self.router.load_orders.order_after_miss(now, self.request, self.function, host)
            if order is not None:
                yield order
                self.function.record_use(host.id, now)
                self.search_at = now + outcome.duration  # one round trip: the order arrives in that time
