"""Decision modules that break one rule each on purpose: the judge that does not catch them is no judge."""

from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing.host_selector import HostSelector
from gaproute.decisions.routing.parameters import MILLI
from gaproute.decisions.routing.retry_rules import RetryRules
from gaproute.interface import Attempt, LoadOrder, Reject, State, Wait


class SendsAfterFinalAnswer(Gateway):
    """Rule 1: sends a request after its final answer."""

    def serve(self, now, request):
        if self.chance.below(10):
            yield from super().serve(now, request)
            return
        yield Reject(0)
        now, _ = yield Wait(now + 200 * MILLI)
        if self.active_hosts:
            yield Attempt(self.active_hosts[0].id)
            yield Wait(now + 200 * MILLI)


class AllowsAllRetries(RetryRules):
    """Allows every attempt at an active host."""

    def allowed(self, host, request_class, attempts, now):
        return host.active


class RetriesEverything(Gateway):
    """Rule 2: sends requests again whatever their class."""

    retry_rules_type = AllowsAllRetries


class IgnoresDraining(Gateway):
    """Rule 3: goes on sending to hosts that drain or are gone."""

    def update_hosts(self, now, rows, complete):
        super().update_hosts(now, [row._replace(state=State.ACTIVE) for row in rows], False)


class ChoosesLastStarted(HostSelector):
    """Chooses the host that started last, whatever it can do."""

    def choose(self, now, request, attempts):
        started = [host for host in self.hosts.active if host.started is not None]
        if not started or attempts.started:
            return super().choose(now, request, attempts)
        return max(started, key=lambda host: host.started)


class OverloadsWarmingHosts(Gateway):
    """Rule 4: sends everything to the host that started last."""

    selector_type = ChoosesLastStarted


class OrdersLoadsWithoutLimit(Gateway):
    """Rule 5: an order for a load with every request."""

    def serve(self, now, request):
        for host in self.active_hosts[:3]:
            yield LoadOrder(host.id, request.function, 1)
        yield from super().serve(now, request)


RULE_VIOLATORS = {
    1: SendsAfterFinalAnswer,
    2: RetriesEverything,
    3: IgnoresDraining,
    4: OverloadsWarmingHosts,
    5: OrdersLoadsWithoutLimit,
}
