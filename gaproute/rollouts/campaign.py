"""A campaign of rollouts, the hosts that it shares with production, and what of these hosts may be lent."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from gaproute.shared.leases.commands import expiry_wait
from gaproute.units import SECOND

# A rollout that has not reached its host by then never does: its connection is closed.
MAX_TRANSIT_TIME = SECOND
# Of a lease beside the rollouts under it: several attempts to reach the Raft nodes.
RENEWAL_MARGIN = 2 * SECOND


class RolloutHost(NamedTuple):
    """A host. `lanes`: requests at once; `copy_capacity`: for copies, in the unit of `Campaign.copy_size`."""

    name: str
    zone: str
    lanes: int
    copy_capacity: int


@dataclass(frozen=True, kw_only=True)
class Campaign:
    """What a campaign asks for. Times are in ns.

    `function`, `version`: the model, and the version of its weights to begin with.
    `rollouts_per_step`, `steps`: training steps, and rollouts that each of them needs.
    `max_version_lag`: by how many versions a rollout's weights may be behind the newest.
    `copy_size`: of one loaded copy of the model.
    `max_duration`, `typical_duration`: of one rollout; hosts end it after the maximum.
    `group_size`: rollouts of one prompt, which count only together.
    `deadline`: from the beginning, or `rate`: rollouts a second; 0 where not asked for.
    `weight`: share of the capacity beside other campaigns; `cancellable`: whether rollouts may be cancelled
    for production.
    `reserved_lanes`: by host or zone, lanes that rollouts never take.
    """

    name: str
    function: str
    version: int
    rollouts_per_step: int
    steps: int
    max_version_lag: int
    copy_size: int
    max_duration: int
    typical_duration: int
    group_size: int = 1
    deadline: int = 0
    rate: float = 0.0
    weight: int = 1
    cancellable: bool = True
    reserved_lanes: dict[str, int] = field(default_factory=dict)

    @property
    def min_lease_time(self) -> int:
        """What must be left of a lease under which a rollout is sent now: its way and its longest run.

        The host's clock may be slow while the lease holder's is fast.
        """
        return expiry_wait(self.max_duration + MAX_TRANSIT_TIME)

    @property
    def lease_duration(self) -> int:
        """Of the leases that it needs: renewed after half of it, there is time left for a whole rollout."""
        return 2 * (self.min_lease_time + RENEWAL_MARGIN)


def strictest_reservations(campaigns: Iterable[Campaign]) -> dict[str, int]:
    """By host or zone, the most lanes that any campaign reserves: campaigns share the lent lanes."""
    strictest: dict[str, int] = {}
    for campaign in campaigns:
        for name, lanes in campaign.reserved_lanes.items():
            strictest[name] = max(lanes, strictest.get(name, 0))
    return strictest


def lendable_lanes(hosts: Sequence[RolloutHost], reserved: Mapping[str, int]) -> dict[str, int]:
    """By host, the lanes that may be lent to rollouts at most.

    What is reserved of a zone is divided among its hosts, taken from those with most left first. So each
    host's pool of lanes keeps both reservations by itself, whichever gateways cannot reach one another.
    """
    lanes = {host.name: max(0, host.lanes - reserved.get(host.name, 0)) for host in hosts}
    zones: dict[str, list[RolloutHost]] = {}
    for host in hosts:
        zones.setdefault(host.zone, []).append(host)
    for zone, members in zones.items():
        missing = reserved.get(zone, 0) - sum(host.lanes - lanes[host.name] for host in members)
        while missing > 0:
            name = max((host.name for host in members), key=lanes.__getitem__)
            if not lanes[name]:
                break
            lanes[name] -= 1
            missing -= 1
    return lanes
