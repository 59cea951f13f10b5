"""Figures of the whole fleet from what origins sent: sums scaled by how many origins are known.

No origin is believed without bound. Its set may sum up to `MEDIAN_MULTIPLE` times the lower median of all
sets, this gateway's own among them, and one subject of it to a part of that; what is above is scaled down. It
harms where one gateway truly has more: its share is then estimated too small.
"""

from collections.abc import Callable, Sequence
from typing import Generic, NamedTuple, TypeVar, cast

from gaproute.shared.gossip.arrivals import FunctionClass
from gaproute.shared.gossip.messages import DemandEntry, HostEntry
from gaproute.shared.gossip.table import ReceivedSet

MEDIAN_MULTIPLE = 16  # ten times the mean was seen on a real day
SUBJECT_DIVISOR = 4  # one subject may take this part of an origin's bound
MIN_IN_FLIGHT_BOUND = 32.0  # requests in flight that are always believed: most gateways may rest
MIN_DEMAND_BOUND = 50.0  # arrivals a second that are always believed


Subject = TypeVar("Subject")


class FleetEstimate(NamedTuple):
    """A figure of the whole fleet. With no origin `total` is what is seen here alone."""

    local: float  # seen here
    received: float  # sum of what others sent
    origins: int  # how many others sent something
    peers: int  # others that are up
    age: int  # mean age of what was received, ns
    deviation: float = 0.0  # standard deviation of the total, the local part included

    @property
    def total(self) -> float:
        """The local figure, and what was received scaled to all peers."""
        return self.local + (self.received * self.peers / self.origins if self.origins else 0.0)


class FleetSums(Generic[Subject]):
    """Sums over the sets of one kind at one moment."""

    def __init__(self, now: int, received: Sequence[ReceivedSet]) -> None:
        self.origins = len(received)
        self.age = sum(now - each.observed_at for each in received) // max(1, self.origins)
        self.remainder = 0.0
        self.clipped = 0  # sets that were scaled down
        self._sums: dict[Subject, float] = {}
        self._variances: dict[Subject, float] = {}

    def add_remainder(self, remainder: float, total: float, bound: float) -> float:
        """Begins an origin's set; the factor by which its figures are scaled down to the bound."""
        scale = min(1.0, bound / total) if total else 1.0
        self.clipped += scale < 1
        self.remainder += remainder * scale
        return scale

    def add(self, subject: Subject, figure: float, deviation: float = 0.0) -> None:
        """Adds an origin's figure of one subject."""
        self._sums[subject] = self._sums.get(subject, 0.0) + figure
        if deviation:
            self._variances[subject] = self._variances.get(subject, 0.0) + deviation**2

    def estimate(
        self, subject: Subject, local: float, peers: int, local_deviation: float = 0.0
    ) -> FleetEstimate:
        """The figure of one subject; the deviation takes gateways' figures for independent."""
        scale = peers / self.origins if self.origins else 0.0
        variance = local_deviation**2 + self._variances.get(subject, 0.0) * scale
        received = self._sums.get(subject, 0.0)
        return FleetEstimate(local, received, self.origins, peers, self.age, variance**0.5)


def sum_in_flight(
    now: int,
    received: Sequence[ReceivedSet],
    local_total: float,
    is_current: Callable[[int, int], bool],
) -> FleetSums[int]:
    """Sums requests in flight by host. `is_current(host, observed_at)`: whether an entry counts."""
    sums: FleetSums[int] = FleetSums(now, received)
    sets = [cast(tuple[HostEntry, ...], each.entries) for each in received]
    figures = [[entry.amount for entry in entries] for entries in sets]
    bound, scales = _add_remainders(sums, received, figures, local_total, MIN_IN_FLIGHT_BOUND)
    for each, entries, scale in zip(received, sets, scales, strict=True):
        for host, amount in entries:
            if is_current(host, each.observed_at):
                sums.add(host, min(amount * scale, bound / SUBJECT_DIVISOR))
    return sums


def sum_demand(now: int, received: Sequence[ReceivedSet], local_total: float) -> FleetSums[FunctionClass]:
    """Sums arrivals a second by function and request class."""
    sums: FleetSums[FunctionClass] = FleetSums(now, received)
    sets = [cast(tuple[DemandEntry, ...], each.entries) for each in received]
    figures = [[entry.rate for entry in entries] for entries in sets]
    bound, scales = _add_remainders(sums, received, figures, local_total, MIN_DEMAND_BOUND)
    for entries, scale in zip(sets, scales, strict=True):
        for function, request_class, rate, deviation in entries:
            # A deviation is believed up to what arrivals in a few great bursts would have.
            sums.add(
                (function, request_class),
                min(rate * scale, bound / SUBJECT_DIVISOR),
                min(deviation * scale, bound / SUBJECT_DIVISOR),
            )
    return sums


def _add_remainders(
    sums: FleetSums[Subject],
    received: Sequence[ReceivedSet],
    figures: Sequence[Sequence[float]],
    local_total: float,
    floor: float,
) -> tuple[float, list[float]]:
    """Begins the set of each origin, of which `figures` has the figures of all subjects.

    Returns the bound of one origin's sum and the factor by which each origin's figures are scaled down to it.
    """
    totals = [each.remainder + sum(own) for each, own in zip(received, figures, strict=True)]
    bound = _bound(totals, local_total, floor)
    scales = [
        sums.add_remainder(each.remainder, total, bound) for each, total in zip(received, totals, strict=True)
    ]
    return bound, scales


def _bound(totals: list[float], local_total: float, floor: float) -> float:
    """What one origin's set may sum up to."""
    ordered = sorted([*totals, local_total])
    lower_median = ordered[(len(ordered) - 1) // 2]
    return max(floor, MEDIAN_MULTIPLE * lower_median)
