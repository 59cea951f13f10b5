"""The policy's choice taken apart, so that each part of a score can be followed and changed alone.

`PartedSelector` chooses as `routing.host_selector.HostSelector` does (tests hold it to that: see
`tests/benchmarks/test_benchmark_fleet.py`) and keeps the scores of its last choice. What a candidate changes
is one of the methods under "Parts".
"""

from typing import NamedTuple

from gaproute.decisions.routing import Gateway, candidates
from gaproute.decisions.routing import scorer as policy
from gaproute.decisions.routing.function_mix import FunctionMix
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.host_loads import HostLoads
from gaproute.decisions.routing.host_selector import HostSelector
from gaproute.decisions.routing.parameters import SECOND


class Scored(NamedTuple):
    """Points of one host; `queue`, `memory` and `doubt` are taken off."""

    host: Host
    warmth: float
    copy: float
    queue: float
    memory: float
    prior: float
    near: float
    doubt: float

    @property
    def score(self):
        return self.copy - self.queue - self.memory + self.prior + self.near - self.doubt


class PartedSelector(HostSelector):
    """`world` and `number`, of its gateway, are set by `PartedGateway`."""

    slack = 0.0  # points below the best up to which a host is still scored
    loads_type, mix_type = HostLoads, FunctionMix
    world, number = None, 0

    def __init__(self, *parts):
        super().__init__(*parts)
        self.latest = []

    # Parts

    def queue(self, host, request, now):
        """Requests taken to be at the host."""
        return self.scorer.loads.queued(host, request.lanes, now)

    def queue_weight(self, heat):
        return policy.QUEUE_POINTS + (policy.QUEUE_POINTS_HOT - policy.QUEUE_POINTS) * heat

    def prior(self, name, host, rank, width, prior):
        """At most prior * HASH_FALL ** (rank // width)."""
        others = policy.OTHERS_FALL * (rank != self.scorer.own_choice % width)
        return prior * candidates.HASH_FALL ** (rank // width or others)

    def copy(self, name, host, rank, width, warmth):
        """Warmth of the host's instance, by what this gateway believes."""
        return warmth

    def pick(self, scored):
        best = max(each.score for each in scored)
        ties = [each.host for each in scored if each.score == best]
        if len(ties) > 1:
            ties.sort(key=lambda host: host.index)
        return ties[self.chance.below(len(ties))]

    # The whole

    def scores(self, now, request, attempts, function, able):
        scorer, name = self.scorer, request.function
        weights = scorer.weights(request, able)
        lanes, width = weights.lanes, weights.width
        queue_weight = self.queue_weight(min(1.0, scorer.mix.breadth(name)))
        doubts = scorer.doubts(now, request, attempts, able)
        usual_memory = scorer.usual_memory()
        best, scored = None, []
        most_capacity = self.hosts.largest_capacity
        least = scorer.near_points - policy.QUEUE_POINTS / (lanes * most_capacity) + self.slack
        for host, warmth, rank, most in scorer.order.candidates(
            now, name, function, able, weights.hash, width
        ):
            if best is not None and most + least < best - policy.ROUNDING:
                break
            slowdown = host.slowdown if now < host.slowdown_until else 1.0
            strength = host.capacity / slowdown
            if now < host.warm_at:
                strength *= scorer.slow_start.available_share(host, now)
            memory = usual_memory if host.memory_busy is None else host.memory_busy
            warmth = self.copy(name, host, rank, width, warmth) / slowdown
            scored.append(
                Scored(
                    host,
                    warmth,
                    weights.warmth * warmth,
                    queue_weight * (self.queue(host, request, now) + 1) / (lanes * strength),
                    policy.MEMORY_POINTS * memory,
                    self.prior(name, host, rank, width, weights.hash) * (1 - warmth),
                    scorer.near_points if host.zone == scorer.zone else 0.0,
                    policy.DOUBT_POINTS * doubts.get(host.id, 0.0),
                )
            )
            best = scored[-1].score if best is None else max(best, scored[-1].score)
        return scored

    def choose(self, now, request, attempts):
        function = self.functions.find_or_add(request.function, request.lanes)
        paused = now < function.paused_until and not attempts.failed_hosts
        able = self.able_hosts(now, request, attempts, function, paused=paused)
        if not able:
            return None
        self.latest = self.scores(now, request, attempts, function, able)
        host = self.pick(self.latest)
        if now < host.warm_at and self.chance.below(SECOND) >= host.credit * SECOND:
            host.credit = 0.0
            return self.choose(now, request, attempts)
        if now < host.full_until and not paused and not attempts.failed_hosts:
            function.paused_until = host.full_until
            return self.choose(now, request, attempts)
        return host if now >= host.full_until else None


class PartedGateway(Gateway):
    """Chooses by a `PartedSelector`, which may see the whole world."""

    def __init__(self, world, number, terms, now, selector_type=PartedSelector):
        self.selector_type = selector_type
        self.loads_type, self.mix_type = selector_type.loads_type, selector_type.mix_type
        super().__init__(number, terms, now)
        self.selector.world, self.selector.number = world, number


class Alike(PartedSelector):
    """As it was when the candidates were measured: first choices that count alike have all of the prior."""

    def prior(self, name, host, rank, width, prior):
        return prior * candidates.HASH_FALL ** (rank // width)
