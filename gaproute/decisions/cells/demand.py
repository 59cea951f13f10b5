"""Estimates how many homes a function has and whether they lie in the own region.

The estimate uses this gateway's own requests alone. Arrivals are counted with exponential decay, with a short
and a long decay time. Counts are estimated `ESTIMATE_MARGIN` standard deviations low, so that a function with
one or two requests counts as rare, as most functions are: a rare function has one home in the whole fleet, so
that the requests of all gateways go to the same instance. A function that the requests of the own region
alone keep loaded has its homes in that region. A function with a large share of the work has more homes, in
powers of two, so that gateways with slightly different estimates mostly agree.

Invariants: the placement of a function changes at most once in `MIN_PLACEMENT_TIME`, except to more homes;
the threshold for more homes lies well above that for fewer; the number of stored functions is bounded.
"""

from math import exp, sqrt
from typing import NamedTuple

from gaproute.units import SECOND

SHORT_DECAY_TIME = 60 * SECOND  # of the short count, which soon shows a function that becomes hot
# Of the long count, which separates rare functions from those that are requested often
LONG_DECAY_TIME = 1_800 * SECOND
# Standard deviations by which a count is estimated low: up to two arrivals count as none
ESTIMATE_MARGIN = 1.5
# Largest work that a function may bring to one of its homes, as a share of the work of a mean cell
MAX_WORK_SHARE_PER_HOME = 0.01
SHRINK_FACTOR = 4  # the homes are halved when the number needed is smaller by this factor
# Expected requests at a home within the keep-alive time: an instance is then unloaded for 1 of 55 requests
REQUESTS_PER_KEEP_ALIVE = 4.0
MIN_PLACEMENT_TIME = 60 * SECOND  # shortest time between two changes of a placement, except to more homes
DEFAULT_DURATION = SECOND // 10  # of a request, until one was measured
DURATION_WEIGHT = 0.1  # of the newest request in the mean duration of a function
FLEET_DURATION_WEIGHT = DURATION_WEIGHT / 10  # the same in the mean of all functions
MAX_FUNCTIONS = 32_768  # the one whose last request is the oldest is dropped first


def effective_count_time(running_time: int, decay_time: int) -> float:
    """The time by which to divide a decaying count for its rate, `running_time` after its start; ns."""
    return decay_time * (1 - exp(-max(running_time, SECOND) / decay_time))


class FleetScope(NamedTuple):
    """The size and settings of the fleet that a gateway belongs to."""

    gateways: int  # in the whole fleet
    regional_gateways: int  # in the own region
    keep_alive: int  # the least time for which an idle instance stays loaded, ns


class Placement(NamedTuple):
    """How many homes a function has, and whether they lie within the own region."""

    regional: bool
    home_count: int


RARE_PLACEMENT = Placement(regional=False, home_count=1)


class DecayingCount:
    """A count of arrivals, or the sum of their work, with a short and a long decay time."""

    __slots__ = ("long_term", "short_term", "updated_at")

    def __init__(self, now: int) -> None:
        self.short_term = self.long_term = 0.0
        self.updated_at = now

    def add(self, now: int, amount: float) -> None:
        """Decays the counts until now and adds the amount."""
        passed = now - self.updated_at
        self.short_term = self.short_term * exp(-passed / SHORT_DECAY_TIME) + amount
        self.long_term = self.long_term * exp(-passed / LONG_DECAY_TIME) + amount
        self.updated_at = now


class FunctionDemand(DecayingCount):
    """The state of one function: arrivals, mean duration and placement."""

    __slots__ = ("changed_at", "duration", "placement")

    def __init__(self, now: int) -> None:
        super().__init__(now)
        self.duration = 0.0  # mean duration of a request, ns; 0: none measured
        self.placement, self.changed_at = RARE_PLACEMENT, now - MIN_PLACEMENT_TIME


class Demand:
    """Own requests by function. `now`: the time at which counting starts."""

    def __init__(self, now: int, scope: FleetScope, max_functions: int = MAX_FUNCTIONS) -> None:
        self.started_at, self.scope, self.max_functions = now, scope, max_functions
        self.functions: dict[str, FunctionDemand] = {}  # by name, the one with the latest request last
        self.total_work = DecayingCount(now)
        self.fleet_duration = float(DEFAULT_DURATION)  # mean of all functions, ns

    def record_arrival(self, now: int, function: str) -> None:
        """Counts a request of the function from a client of this gateway."""
        demand = self.functions.pop(function, None) or FunctionDemand(now)
        self.functions[function] = demand
        demand.add(now, 1.0)
        self.total_work.add(now, self._mean_duration_of(demand))
        if len(self.functions) > self.max_functions:
            del self.functions[next(iter(self.functions))]

    def record_duration(self, function: str, duration: int) -> None:
        """Records how long a request of the function took, ns."""
        self.fleet_duration += FLEET_DURATION_WEIGHT * (duration - self.fleet_duration)
        demand = self.functions.get(function)
        if demand is None:
            return
        if demand.duration:
            demand.duration += DURATION_WEIGHT * (duration - demand.duration)
        else:
            demand.duration = float(duration)

    def mean_duration(self, function: str) -> float:
        """The mean duration of a request of the function, ns."""
        demand = self.functions.get(function)
        return self._mean_duration_of(demand) if demand is not None else self.fleet_duration

    def placement(self, now: int, function: str, cells: float, regional_cells: float) -> Placement:
        """Updates the function's placement, where its demand requires another one, and returns it.

        `cells`: capacity of the fleet, as a multiple of the mean capacity of a cell; `regional_cells`: the
        same for the own region.
        """
        demand = self.functions.get(function)
        if demand is None:
            return RARE_PLACEMENT
        current = demand.placement
        may_change = now - demand.changed_at >= MIN_PLACEMENT_TIME
        regional = self._is_regional(now, demand) and regional_cells > 0
        if regional != current.regional:
            if may_change:
                current = Placement(regional, 1)
            else:
                regional = current.regional
        home_count = self._home_count(now, demand, current, regional_cells if regional else cells)
        if home_count < current.home_count and not may_change:
            home_count = current.home_count
        if (regional, home_count) != demand.placement:
            demand.placement, demand.changed_at = Placement(regional, home_count), now
        return demand.placement

    def _mean_duration_of(self, demand: FunctionDemand) -> float:
        return demand.duration or self.fleet_duration

    def _is_regional(self, now: int, demand: FunctionDemand) -> bool:
        """Whether the requests of the own region keep an instance loaded.

        The threshold to become regional is higher than that to stay regional.
        """
        count = demand.long_term * exp((demand.updated_at - now) / LONG_DECAY_TIME)
        counting_time = effective_count_time(now - self.started_at, LONG_DECAY_TIME)
        keep_alives = self.scope.regional_gateways * self.scope.keep_alive / counting_time
        if demand.placement.regional:
            return count >= 1 and count * keep_alives >= REQUESTS_PER_KEEP_ALIVE
        return _lower_estimate(count) * keep_alives >= REQUESTS_PER_KEEP_ALIVE

    def _home_count(self, now: int, demand: FunctionDemand, current: Placement, cells: float) -> int:
        """The number of homes for the function's work, but no more than its requests keep loaded."""
        share, rate = self._share_and_rate(now, demand)
        gateways = self.scope.regional_gateways if current.regional else self.scope.gateways
        kept_loaded = rate * gateways * self.scope.keep_alive / REQUESTS_PER_KEEP_ALIVE
        max_homes = max(1, min(int(cells), int(kept_loaded)))
        needed = min(share * cells / MAX_WORK_SHARE_PER_HOME, max_homes)
        if needed > current.home_count:
            return min(max_homes, 1 << (int(needed) - 1).bit_length())
        if current.home_count > max_homes or needed * SHRINK_FACTOR <= current.home_count:
            return max(1, current.home_count // 2)
        return current.home_count

    def _share_and_rate(self, now: int, demand: FunctionDemand) -> tuple[float, float]:
        """The function's share of all own work and its requests per ns, each by the count that gives more."""
        total = self.total_work
        share, rate = 0.0, 0.0
        for function_count, work, decay_time in (
            (demand.short_term, total.short_term, SHORT_DECAY_TIME),
            (demand.long_term, total.long_term, LONG_DECAY_TIME),
        ):
            count = _lower_estimate(function_count * exp((demand.updated_at - now) / decay_time))
            work *= exp((total.updated_at - now) / decay_time)
            share = max(share, count * self._mean_duration_of(demand) / max(work, 1.0))
            rate = max(rate, count / effective_count_time(now - self.started_at, decay_time))
        return share, rate


def _lower_estimate(count: float) -> float:
    return max(0.0, count - ESTIMATE_MARGIN * sqrt(count))
