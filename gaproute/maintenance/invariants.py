"""Invariants of a running round, checked against what its controller estimates.

Each check returns a message for each violation; a message starts with the name of the invariant.
"""

from collections.abc import Iterator, MutableMapping

from gaproute.maintenance.controller import RoundController
from gaproute.maintenance.fleet_status import FleetStatus
from gaproute.maintenance.host_progress import HostState
from gaproute.maintenance.host_report import is_responsive
from gaproute.maintenance.host_selection import ExclusiveGroup, exclusive_groups
from gaproute.maintenance.orders import GrantRejection, HostGrant
from gaproute.maintenance.progress_planner import ORDER_EFFECT_TIMEOUT
from gaproute.maintenance.round_log import RoundStage
from gaproute.maintenance.round_spec import Fleet
from gaproute.maintenance.warm_capacity import GOSSIP_DELAY, MIN_ORIGINS, age_weight

MAX_RECENT_ORDERS = 4096
STATES_WITH_LEASE = (HostState.REQUESTING_LEASE, HostState.READY, HostState.HANDED_OVER)


def check_round(controller: RoundController, now: int, fleet: Fleet) -> list[str]:
    """Violations in the state of the whole round; cheap enough to check at every tick."""
    return [
        *_check_limits(controller, fleet),
        *_check_bounds(controller, now, fleet),
        *_check_leases(controller),
    ]


def _check_limits(controller: RoundController, fleet: Fleet) -> Iterator[str]:
    away, spec = controller.transitions.away_host_names(), controller.spec
    if len(away) > spec.max_away:
        yield f"at most {spec.max_away} hosts away at once: {away}"
    members: dict[ExclusiveGroup, str] = {}
    for name in away:
        for group in exclusive_groups(spec, fleet, name) if name in fleet else ():
            if group in members:
                yield f"no two hosts of an exclusive group away at once: {members[group]} and {name}"
            members[group] = name


def _check_bounds(controller: RoundController, now: int, fleet: Fleet) -> Iterator[str]:
    recent = controller.planner.recent_orders
    away = controller.transitions.away_host_names()
    orders = [*recent.serve_ordered_at.values(), *recent.load_ordered_at.values()]
    if len(controller.hosts) > len(fleet) + len(away) or len(orders) > MAX_RECENT_ORDERS:
        yield "maps are bounded: more hosts or recent orders than allowed"
    overdue = any(now - at > 2 * ORDER_EFFECT_TIMEOUT for at in orders)
    if overdue and controller.log.stage == RoundStage.RUNNING:
        yield "maps are bounded: a recent order was not removed in time"


def _check_leases(controller: RoundController) -> Iterator[str]:
    for host in controller.hosts.values():
        if host.lease is not None and not host.is_away:
            yield f"only a host that is taken out has a lease: {host.name} is {host.state}"
        if host.lease is None and host.state in STATES_WITH_LEASE:
            yield f"no host out of service without a lease: {host.name} is {host.state}"


def check_estimate(controller: RoundController, now: int, status: FleetStatus) -> list[str]:
    """Violations where the estimate of warm capacity exceeds what was reported or seen lately."""
    if controller.log.is_over:
        return []  # the estimate of warm capacity is not updated once the round is over
    return [
        violation
        for name, functions in controller.estimate.warm_lanes.items()
        for function, lanes in functions.items()
        for violation in _check_lanes(now, status, name, function, lanes)
    ]


def _check_lanes(now: int, status: FleetStatus, name: str, function: str, lanes: int) -> Iterator[str]:
    report = status.reports.get(name)
    sighting = status.sightings.get(function, {}).get(name)
    if not is_responsive(report, now) or report.draining:
        yield f"an absent or draining host has no warm lanes: {name}"
        return
    if function in report.warm_functions:
        weight = age_weight(now - report.asked_at)
    elif sighting is not None and len(sighting.origins) >= MIN_ORIGINS:
        weight = age_weight(sighting.age + GOSSIP_DELAY)
    else:
        yield f"a function counts only after it is seen warm: {function} at {name}"
        return
    if lanes * 1000 > status.fleet[name].lanes * weight:
        yield f"an observation counts less with its age: {name} counts {lanes} lanes at {weight} per mille"


def check_grant(
    controller: RoundController,
    now: int,
    name: str,
    answer: HostGrant | GrantRejection,
    greatest_tokens: MutableMapping[str, int],
) -> list[str]:
    """Violations of one answer to a crew.

    `greatest_tokens`: the greatest fencing token granted so far, by host and over all rounds; updated here.
    """
    if isinstance(answer, GrantRejection):
        return []
    host, violations = controller.hosts[name], []
    if not (controller.holds_turn(now) and host.holds_lease(now)):
        violations.append(f"no host out of service without a lease: {name}")
    if answer.fencing_token < greatest_tokens.get(name, 0):
        violations.append(
            f"no host out of service on an old fencing token: {name} by {answer.fencing_token}"
            f" after {greatest_tokens[name]}"
        )
    shortfalls = controller.estimate.shortfalls
    if shortfalls and host.state_since == now:
        violations.append(
            f"the estimated capacity meets the floor: {shortfalls[0]} when {name} was handed over"
        )
    greatest_tokens[name] = max(answer.fencing_token, greatest_tokens.get(name, 0))
    return violations
