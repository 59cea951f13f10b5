"""Two ways of maintenance without a capacity floor, to show what they break, and the best order of a round.

Both wait for leases, drain hosts and load again what a host had. `OneAtATime` takes the next host when the
one before is back, `FixedGroups` as many hosts as may be away together, in the order listed, when the whole
group before is back. Either is the `controller` of a MaintenanceRun.
"""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from gaproute.maintenance import FleetStatus, MaintenanceHost, RoundController, RoundSpec
from gaproute.maintenance.capacity_floor import FleetCapacity
from gaproute.maintenance.feasibility import SchedulingEstimates, forecast_round
from gaproute.maintenance.host_selection import RoundHosts, Selection
from gaproute.shared.leases import LeaseClient


class _WithoutFloor(RoundController):
    """Takes out the next group of hosts when the last one is back, whatever capacity is left."""

    def __init__(
        self,
        spec: RoundSpec,
        client: LeaseClient,
        now: int,
        *,
        lease_duration: int,
        other_rounds: Sequence[RoundSpec] = (),
    ) -> None:
        super().__init__(
            self._adapted(spec),
            client,
            now,
            lease_duration=lease_duration,
            other_rounds=other_rounds,
            selector=_next_group,
        )
        self.planner.known_feasible = True

    @staticmethod
    def _adapted(spec: RoundSpec) -> RoundSpec:
        """The round as this way of maintenance understands it."""
        return spec

    def _update_estimate(self, now: int, status: FleetStatus) -> None:
        super()._update_estimate(now, status)
        self.estimate.shortfalls, self.estimate.required_lanes = [], {}


class OneAtATime(_WithoutFloor):
    """Takes one host at a time and looks at no capacity."""

    @staticmethod
    def _adapted(spec: RoundSpec) -> RoundSpec:
        return msgspec.structs.replace(spec, max_away=1, zone_share=0, survivable_failure="")


class FixedGroups(_WithoutFloor):
    """Takes groups of hosts and looks at no capacity."""

    @staticmethod
    def _adapted(spec: RoundSpec) -> RoundSpec:
        return msgspec.structs.replace(spec, exclusive_groups=(), one_away_per="")


def _next_group(spec: RoundSpec, capacity: FleetCapacity, hosts: RoundHosts) -> Selection:
    return Selection([] if hosts.away else list(hosts.waiting[: spec.max_away]), None)


class BestOrder:
    """The shortest plan of a round over many orders of its hosts.

    Draining takes no time and everything is seen at once. `free`: free slots by host; `load_time`: ns.
    """

    def __init__(
        self,
        spec: RoundSpec,
        capacity: FleetCapacity,
        free: Mapping[str, int],
        load_time: int,
    ) -> None:
        self.spec, self.capacity, self.free = spec, capacity, free
        self.estimates = SchedulingEstimates(0, load_time, 0, 2)

    def shortest(self, orders: Iterable[Sequence[str]]) -> int | None:
        """ns of the shortest plan; None where no order can be done.

        Each order is played twice: as a preference, and strictly (no host goes before the one in front).
        """
        ends = [self._end(order, strictly=strictly) for order in orders for strictly in (False, True)]
        return min((end for end in ends if end is not None), default=None)

    def _end(self, order: Sequence[str], *, strictly: bool) -> int | None:
        def ranked(
            _spec: RoundSpec, _fleet: Mapping[str, MaintenanceHost], waiting: Sequence[str]
        ) -> list[str]:
            left = [name for name in order if name in waiting]
            return left[:1] if strictly else left

        forecast = forecast_round(self.spec, self.capacity, order, self.free, self.estimates, ranked)
        return None if forecast.obstacle else forecast.end
