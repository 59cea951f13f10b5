"""Scores hosts for a request: the host with the highest score wins."""

from collections.abc import Sequence
from typing import NamedTuple

from gaproute.decisions.routing.candidates import HASH_DECAY, CandidateOrder
from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.measurements import Measurements
from gaproute.decisions.routing.parameters import NEVER, SPREAD_FACTOR, USUAL_CONCURRENCY
from gaproute.decisions.routing.request_attempts import RequestAttempts
from gaproute.decisions.routing.slow_start import SlowStart
from gaproute.decisions.routing.tables import Tables
from gaproute.interface import Request, RoutingSettings

# Points of a recently used instance: they outweigh a free lane, all memory and the stable hash.
WARMTH_POINTS = 6.0
# Points lost for each USUAL_CONCURRENCY queued requests, for a rare function, of which a load serves a single
# request.
QUEUE_POINTS = 0.5
# Points lost likewise for a hot function: a shorter queue is worth one more instance.
QUEUE_POINTS_HOT = 1.6
# Difference between empty and full memory: it decides only among hosts without an instance.
MEMORY_POINTS = 1.0
# Points of the first choice of the stable hash: a third of the points of a recently used instance.
HASH_POINTS = 2.0
# Points likewise for a hot function: an instance with a free lane still outweighs them.
HASH_POINTS_HOT = 3.3
# Exponent of HASH_DECAY for those of the equal first choices that other gateways prefer.
OTHER_CHOICE_EXPONENT = 0.45
# Points lost by a host that certainly fails: twice those of an instance, so that doubt decides first.
DOUBT_POINTS = 12.0
# Points of a host in the gateway's own zone if the price of a zone crossing is the whole value of a request;
# they are multiplied by the price. For comparison: an instance has six points and saves a load, which costs
# over half of the value of a request.
SAME_ZONE_POINTS = 10.0
# Points by which two sums of the same terms may differ because of rounding.
ROUNDING_TOLERANCE = 1e-9

RankedScore = tuple[float, int]  # (negative score, index of the host), which sorts the best first


class Weights(NamedTuple):
    """The weights of one choice of a host, the same for all hosts."""

    lanes_per_capacity: float  # requests that one unit of capacity runs at a time
    equal_ranks: int  # first choices of the stable hash that get equal points
    warmth_points: float  # points of a recently used instance
    queue_points: float  # points lost for each `lanes_per_capacity` queued requests
    hash_points: float  # points of the first choice of the stable hash


class Scorer:
    """Scores hosts; `preferred_rank`, modulo their number, selects one of the equal first choices."""

    def __init__(
        self,
        settings: RoutingSettings,
        tables: Tables,
        measurements: Measurements,
        order: CandidateOrder,
        slow_start: SlowStart,
        preferred_rank: int,
    ) -> None:
        self.hosts, self.function_mix = tables.hosts, tables.function_mix
        self.answer_times, self.host_loads = measurements.answer_times, measurements.host_loads
        self.outliers, self.silent_zones = measurements.outliers, measurements.silent_zones
        self.order, self.slow_start, self.preferred_rank = order, slow_start, preferred_rank
        self.zone, self.same_zone_points = settings.zone, SAME_ZONE_POINTS * settings.crossing_price

    def weights(self, request: Request, eligible: Sequence[Host]) -> Weights:
        """Returns the weights for a choice among these hosts."""
        hosts = self.hosts
        capacity = (
            hosts.total_capacity if eligible is hosts.active else sum([host.capacity for host in eligible])
        )
        host_demand = self.function_mix.host_demand(request.function)
        hotness = min(1.0, host_demand)
        times = self.answer_times
        lanes_per_capacity = max(request.lanes, USUAL_CONCURRENCY) * len(eligible) / capacity
        equal_ranks = max(1, int(SPREAD_FACTOR * host_demand))
        warmth = WARMTH_POINTS * max(1.0, times.usual_load_time() / times.shortest_objective)
        queue = QUEUE_POINTS + (QUEUE_POINTS_HOT - QUEUE_POINTS) * hotness
        stable_hash = HASH_POINTS + (HASH_POINTS_HOT - HASH_POINTS) * hotness
        return Weights(lanes_per_capacity, equal_ranks, warmth, queue, stable_hash)

    def doubts(
        self, now: int, request: Request, attempts: RequestAttempts, eligible: Sequence[Host]
    ) -> dict[str, float]:
        """Returns the doubt, from 0 to 1, by host id, about each host that may fail the request."""
        doubt, request_class = self.outliers.doubt, request.request_class
        doubts = {host.id: doubt(host, request_class, now) for host in eligible if host.bad_results}
        for zone, until in self.silent_zones.silent_until.items():
            if now < until or attempts.failed_hosts:
                doubts.update({host.id: 1.0 for host in eligible if host.zone == zone})
        return doubts

    def mean_memory_busy(self) -> float:
        """Returns the mean share of busy memory of the hosts that report it, for the other hosts."""
        reported = [host.memory_busy for host in self.hosts.active if host.memory_busy is not None]
        return sum(reported) / len(reported) if reported else 0.0

    def scores(
        self,
        now: int,
        request: Request,
        attempts: RequestAttempts,
        function: Function,
        eligible: Sequence[Host],
    ) -> list[RankedScore]:
        """Returns the scores of the eligible hosts that may win, best first."""
        lanes_per_capacity, equal_ranks, warmth_points, queue_points, hash_points = self.weights(
            request, eligible
        )
        doubts = self.doubts(now, request, attempts, eligible)
        same_zone_points, zone, preferred_rank = self.same_zone_points, self.zone, self.preferred_rank
        min_queue_cost = queue_points / (lanes_per_capacity * self.hosts.largest_capacity)
        request_count, available_share = self.host_loads.request_count, self.slow_start.available_share
        best_score: float = -NEVER
        mean_memory_busy: float | None = None
        scored: list[RankedScore] = []
        candidates = self.order.candidates(
            now, request.function, function, eligible, hash_points, equal_ranks
        )
        for host, warmth, rank, max_score in candidates:
            if max_score + same_zone_points - min_queue_cost < best_score - ROUNDING_TOLERANCE:
                break  # no later candidate can score more than `max_score` at an empty queue
            slowdown = host.slowdown if now < host.slowdown_until else 1.0
            warming_up = now < host.warm_at
            effective_capacity = (
                host.capacity / slowdown * (available_share(host, now) if warming_up else 1.0)
            )
            memory = host.memory_busy
            if memory is None:
                if mean_memory_busy is None:
                    mean_memory_busy = self.mean_memory_busy()
                memory = mean_memory_busy
            warmth /= slowdown
            hash_decay = HASH_DECAY ** (
                rank // equal_ranks or OTHER_CHOICE_EXPONENT * (rank != preferred_rank % equal_ranks)
            )
            score = (
                warmth_points * warmth
                - queue_points
                * (request_count(host, request.lanes, now) + 1)
                / (lanes_per_capacity * effective_capacity)
                - MEMORY_POINTS * memory
                + hash_points * hash_decay * (1 - warmth)
                + (same_zone_points if host.zone == zone else 0.0)
                - DOUBT_POINTS * doubts.get(host.id, 0.0)
            )
            scored.append((-score, host.index))
            if not warming_up:  # one that warms up may be skipped, so it does not end the search
                best_score = max(best_score, score)
        scored.sort()
        return scored
