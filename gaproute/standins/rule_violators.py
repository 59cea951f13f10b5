"""Decision modules that each break one rule on purpose: a judge that does not catch them judges nothing."""

from __future__ import annotations

from collections.abc import Generator, Sequence
from typing import Any

from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.host_selector import HostSelector
from gaproute.decisions.routing.request_attempts import RequestAttempts
from gaproute.decisions.routing.retry_rules import RetryRules
from gaproute.interface import (
    Attempt,
    ListedHost,
    ListedHostState,
    LoadOrder,
    Reject,
    Request,
    RequestClass,
    Wait,
)
from gaproute.interface.actions import Action
from gaproute.units import MILLI

PAUSE = 200 * MILLI  # from the final answer to the attempt after it, and from that to the end
VIOLATES_ONE_IN = 10  # requests; the others are served as the rules say
ORDERS_A_REQUEST = 3


class SendsAfterFinalAnswer(Gateway):
    """Rule 1: sends a request after its final answer."""

    def serve(self, now: int, request: Request) -> Generator[Action, Any, None]:
        """Rejects some requests, and sends them a little later."""
        if self.random.below(VIOLATES_ONE_IN):
            yield from super().serve(now, request)
            return
        yield Reject(0)
        now, _ = yield Wait(now + PAUSE)
        if self.active_hosts:
            yield Attempt(self.active_hosts[0].id)
            yield Wait(now + PAUSE)


class AllowsAllRetries(RetryRules):
    """Allows every attempt at an active host."""

    def allows(self, host: Host, request_class: RequestClass, attempts: RequestAttempts, now: int) -> bool:
        """Whether the host is active."""
        return host.active


class RetriesEverything(Gateway):
    """Rule 2: sends requests again whatever their class."""

    retry_rules_type = AllowsAllRetries


class IgnoresDraining(Gateway):
    """Rule 3: goes on sending to hosts that are draining or gone."""

    def update_hosts(self, now: int, rows: Sequence[ListedHost], *, complete: bool) -> None:
        """Takes each listed host for an active one, and forgets none."""
        super().update_hosts(
            now, [row._replace(state=ListedHostState.ACTIVE) for row in rows], complete=False
        )


class ChoosesLastStarted(HostSelector):
    """Chooses the host that started last, whatever it can do."""

    def choose(self, now: int, request: Request, attempts: RequestAttempts) -> Host | None:
        """The host that started last, for the first attempt."""
        started = [(host.started, host) for host in self.hosts.active if host.started is not None]
        if not started or attempts.attempt_count:
            return super().choose(now, request, attempts)
        return max(started, key=lambda entry: entry[0])[1]


class OverloadsWarmingHosts(Gateway):
    """Rule 4: sends everything to the host that started last."""

    selector_type = ChoosesLastStarted


class OrdersLoadsWithoutLimit(Gateway):
    """Rule 5: load orders with every request."""

    def serve(self, now: int, request: Request) -> Generator[Action, Any, None]:
        """Orders loads at the first hosts, then serves as the rules say."""
        for host in self.active_hosts[:ORDERS_A_REQUEST]:
            yield LoadOrder(host.id, request.function, 1)
        yield from super().serve(now, request)


RULE_VIOLATORS: dict[int, type[Gateway]] = {  # by the rule that each breaks
    1: SendsAfterFinalAnswer,
    2: RetriesEverything,
    3: IgnoresDraining,
    4: OverloadsWarmingHosts,
    5: OrdersLoadsWithoutLimit,
}
