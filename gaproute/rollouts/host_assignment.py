"""Planned lanes assigned to gateways: each host as a whole to one gateway, which keeps it if possible."""

from collections.abc import Mapping, Sequence
from functools import partial
from typing import NamedTuple

from gaproute.rollouts.campaign import Campaign

CampaignLanes = dict[str, int]  # by campaign
HostLanes = dict[str, CampaignLanes]  # by host


class HostAssignment(NamedTuple):
    """The lanes that each gateway gets, and which gateway has each host."""

    lanes: dict[str, HostLanes]  # by gateway
    owners: dict[str, str]  # by host


def assign_hosts(
    lanes: Mapping[tuple[str, str], int],
    pools: Mapping[str, int],
    gateways: Sequence[str],
    previous_owners: Mapping[str, str],
    zones: Mapping[str, str] | None = None,
) -> HostAssignment:
    """Assigns the hosts where anything is planned to gateways.

    `lanes`: planned by campaign and host; `pools`: by host, the lanes that may be lent.
    `zones`: of gateways and hosts, to keep both near each other. A host's pool is assigned as a whole: what
    is free beyond the plan is used as it comes, since the host itself reports at each moment what is free.
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
    """By host: its last gateway unless that has enough, else a near one with few lanes."""
    lanes = dict.fromkeys(gateways, 0)
    max_lanes = -(-sum(pools.get(host, 0) for host in hosts) // len(gateways))
    owners: dict[str, str] = {}

    def rank(host: str, gateway: str) -> tuple[bool, bool, int, str]:
        """Gateways below their share of lanes come first, then near ones, then those with few lanes."""
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
    """The pool divided in the proportion of the planned lanes, none without one while there are enough."""
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
    """By gateway and campaign: the part of the campaign's rate that its lanes are of all, in rollouts a
    second.

    Campaigns that asked for no rate are left out.
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
