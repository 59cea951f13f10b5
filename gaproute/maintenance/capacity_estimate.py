"""The estimate of warm capacity that a running round relies on, compared to the capacity floor."""

from collections.abc import Collection, Sequence

from gaproute.maintenance import capacity_floor, warm_capacity
from gaproute.maintenance.capacity_floor import DEMAND_UNKNOWN, FleetCapacity, LanesByKey, Shortfall
from gaproute.maintenance.fleet_status import FleetStatus
from gaproute.maintenance.host_progress import HostIncarnations
from gaproute.maintenance.round_spec import RoundSpec
from gaproute.maintenance.warm_capacity import WarmLanes
from gaproute.units import SECOND

# Once the last report of demand is older, no capacity counts as sufficient.
MAX_DEMAND_AGE = 15 * SECOND


class CapacityEstimate:
    """The estimated capacity of the fleet and the floor for one round.

    `other_rounds`: rounds that may run at the same time; the floor meets their requirements as well.
    `observer`: the name of this gateway in gossip.
    `warm_lanes`: lanes estimated to be warm, by host and function; `required_lanes`: the capacity floor;
    `shortfalls`: the rows of the floor that are not met.
    """

    def __init__(self, spec: RoundSpec, other_rounds: Sequence[RoundSpec], observer: str) -> None:
        self.spec, self.other_rounds, self.observer = spec, tuple(other_rounds), observer
        self.incarnations = HostIncarnations()
        self.warm_lanes: WarmLanes = {}
        self.required_lanes: LanesByKey = {}
        self.shortfalls: list[Shortfall] = []

    def update(self, now: int, turn_held_since: int, status: FleetStatus, away: Collection[str]) -> None:
        """Estimates again from what was observed since the turn was granted.

        `away`: the hosts of the round that are out of service.
        """
        counted_since = self.incarnations.counted_since(now, turn_held_since, status)
        self.warm_lanes = warm_capacity.estimate_warm_lanes(
            now, status, observer=self.observer, counted_since=counted_since
        )
        self.required_lanes = capacity_floor.strictest_floor(
            (self.spec, *self.other_rounds), status.demand, status.zones
        )
        if not status.demand or status.demand_age > MAX_DEMAND_AGE:
            self.shortfalls = DEMAND_UNKNOWN
        else:
            self.shortfalls = capacity_floor.find_shortfalls(
                self.fleet_capacity(status), self.spec.survivable_failure, away
            )

    def fleet_capacity(self, status: FleetStatus) -> FleetCapacity:
        """The estimate together with the listed hosts."""
        return FleetCapacity(status.fleet, self.warm_lanes, self.required_lanes)

    def has_all_warm(self, host: str, functions: Collection[str]) -> bool:
        """Whether the host is estimated to have all these functions warm."""
        warm = self.warm_lanes.get(host, {})
        return all(warm.get(function) for function in functions)
