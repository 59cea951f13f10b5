"""Decides when a host is ordered to load instances of a function."""

from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.routing.answer_times import AnswerTimes
from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.load_order_limiter import LoadOrderLimiter
from gaproute.interface import LoadOrder, Outcome, Request, Result

MAX_INSTANCES_PER_ORDER = 16  # instances that one order requests from a host


class LoadOrders:
    """Creates load orders within the limit, with at most one open order for each function."""

    def __init__(
        self, limiter: LoadOrderLimiter, answer_times: AnswerTimes, random: RandomGenerator, *, allowed: bool
    ) -> None:
        self.limiter, self.answer_times, self.random = limiter, answer_times, random
        self.allowed = allowed

    def may_order(self, now: int, function: Function) -> bool:
        """Whether a load order for the function may be sent."""
        return self.allowed and not function.load_order_open and self.limiter.allows(now)

    def record_sent(self, now: int, function: Function) -> None:
        """Records that an order for the function is sent."""
        function.load_order_open, function.load_ordered_at = True, now
        self.limiter.record_sent()

    def record_end(self, now: int, function: Function, host: Host | None, result: Result | None) -> None:
        """Records the end of the open order for the function; `host` is None if it has left the list."""
        if not function.load_order_open:
            return
        function.load_order_open = False
        good = result is Result.OK
        relative_duration = (now - function.load_ordered_at) / self.answer_times.usual_load_time()
        self.limiter.record_end(now, good=good, relative_duration=relative_duration)
        if good and host is not None:
            function.record_use(host.id, now)

    def order_after_miss(
        self, now: int, request: Request, function: Function, host: Host
    ) -> LoadOrder | None:
        """Returns an order for an instance at a host that had none of the function, if one may be sent."""
        if not host.active or not self.may_order(now, function):
            return None
        self.record_sent(now, function)
        return LoadOrder(host.id, request.function, 1)

    def order_for_busy_function(
        self, now: int, request: Request, function: Function, host: Host, outcome: Outcome
    ) -> LoadOrder | None:
        """Returns an order for one more instance, or None.

        The order is sent if a host has more requests of the function than its instances run at a time. Hot
        functions need it at hosts that do not add instances by themselves; see
        `LoadOrderLimiter.is_likely_useful`.
        """
        requests = outcome.same_function_requests or 0
        if not host.active or requests < request.lanes or not self.limiter.is_likely_useful(self.random):
            return None
        if not self.may_order(now, function):
            return None
        self.record_sent(now, function)
        return LoadOrder(
            host.id, request.function, min(MAX_INSTANCES_PER_ORDER, requests // request.lanes + 1)
        )
