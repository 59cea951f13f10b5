"""Invariants of rollouts. Each check returns violations as texts that begin with the invariant's name; all
checks are cheap enough to run at every simulation step."""

from collections import Counter
from collections.abc import Mapping, Sequence

from gaproute.rollouts.campaign import RolloutHost
from gaproute.rollouts.dispatcher import (
    MAX_ALLOTMENTS,
    MAX_IN_FLIGHT_ROLLOUTS,
    MAX_REPORT_AGE,
    RolloutDispatcher,
)
from gaproute.rollouts.groups import MAX_ENDED_GROUPS, MAX_OPEN_GROUPS, RolloutGroups
from gaproute.rollouts.load_limiter import RolloutLoadLimiter
from gaproute.shared.leases.requests import LeaseRequest, LeaseState


def check_dispatcher(dispatcher: RolloutDispatcher, now: int) -> list[str]:
    """Checks that one gateway's rollouts are counted correctly and that their leases outlast them."""
    violations = []
    by_lease: Counter[LeaseRequest] = Counter()
    by_campaign: Counter[tuple[str, str]] = Counter()
    for name, sent in dispatcher.in_flight.items():
        by_lease[sent.lease] += 1
        by_campaign[sent.host, sent.campaign] += 1
        if sent.ends_by > now and not _is_held_until(sent.lease, sent.ends_by):
            violations.append(f"nothing sent without a lease: {name} at {sent.host}, {sent.lease.state}")
    for lease, count in by_lease.items():
        if count > lease.amount:
            violations.append(
                f"capacity never overspent: {count} under a lease of {lease.amount} of {lease.resource}"
            )
    for host, allotment in dispatcher.allotments.items():
        wrong_leases = any(by_lease[lease] != count for lease, count in allotment.leases.items())
        wrong_campaigns = any(by_campaign[host, name] != count for name, count in allotment.in_flight.items())
        if wrong_leases or wrong_campaigns:
            violations.append(f"counts are those of what is in flight: {host}")
    if len(dispatcher.allotments) > MAX_ALLOTMENTS or len(dispatcher.in_flight) > MAX_IN_FLIGHT_ROLLOUTS:
        violations.append("maps are bounded: rollouts in flight")
    return violations


def _is_held_until(lease: LeaseRequest, until: int) -> bool:
    return lease.state == LeaseState.HELD and lease.expires_at is not None and lease.expires_at >= until


def check_sent(dispatcher: RolloutDispatcher, now: int, campaign: str, host: str) -> list[str]:
    """Checks one rollout that is about to be sent and is not recorded yet."""
    allotment = dispatcher.allotments.get(host)
    if allotment is None or not allotment.has_free_lane(now, MAX_REPORT_AGE):
        return [f"production first: a rollout of {campaign} to {host} without its report"]
    return []


def check_groups(groups: RolloutGroups) -> list[str]:
    """Checks the answer counts and the number of one gateway's groups."""
    violations = []
    for name, group in groups.open_groups.items():
        if group.answer_count != sum(group.answered.values()) or len(group.answered) > group.size:
            violations.append(f"a group counts its own: {name}")
    if len(groups.open_groups) > MAX_OPEN_GROUPS or len(groups.ended_groups) > MAX_ENDED_GROUPS:
        violations.append("maps are bounded: groups")
    return violations


def check_reservations(
    hosts: Sequence[RolloutHost], lendable: Mapping[str, int], reserved: Mapping[str, int]
) -> list[str]:
    """Checks that the lendable lanes leave each host and each zone its reserved lanes."""
    left: Counter[str] = Counter()
    totals: Counter[str] = Counter()
    violations = []
    for host in hosts:
        left[host.zone] += host.lanes - lendable[host.name]
        totals[host.zone] += host.lanes
        if not 0 <= lendable[host.name] <= max(0, host.lanes - reserved.get(host.name, 0)):
            violations.append(f"reserved lanes are not lent: {host.name}")
    return violations + [
        f"reserved lanes are not lent: zone {zone}"
        for zone, lanes in left.items()
        if lanes < min(reserved.get(zone, 0), totals[zone])
    ]


def check_loads(limiter: RolloutLoadLimiter) -> list[str]:
    """Checks that rollouts cause no more load orders than their limit allows."""
    if limiter.open_orders < 0 or limiter.counted_orders > limiter.max_orders:
        return [f"rollouts keep to their load limit: {limiter.open_orders} of {limiter.max_orders}"]
    return []
