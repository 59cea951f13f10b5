"""The policy's choice in parts, so that each part of a score can be followed and changed alone.

`SplitSelector` chooses as `routing.host_selector.HostSelector` does (tests hold it to that: see
`tests/benchmarks/test_benchmark_fleet.py`) and keeps the scores of its last choice. What a candidate for a
better policy changes is one of the methods under "Parts".
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any, ClassVar, NamedTuple

from benchmarks.fleet.gateways import GatewayWorld
from gaproute.decisions.routing import Gateway, candidates
from gaproute.decisions.routing import scorer as policy
from gaproute.decisions.routing.function_mix import FunctionMix
from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.host_loads import HostLoads
from gaproute.decisions.routing.host_selector import HostSelector
from gaproute.decisions.routing.request_attempts import RequestAttempts
from gaproute.interface import Request, RoutingSettings
from gaproute.units import SECOND


class HostScore(NamedTuple):
    """Points of one host; `queue`, `memory` and `doubt` are taken off."""

    host: Host
    warmth: float  # of its instance, 0 to 1
    copy: float
    queue: float
    memory: float
    prior: float
    near: float
    doubt: float

    @property
    def total(self) -> float:
        """All points."""
        return self.copy - self.queue - self.memory + self.prior + self.near - self.doubt


class SplitSelector(HostSelector):
    """A selector whose choice is split into parts.

    `world`, and `number` of its gateway, are set by `SplitChoiceGateway`. `slack`: points below the best up
    to which a host is still scored. `last_scores`: of the last choice.
    """

    slack: float = 0.0
    host_loads_type: ClassVar[type[HostLoads]] = HostLoads
    function_mix_type: ClassVar[type[FunctionMix]] = FunctionMix
    world: Any  # GatewayWorld, with what a candidate looks at beyond it
    number = 0

    def __init__(self, *parts: Any) -> None:
        super().__init__(*parts)
        self.last_scores: list[HostScore] = []

    # Parts

    def queue(self, host: Host, request: Request, now: int) -> float:
        """Requests taken to be at the host."""
        return self.scorer.host_loads.request_count(host, request.lanes, now)

    def queue_weight(self, heat: float) -> float:
        """Points for each request queued; `heat`: 0 to 1, how much of the traffic the function is."""
        return policy.QUEUE_POINTS + (policy.QUEUE_POINTS_HOT - policy.QUEUE_POINTS) * heat

    def prior(self, name: str, host: Host, rank: int, width: int, prior: float) -> float:
        """At most prior * HASH_DECAY ** (rank // width)."""
        others = policy.OTHER_CHOICE_EXPONENT * (rank != self.scorer.preferred_rank % width)
        return float(prior * candidates.HASH_DECAY ** (rank // width or others))

    def copy(self, name: str, host: Host, warmth: float) -> float:
        """Warmth of the host's instance, by what this gateway believes."""
        return warmth

    def pick(self, scores: Sequence[HostScore]) -> Host:
        """The host with the most points, one of several by chance."""
        best = max(score.total for score in scores)
        ties = [score.host for score in scores if score.total == best]
        if len(ties) > 1:
            ties.sort(key=lambda host: host.index)
        return ties[self.random.below(len(ties))]

    # The whole

    def choose(self, now: int, request: Request, attempts: RequestAttempts) -> Host | None:
        """As of `HostSelector`."""
        function = self.functions.find_or_add(request.function, request.lanes)
        paused = now < function.paused_until and not attempts.failed_hosts
        able = self.eligible_hosts(now, request, attempts, function, paused=paused)
        if not able:
            return None
        self.last_scores = self.scores(now, request, attempts, function, able)
        host = self.pick(self.last_scores)
        if now < host.warm_at and self.random.below(SECOND) >= host.credit * SECOND:
            host.credit = 0.0
            return self.choose(now, request, attempts)
        if now < host.full_until and not paused and not attempts.failed_hosts:
            function.paused_until = host.full_until
            return self.choose(now, request, attempts)
        return host if now >= host.full_until else None

    def scores(
        self,
        now: int,
        request: Request,
        attempts: RequestAttempts,
        function: Function,
        able: Sequence[Host],
    ) -> list[HostScore]:
        """The scores of the hosts that may be chosen."""
        scorer, name = self.scorer, request.function
        weights = scorer.weights(request, able)
        queue_weight = self.queue_weight(min(1.0, scorer.function_mix.host_demand(name)))
        doubts = scorer.doubts(now, request, attempts, able)
        mean_memory_busy = scorer.mean_memory_busy()
        largest = self.hosts.largest_capacity
        reach = (
            scorer.same_zone_points
            - policy.QUEUE_POINTS / (weights.lanes_per_capacity * largest)
            + self.slack
        )
        best, scores = -float("inf"), []
        in_order = scorer.order.candidates(
            now, name, function, able, weights.hash_points, weights.equal_ranks
        )
        for host, believed_warmth, rank, most in in_order:
            if most + reach < best - policy.ROUNDING_TOLERANCE:
                break
            slowdown = host.slowdown if now < host.slowdown_until else 1.0
            strength = self._strength(host, slowdown, now)
            warmth = self.copy(name, host, believed_warmth) / slowdown
            prior = self.prior(name, host, rank, weights.equal_ranks, weights.hash_points)
            score = HostScore(
                host,
                warmth,
                weights.warmth_points * warmth,
                queue_weight * (self.queue(host, request, now) + 1) / (weights.lanes_per_capacity * strength),
                policy.MEMORY_POINTS * (mean_memory_busy if host.memory_busy is None else host.memory_busy),
                prior * (1 - warmth),
                scorer.same_zone_points if host.zone == scorer.zone else 0.0,
                policy.DOUBT_POINTS * doubts.get(host.id, 0.0),
            )
            scores.append(score)
            best = max(best, score.total)
        return scores

    def _strength(self, host: Host, slowdown: float, now: int) -> float:
        strength = host.capacity / slowdown
        if now < host.warm_at:
            strength *= self.scorer.slow_start.available_share(host, now)
        return strength


class SplitChoiceGateway(Gateway):
    """Chooses by a `SplitSelector`, which may see the whole world."""

    def __init__(
        self,
        world: GatewayWorld,
        number: int,
        routing_settings: RoutingSettings,
        now: int,
        selector_type: type[SplitSelector] = SplitSelector,
    ) -> None:
        self.selector_type: type[SplitSelector] = selector_type
        self.host_loads_type, self.function_mix_type = (
            selector_type.host_loads_type,
            selector_type.function_mix_type,
        )
        super().__init__(number, routing_settings, now)
        assert isinstance(self.selector, SplitSelector)
        self.selector.world, self.selector.number = world, number


class EqualFirstChoices(SplitSelector):
    """As when the candidates were measured: first choices that count alike have all points of the hash."""

    def prior(self, name: str, host: Host, rank: int, width: int, prior: float) -> float:
        """Without what others' first choices lose."""
        return float(prior * candidates.HASH_DECAY ** (rank // width))
