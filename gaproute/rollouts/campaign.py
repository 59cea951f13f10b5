"""A campaign of rollouts, the hosts that it shares with production, and the lanes that may be lent to it."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from gaproute.shared.leases.commands import expiry_wait
from gaproute.units import SECOND

# A rollout that has not reached its host within this time never does, because its connection is closed.
MAX_TRANSIT_TIME = SECOND
# Time in a lease's duration for its renewal: enough for several attempts to reach the Raft nodes.
RENEWAL_MARGIN = 2 * SECOND


class RolloutHost(NamedTuple):
    """A host that runs rollouts.

    `lanes`: the most concurrent requests.
    `copy_capacity`: space for copies, in the unit of `Campaign.copy_size`.
    """

    name: str
    zone: str
    lanes: int
    copy_capacity: int


@dataclass(frozen=True, kw_only=True)
class Campaign:
    """The requirements of a campaign. Times are in ns.

    `function`, `version`: the model, and the first version of its weights.
    `rollouts_per_step`, `steps`: the rollouts that each training step needs, and the number of steps.
    `max_version_lag`: by how many versions a rollout's weights may be older than the newest.
    `copy_size`: the space that one loaded copy of the model takes.
    `max_duration`, `typical_duration`: durations of one rollout; hosts end a rollout after the maximum.
    `group_size`: the number of rollouts of one prompt, which are usable only together.
    `deadline`, `rate`: time from the campaign's start to its end, or rollouts a second; 0: not required.
    `weight`: the campaign's relative share of the capacity among all campaigns.
    `cancellable`: whether rollouts may be cancelled to free lanes for production.
    `reserved_lanes`: by host or zone, the lanes that rollouts never use.
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
        """The time that a lease must remain valid when a rollout is sent under it, in ns.

        It covers the rollout's transit and maximum duration, even if the host's clock is slow while the lease
        holder's clock is fast.
        """
        return expiry_wait(self.max_duration + MAX_TRANSIT_TIME)

    @property
    def lease_duration(self) -> int:
        """Duration of the campaign's leases: at the renewal after half of it, a whole rollout still fits."""
        return 2 * (self.min_lease_time + RENEWAL_MARGIN)


def strictest_reservations(campaigns: Iterable[Campaign]) -> dict[str, int]:
    """By host or zone, the most lanes that any campaign reserves: all campaigns share the lent lanes."""
    strictest: dict[str, int] = {}
    for campaign in campaigns:
        for name, lanes in campaign.reserved_lanes.items():
            strictest[name] = max(lanes, strictest.get(name, 0))
    return strictest


def lendable_lanes(hosts: Sequence[RolloutHost], reserved: Mapping[str, int]) -> dict[str, int]:
    """By host, the most lanes that may be lent to rollouts.

    A zone's reservation is divided among its hosts: each further lane comes from the host with the most
    lendable lanes left. Each host's pool of lanes then satisfies the host's and its part of the zone's
    reservation by itself, even while gateways cannot reach one another.
    """
    lanes = {host.name: max(0, host.lanes - reserved.get(host.name, 0)) for host in hosts}
    zones: dict[str, list[RolloutHost]] = {}
    for host in hosts:
        zones.setdefault(host.zone, []).append(host)
    for zone, members in zones.items():
        missing_lanes = reserved.get(zone, 0) - sum(host.lanes - lanes[host.name] for host in members)
        while missing_lanes > 0:
            name = max((host.name for host in members), key=lanes.__getitem__)
            if not lanes[name]:
                break
            lanes[name] -= 1
            missing_lanes -= 1
    return lanes
