"""Assignment of hosts to gateways: one gateway gets all planned lanes of a host and keeps it if possible."""

from collections.abc import Mapping, Sequence
from functools import partial
from typing import NamedTuple

from gaproute.rollouts.campaign import Campaign

CampaignLanes = dict[str, int]  # by campaign
HostLanes = dict[str, CampaignLanes]  # by host


class HostAssignment(NamedTuple):
    """The lanes that are assigned to each gateway, and the gateway that owns each host."""

    lanes: dict[str, HostLanes]  # by gateway
    owners: dict[str, str]  # by host


def assign_hosts(
    lanes: Mapping[tuple[str, str], int],
    pools: Mapping[str, int],
    gateways: Sequence[str],
    previous_owners: Mapping[str, str],
    zones: Mapping[str, str] | None = None,
) -> HostAssignment:
    """Assigns the hosts with planned lanes to gateways.

    `lanes`: planned lanes by campaign and host; `pools`: by host, the lanes that may be lent.
    `zones`: zones of gateways and hosts; a gateway in the host's zone is preferred.
    A host's whole pool is assigned, not only the planned lanes: the gateway can use further lanes whenever
    the host reports them free.
    """
    planned: HostLanes = {}
    for (campaign, host), count in lanes.items():
        if count > 0:
            planned.setdefault(host, {})[campaign] = count
    assigned: dict[str, HostLanes] = {gateway: {} for gateway in gateways}
    if not gateways:
        return HostAssignment(assigned, {})
    owners = _choose_owners(sorted(planned), pools, gateways, previous_owners, zones or {})
    for host, gateway in owners.items():
        assigned[gateway][host] = _scale_to_pool(planned[host], pools.get(host, 0))
    return HostAssignment(assigned, owners)


def _choose_owners(
    hosts: Sequence[str],
    pools: Mapping[str, int],
    gateways: Sequence[str],
    previous_owners: Mapping[str, str],
    zones: Mapping[str, str],
) -> dict[str, str]:
    """By host: the previous gateway if it is below its share of lanes, else a near one with few lanes."""
    lanes = dict.fromkeys(gateways, 0)
    max_lanes = -(-sum(pools.get(host, 0) for host in hosts) // len(gateways))
    owners: dict[str, str] = {}

    def rank(host: str, gateway: str) -> tuple[bool, bool, int, str]:
        """Sort key: below the share of lanes first, then in the host's zone, then with the fewest lanes."""
        return lanes[gateway] >= max_lanes, zones.get(gateway) != zones.get(host), lanes[gateway], gateway

    for host in hosts:
        previous = previous_owners.get(host)
        if previous in lanes and lanes[previous] < max_lanes:
            owners[host] = previous
            lanes[previous] += pools.get(host, 0)
    for host in hosts:
        if host not in owners:
            owner = min(gateways, key=partial(rank, host))
            owners[host] = owner
            lanes[owner] += pools.get(host, 0)
    return owners


def _scale_to_pool(planned: CampaignLanes, pool: int) -> CampaignLanes:
    """The pool divided in proportion to the planned lanes; each campaign gets a lane if there are enough."""
    total = sum(planned.values())
    if total >= pool:
        return _reduce_to_pool(planned, pool)
    lanes = {name: count + (pool - total) * count // total for name, count in planned.items()}
    most_planned_first = sorted(planned, key=lambda name: (-planned[name], name))
    for name in most_planned_first[: pool - sum(lanes.values())]:
        lanes[name] += 1
    return lanes


def _reduce_to_pool(planned: CampaignLanes, pool: int) -> CampaignLanes:
    lanes = dict(planned)
    while sum(lanes.values()) > pool:
        lanes[max(lanes, key=lambda name: (lanes[name], name))] -= 1
    return {name: count for name, count in lanes.items() if count}


def assign_rates(
    assigned: Mapping[str, HostLanes], campaigns: Mapping[str, Campaign]
) -> dict[str, dict[str, float]]:
    """By gateway and campaign: the gateway's part of the campaign's rate, in rollouts a second.

    The part is proportional to the campaign's lanes at the gateway. Campaigns without a rate are left out.
    """
    totals: dict[str, int] = {}
    for hosts in assigned.values():
        for lanes in hosts.values():
            for name, count in lanes.items():
                totals[name] = totals.get(name, 0) + count
    rates: dict[str, dict[str, float]] = {gateway: {} for gateway in assigned}
    for gateway, hosts in assigned.items():
        for lanes in hosts.values():
            for name, count in lanes.items():
                if campaigns[name].rate:
                    part = campaigns[name].rate * count / totals[name]
                    rates[gateway][name] = rates[gateway].get(name, 0.0) + part
    return rates
