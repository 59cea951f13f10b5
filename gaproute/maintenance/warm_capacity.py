"""Estimates the warm lanes of each host: a lower bound of the true number.

A warm function counts if the host itself reported it to this gateway, or if at least two other gateways saw
it and the host has not reported otherwise since. Observations from before the host's last restart, or from
before this controller was granted the maintenance turn, do not count: they may concern an earlier
incarnation of the host, or the time before another round took the host out. The weight of an observation
decreases with its age.
"""

from collections.abc import Mapping

from gaproute.maintenance.fleet_status import FleetStatus
from gaproute.maintenance.host_report import HostReport
from gaproute.shared.gossip.fleet_view import WarmSighting
from gaproute.units import SECOND

FULL_WEIGHT_AGE = 5 * SECOND  # up to this age an observation counts in full: several probes of one host
# From this age on an observation has no weight; a failed host is detected within this time.
MAX_OBSERVATION_AGE = 20 * SECOND
GOSSIP_DELAY = 5 * SECOND  # added to the age of sightings by others, for the time they may travel
MIN_ORIGINS = 2  # other gateways that must have seen an instance; a single one may be wrong

WarmLanes = dict[str, dict[str, int]]  # lanes by host and function


def age_weight(age: int) -> int:
    """The weight, per mille, of an observation of this age in ns."""
    if age < 0:
        return 0
    if age <= FULL_WEIGHT_AGE:
        return 1000
    return max(0, 1000 * (MAX_OBSERVATION_AGE - age) // (MAX_OBSERVATION_AGE - FULL_WEIGHT_AGE))


def instance_weight(
    now: int,
    function: str,
    report: HostReport,
    sighting: WarmSighting | None,
    *,
    observer: str,
    counted_since: int,
) -> int:
    """The weight, per mille, of a warm instance. Observations up to `counted_since` have no weight.

    `observer`: the name of this gateway in gossip; its own sighting does not count as one of another gateway.
    """
    if function in report.warm_functions:
        return age_weight(now - report.asked_at) if report.asked_at > counted_since else 0
    if sighting is None:
        return 0
    other_origins = sum(name != observer for name in sighting.origins)
    age = sighting.age + GOSSIP_DELAY
    seen_at = now - age
    counts = other_origins >= MIN_ORIGINS and seen_at > counted_since and seen_at > report.asked_at
    return age_weight(age) if counts else 0


def estimate_warm_lanes(
    now: int, status: FleetStatus, *, observer: str, counted_since: Mapping[str, int]
) -> WarmLanes:
    """The lanes that are estimated to be warm now, by host and function.

    `counted_since`: for each host that counts, the time up to which observations have no weight.
    """
    lanes: WarmLanes = {name: {} for name in status.fleet}
    for name, host in status.fleet.items():
        report = status.reports.get(name)
        if report is None or report.draining or name not in counted_since:
            continue
        sighted = [function for function, hosts in status.sightings.items() if name in hosts]
        for function in dict.fromkeys((*report.warm_functions, *sighted)):
            sighting = status.sightings.get(function, {}).get(name)
            weight = instance_weight(
                now, function, report, sighting, observer=observer, counted_since=counted_since[name]
            )
            weight = weight * min(1000, report.capacity) // 1000
            if weight:
                lanes[name][function] = host.lanes * weight // 1000
    return lanes
