"""Decides when hosts are ordered to load instances."""

from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.routing.answer_times import AnswerTimes
from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.load_order_limiter import LoadOrderLimiter
from gaproute.interface import LoadOrder, Outcome, Request, Result

MOST_INSTANCES = 16  # of one function that one order asks a host for


class LoadOrders:
    """Load orders within the limit, at most one open order for each function."""

    def __init__(
        self, limiter: LoadOrderLimiter, answer_times: AnswerTimes, chance: RandomGenerator, *, allowed: bool
    ) -> None:
        self.limiter, self.answer_times, self.chance = limiter, answer_times, chance
        self.allowed = allowed

    def may_order(self, now: int, function: Function) -> bool:
        """Whether an order for the function may be sent."""
        return self.allowed and not function.load_order_open and self.limiter.allows(now)

    def start(self, now: int, function: Function) -> None:
        """Note that an order for the function is sent."""
        function.load_order_open, function.load_ordered_at = True, now
        self.limiter.sent()

    def end(self, now: int, function: Function, host: Host | None, result: Result | None) -> None:
        """Note the end of the open order for the function; `host`: None where it has left the list."""
        if not function.load_order_open:
            return
        function.load_order_open = False
        good = result is Result.OK
        took = (now - function.load_ordered_at) / self.answer_times.usual_load()
        self.limiter.ended(now, good=good, took=took)
        if good and host is not None:
            function.used(host.id, now)

    def after_miss(self, now: int, request: Request, function: Function, host: Host) -> LoadOrder | None:
        """An order for an instance at a host that had none of the function."""
        if not host.active or not self.may_order(now, function):
            return None
        self.start(now, function)
        return LoadOrder(host.id, request.function, 1)

    def for_busy_function(
        self, now: int, request: Request, function: Function, host: Host, outcome: Outcome
    ) -> LoadOrder | None:
        """An order for one more instance, or None.

        It is sent where a host has more requests of the function than its instances run at a time. Hot
        functions need it where hosts add no instances by themselves; see `LoadOrderLimiter.likely_useful`.
        """
        requests = outcome.same_function_requests or 0
        if not host.active or requests < request.lanes or not self.limiter.likely_useful(self.chance):
            return None
        if not self.may_order(now, function):
            return None
        self.start(now, function)
        return LoadOrder(host.id, request.function, min(MOST_INSTANCES, requests // request.lanes + 1))
