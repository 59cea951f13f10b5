"""Selects the host for an attempt of a request."""

from bisect import bisect_left

from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.parameters import NEVER
from gaproute.decisions.routing.request_attempts import RequestAttempts
from gaproute.decisions.routing.retry_rules import RetryRules
from gaproute.decisions.routing.scorer import RankedScore, Scorer
from gaproute.decisions.routing.tables import Tables
from gaproute.interface import Request, RequestClass
from gaproute.units import SECOND


class HostSelector:
    """Picks the host with the highest score among the eligible hosts; ties are broken at random."""

    def __init__(
        self,
        request_classes: tuple[RequestClass, ...],
        tables: Tables,
        retry_rules: RetryRules,
        scorer: Scorer,
        random: RandomGenerator,
    ) -> None:
        self.request_classes = request_classes
        self.hosts, self.functions = tables.hosts, tables.functions
        self.retry_rules, self.scorer, self.random = retry_rules, scorer, random

    def choose(self, now: int, request: Request, attempts: RequestAttempts) -> Host | None:
        """Returns the host that gets the request now, or None if the request has to wait."""
        function = self.functions.find_or_add(request.function, request.lanes)
        paused = now < function.paused_until and not attempts.failed_hosts
        eligible = self.eligible_hosts(now, request, attempts, function, paused=paused)
        if not eligible:
            return None
        scored = self.scorer.scores(now, request, attempts, function, eligible)
        host = self._pick_best(now, scored)
        if host is None:
            return self.choose(now, request, attempts)  # all scored hosts were skipped: try others
        # A host that has just rejected a request as full gets none for a moment: it answers fast and
        # therefore looks idle. Other requests of the function wait as well, because at other hosts they would
        # cause loads and overload these hosts too. Only the rejected request is sent elsewhere.
        if now < host.full_until and not paused and not attempts.failed_hosts:
            function.paused_until = host.full_until
            return self.choose(now, request, attempts)
        return host if now >= host.full_until else None

    def eligible_hosts(
        self, now: int, request: Request, attempts: RequestAttempts, function: Function, *, paused: bool
    ) -> list[Host]:
        """Returns the hosts that may get the request now, or the list of active hosts itself if all may."""
        eligible = self.hosts.active
        if attempts.attempt_count or now < self.hosts.all_warm_at:
            eligible = self.allowed_hosts(now, request, attempts, eligible)
        if attempts.failed_hosts:
            eligible = [host for host in eligible if host not in attempts.failed_hosts] or eligible
            # A request that a full host rejected goes to a loaded instance: a load would add to the overload.
            eligible = [
                host for host in eligible if self.functions.warmth(function, host, now) > 0
            ] or eligible
        if paused:
            eligible = [
                host
                for host in eligible
                if now >= host.full_until and self.functions.warmth(function, host, now) > 0
            ]
        return eligible

    def allowed_hosts(
        self, now: int, request: Request, attempts: RequestAttempts, hosts: list[Host]
    ) -> list[Host]:
        """Returns the hosts that the retry rules and the limit for hosts that warm up allow."""
        request_class = self.request_classes[request.request_class]
        tried = [sent.host for sent in attempts.in_flight.values()]
        allows = self.retry_rules.allows
        eligible = [
            host for host in hosts if host not in tried and allows(host, request_class, attempts, now)
        ]
        # A host that warms up gets only as many attempts as its credit (see `SlowStart`), so that it does
        # not fail.
        return [host for host in eligible if now >= host.warm_at or host.credit > 0]

    def _pick_best(self, now: int, scored: list[RankedScore]) -> Host | None:
        """Returns the host with the best score.

        A host that warms up is skipped at random, the more often the lower its credit.
        """
        while scored:
            ties = bisect_left(scored, (scored[0][0], NEVER))
            host = self.hosts.active[scored.pop(self.random.below(ties))[1]]
            if now >= host.warm_at or self.random.below(SECOND) < host.credit * SECOND:
                return host
            host.credit = 0.0
        return None

    def is_any_host_allowed(self, now: int, request_class: RequestClass, attempts: RequestAttempts) -> bool:
        """Whether the retry rules allow an attempt at any active host."""
        allows = self.retry_rules.allows
        return any(allows(host, request_class, attempts, now) for host in self.hosts.active)
