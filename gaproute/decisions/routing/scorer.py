"""The score of each host for a request: the highest wins."""

from collections.abc import Sequence
from typing import NamedTuple

from gaproute.decisions.routing.candidates import HASH_FALL, CandidateOrder
from gaproute.decisions.routing.functions import Function
from gaproute.decisions.routing.host import Host
from gaproute.decisions.routing.measurements import Measurements
from gaproute.decisions.routing.parameters import NEVER, SPREAD_FACTOR, USUAL_CONCURRENCY
from gaproute.decisions.routing.request_attempts import RequestAttempts
from gaproute.decisions.routing.slow_start import SlowStart
from gaproute.decisions.routing.tables import Tables
from gaproute.interface import Request, RoutingSettings

WARMTH_POINTS = 6.0  # for a fresh instance: it outweighs a free lane, all memory and the stable hash
QUEUE_POINTS = (
    0.5  # lost for each USUAL_CONCURRENCY of requests queued, where a load serves one request alone
)
QUEUE_POINTS_HOT = 1.6  # the same for a hot function: a shorter queue is worth one more instance
MEMORY_POINTS = 1.0  # between an empty and a full memory: decides among hosts without an instance only
HASH_POINTS = 2.0  # for the first choice of the stable hash: a third of the points of a fresh instance
HASH_POINTS_HOT = 3.3  # the same for a hot function; an instance with a free lane still outweighs it
# Of one step of HASH_FALL: what first choices lose that count alike but belong to other gateways.
OTHERS_FALL = 0.45
DOUBT_POINTS = (
    12.0  # lost by a host that is sure to fail: twice a fresh instance, so that doubts decide first
)
# For a host of the own zone, times the price of a crossing in values of a request: an instance has six points
# and saves a load, which costs over half of the value of a request.
NEAR_POINTS = 10.0
ROUNDING = 1e-9  # points by which two sums of the same terms may differ by rounding alone

RankedScore = tuple[float, int]  # (minus the score, index of the host): sorts the best first


class Weights(NamedTuple):
    """The weights of one choice, the same for all hosts."""

    lanes: float  # requests that a unit of capacity runs at a time
    width: int  # first choices of the stable hash that count alike
    warmth: float  # points for a fresh instance
    queue: float  # points for each `lanes` of queue
    hash: float  # points for the first choice of the stable hash


class Scorer:
    """Scores hosts; `own_choice`: which of the first choices that count alike this gateway prefers."""

    def __init__(
        self,
        terms: RoutingSettings,
        tables: Tables,
        measurements: Measurements,
        order: CandidateOrder,
        slow_start: SlowStart,
        own_choice: int,
    ) -> None:
        self.hosts, self.mix = tables.hosts, tables.mix
        self.answer_times, self.loads = measurements.answer_times, measurements.loads
        self.outliers, self.silent_zones = measurements.outliers, measurements.silent_zones
        self.order, self.slow_start, self.own_choice = order, slow_start, own_choice
        self.zone, self.near_points = terms.zone, NEAR_POINTS * terms.crossing_price

    def weights(self, request: Request, able: Sequence[Host]) -> Weights:
        """The weights of a choice among these hosts."""
        hosts = self.hosts
        capacity = hosts.total_capacity if able is hosts.active else sum([host.capacity for host in able])
        breadth = self.mix.breadth(request.function)
        heat = min(1.0, breadth)
        times = self.answer_times
        lanes = max(request.lanes, USUAL_CONCURRENCY) * len(able) / capacity
        width = max(1, int(SPREAD_FACTOR * breadth))
        warmth = WARMTH_POINTS * max(1.0, times.usual_load() / times.shortest_objective)
        queue = QUEUE_POINTS + (QUEUE_POINTS_HOT - QUEUE_POINTS) * heat
        stable_hash = HASH_POINTS + (HASH_POINTS_HOT - HASH_POINTS) * heat
        return Weights(lanes, width, warmth, queue, stable_hash)

    def doubts(
        self, now: int, request: Request, attempts: RequestAttempts, able: Sequence[Host]
    ) -> dict[str, float]:
        """The doubt, 0 to 1, about each host that may fail the request, by its id."""
        doubt, request_class = self.outliers.doubt, request.request_class
        doubts = {host.id: doubt(host, request_class, now) for host in able if host.bad_results}
        for zone, until in self.silent_zones.silent_until.items():
            if now < until or attempts.failed_hosts:
                doubts.update({host.id: 1.0 for host in able if host.zone == zone})
        return doubts

    def usual_memory(self) -> float:
        """The mean share of busy memory of the hosts that report it, for the hosts that do not."""
        reported = [host.memory_busy for host in self.hosts.active if host.memory_busy is not None]
        return sum(reported) / len(reported) if reported else 0.0

    def scores(
        self,
        now: int,
        request: Request,
        attempts: RequestAttempts,
        function: Function,
        able: Sequence[Host],
    ) -> list[RankedScore]:
        """The scores of those able hosts that may win, the best first."""
        lanes, width, warmth_points, queue_points, hash_points = self.weights(request, able)
        doubts = self.doubts(now, request, attempts, able)
        near_points, zone, own_choice = self.near_points, self.zone, self.own_choice
        least_queue = queue_points / (lanes * self.hosts.largest_capacity)
        queued, available_share = self.loads.queued, self.slow_start.available_share
        best: float = -NEVER
        usual_memory: float | None = None
        scored: list[RankedScore] = []
        candidates = self.order.candidates(now, request.function, function, able, hash_points, width)
        for host, warmth, rank, most in candidates:
            if most + near_points - least_queue < best - ROUNDING:
                break  # no later candidate can score more than `most` at an empty queue
            slowdown = host.slowdown if now < host.slowdown_until else 1.0
            warming_up = now < host.warm_at
            strength = host.capacity / slowdown * (available_share(host, now) if warming_up else 1.0)
            memory = host.memory_busy
            if memory is None:
                if usual_memory is None:
                    usual_memory = self.usual_memory()
                memory = usual_memory
            warmth /= slowdown
            fall = HASH_FALL ** (rank // width or OTHERS_FALL * (rank != own_choice % width))
            score = (
                warmth_points * warmth
                - queue_points * (queued(host, request.lanes, now) + 1) / (lanes * strength)
                - MEMORY_POINTS * memory
                + hash_points * fall * (1 - warmth)
                + (near_points if host.zone == zone else 0.0)
                - DOUBT_POINTS * doubts.get(host.id, 0.0)
            )
            scored.append((-score, host.index))
            if not warming_up:  # a host that warms up may be skipped, so it does not end the search
                best = max(best, score)
        scored.sort()
        return scored
