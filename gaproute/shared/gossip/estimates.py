"""Estimates for the whole fleet: the sum of the sets of the known origins, scaled up to all gateways.

An origin is the gateway whose observations a set contains; a subject is a host, or a function with a request
class. The influence of one origin is bounded: the values of its set may sum to at most `MAX_MEDIAN_MULTIPLE`
times the lower median of such sums over all gateways including this one, and the value of one subject may be
at most that bound divided by `SUBJECT_BOUND_DIVISOR`. Larger values are scaled down. If a gateway really has
more than its bound, the estimate is too small.
"""

from collections.abc import Callable, Sequence
from typing import Generic, NamedTuple, TypeVar, cast

from gaproute.shared.gossip.arrivals import DemandSubject
from gaproute.shared.gossip.messages import DemandEntry, HostEntry
from gaproute.shared.gossip.table import ReceivedSet

MAX_MEDIAN_MULTIPLE = 16  # one gateway was measured at ten times the mean on a real day
SUBJECT_BOUND_DIVISOR = 4  # one subject may have a fourth of the bound of its origin
# Requests in flight of one origin that are never scaled down, as most gateways may be idle
MIN_IN_FLIGHT_BOUND = 32.0
MIN_DEMAND_BOUND = 50.0  # arrivals per second at one origin that are never scaled down

Subject = TypeVar("Subject")


class FleetEstimate(NamedTuple):
    """An estimate for the whole fleet. `total` is the local value if no other gateway sent one."""

    local: float  # observed by this gateway
    received: float  # sum of the values that other gateways sent
    origin_count: int  # number of other gateways that sent a value
    peer_count: int  # number of other gateways that are up
    age: int  # mean age of the received sets, ns
    deviation: float = 0.0  # standard deviation of the total, including the local part

    @property
    def total(self) -> float:
        """The local value plus the received ones, which are scaled from the known origins to all peers."""
        return self.local + (
            self.received * self.peer_count / self.origin_count if self.origin_count else 0.0
        )


class FleetSums(Generic[Subject]):
    """Sums of the received sets of one kind at the time `now`."""

    def __init__(self, now: int, received: Sequence[ReceivedSet]) -> None:
        self.origin_count = len(received)
        self.age = sum(now - each.observed_at for each in received) // max(1, self.origin_count)
        self.remainder = 0.0
        self.clipped_sets = 0  # number of sets that were scaled down
        self._sums: dict[Subject, float] = {}
        self._variances: dict[Subject, float] = {}

    def add_origin_remainder(self, remainder: float, total: float, bound: float) -> float:
        """Adds the remainder of one origin, whose values and remainder sum to `total`.

        Returns the factor by which the values are to be scaled so that `total` does not exceed the bound.
        """
        scale = min(1.0, bound / total) if total else 1.0
        self.clipped_sets += scale < 1
        self.remainder += remainder * scale
        return scale

    def add_value(self, subject: Subject, value: float, deviation: float = 0.0) -> None:
        """Adds the value of one subject from one origin; the value is already scaled down to the bounds."""
        self._sums[subject] = self._sums.get(subject, 0.0) + value
        if deviation:
            self._variances[subject] = self._variances.get(subject, 0.0) + deviation**2

    def estimate(
        self, subject: Subject, local: float, peer_count: int, local_deviation: float = 0.0
    ) -> FleetEstimate:
        """The estimate for one subject; its deviation assumes that the values of the gateways are
        independent.
        """
        scale = peer_count / self.origin_count if self.origin_count else 0.0
        variance = local_deviation**2 + self._variances.get(subject, 0.0) * scale
        received = self._sums.get(subject, 0.0)
        return FleetEstimate(local, received, self.origin_count, peer_count, self.age, variance**0.5)


def sum_in_flight(
    now: int,
    received: Sequence[ReceivedSet],
    local_total: float,
    is_current: Callable[[int, int], bool],
) -> FleetSums[int]:
    """Sums requests in flight by host.

    `is_current(host, observed_at)` returns whether an observation of the host at that time still counts.
    """
    sums: FleetSums[int] = FleetSums(now, received)
    sets = [cast(tuple[HostEntry, ...], each.entries) for each in received]
    values = [[entry.amount for entry in entries] for entries in sets]
    bound, scales = _add_origin_remainders(sums, received, values, local_total, MIN_IN_FLIGHT_BOUND)
    for each, entries, scale in zip(received, sets, scales, strict=True):
        for host, amount in entries:
            if is_current(host, each.observed_at):
                sums.add_value(host, min(amount * scale, bound / SUBJECT_BOUND_DIVISOR))
    return sums


def sum_demand(now: int, received: Sequence[ReceivedSet], local_total: float) -> FleetSums[DemandSubject]:
    """Sums arrivals per second by function and request class."""
    sums: FleetSums[DemandSubject] = FleetSums(now, received)
    sets = [cast(tuple[DemandEntry, ...], each.entries) for each in received]
    values = [[entry.rate for entry in entries] for entries in sets]
    bound, scales = _add_origin_remainders(sums, received, values, local_total, MIN_DEMAND_BOUND)
    for entries, scale in zip(sets, scales, strict=True):
        for function, request_class, rate, deviation in entries:
            # The deviation is limited to the deviation that arrivals in a few large bursts would have.
            sums.add_value(
                (function, request_class),
                min(rate * scale, bound / SUBJECT_BOUND_DIVISOR),
                min(deviation * scale, bound / SUBJECT_BOUND_DIVISOR),
            )
    return sums


def _add_origin_remainders(
    sums: FleetSums[Subject],
    received: Sequence[ReceivedSet],
    values: Sequence[Sequence[float]],
    local_total: float,
    min_bound: float,
) -> tuple[float, list[float]]:
    """Adds the remainder of each origin. `values`: by origin, the values of its subjects.

    Returns the bound for the sum of one origin, and by origin the factor that scales its values down to that
    bound.
    """
    totals = [each.remainder + sum(amounts) for each, amounts in zip(received, values, strict=True)]
    bound = _origin_bound(totals, local_total, min_bound)
    scales = [
        sums.add_origin_remainder(each.remainder, total, bound)
        for each, total in zip(received, totals, strict=True)
    ]
    return bound, scales


def _origin_bound(totals: list[float], local_total: float, min_bound: float) -> float:
    """The greatest sum that one origin's set may have, see the module."""
    ordered = sorted([*totals, local_total])
    lower_median = ordered[(len(ordered) - 1) // 2]
    return max(min_bound, MAX_MEDIAN_MULTIPLE * lower_median)
