"""The capacity floor: the warm lanes that each function requires, in the whole fleet and in each zone.

A host's lanes count for every function that the host has loaded. So that one lane is not relied on for
several functions at once, the row `ALL_FUNCTIONS` compares the lanes of all hosts that have any function
loaded to the sum of all demand. Lanes are whole numbers; requirements are rounded up.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from gaproute.maintenance.round_spec import FAILURE_LEVELS, Fleet, MaintenanceHost, RoundSpec

ALL_FUNCTIONS = "*"  # the row for all functions together; no function may have this name
WHOLE_FLEET = ""  # the scope of a row that counts the lanes of all zones


class CapacityKey(NamedTuple):
    """Identifies a row of the capacity floor. `scope`: a zone, or `WHOLE_FLEET`."""

    function: str
    scope: str


LanesByKey = dict[CapacityKey, int]


class Shortfall(NamedTuple):
    """A row of the capacity floor with fewer lanes than required.

    `assumed_failure`: the host, rack or zone whose failure would cause the shortfall; "" if the row falls
    short without a failure.
    """

    key: CapacityKey
    required: int
    available: int
    assumed_failure: str = ""


# The shortfalls if no gateway reports demand: then no capacity counts as sufficient.
DEMAND_UNKNOWN = [Shortfall(CapacityKey("demand", WHOLE_FLEET), 0, 0, "unknown")]


@dataclass(frozen=True)
class FleetCapacity:
    """The hosts of the fleet, their warm lanes and the required lanes.

    `warm_lanes`: by host and function; `required_lanes`: the capacity floor.
    """

    fleet: Fleet
    warm_lanes: Mapping[str, Mapping[str, int]]
    required_lanes: Mapping[CapacityKey, int]


def required_lanes(spec: RoundSpec, demand: Mapping[str, int], zones: Collection[str]) -> LanesByKey:
    """The capacity floor of one round. `demand`: lanes in use at the peak, by function."""
    peaks = {name: demand.get(name, 0) for name in spec.functions or tuple(demand)}
    lanes: LanesByKey = {}
    for name, peak in (*peaks.items(), (ALL_FUNCTIONS, sum(demand.values()))):
        lanes[CapacityKey(name, WHOLE_FLEET)] = _divide_rounding_up(peak * (1000 + spec.margin), 1000)
        for zone in zones if spec.zone_share else ():
            lanes[CapacityKey(name, zone)] = _divide_rounding_up(peak * spec.zone_share, 1000 * len(zones))
    return {key: count for key, count in lanes.items() if count > 0}


def _divide_rounding_up(dividend: int, divisor: int) -> int:
    return -(-dividend // divisor)


def strictest_floor(
    specs: Iterable[RoundSpec], demand: Mapping[str, int], zones: Collection[str]
) -> LanesByKey:
    """The capacity floor of several rounds that may run at once: the highest requirement of each row."""
    strictest: LanesByKey = {}
    for spec in specs:
        for key, lanes in required_lanes(spec, demand, zones).items():
            strictest[key] = max(lanes, strictest.get(key, 0))
    return strictest


def with_strictest_failure_level(spec: RoundSpec, others: Iterable[RoundSpec]) -> RoundSpec:
    """The round with the strictest failure level that this round or any of the others has to survive."""
    levels = [spec.survivable_failure, *(other.survivable_failure for other in others)]
    return msgspec.structs.replace(spec, survivable_failure=max(levels, key=FAILURE_LEVELS.index))


def host_lanes(host: MaintenanceHost, functions: Mapping[str, int]) -> LanesByKey:
    """The lanes that one host adds to each row. `functions`: the host's warm lanes by function."""
    if not functions:
        return {}
    rows = {**functions, ALL_FUNCTIONS: max(functions.values())}
    return {
        CapacityKey(name, scope): lanes for name, lanes in rows.items() for scope in (WHOLE_FLEET, host.zone)
    }


def available_lanes(
    fleet: Fleet, warm_lanes: Mapping[str, Mapping[str, int]], excluded_hosts: Collection[str] = ()
) -> LanesByKey:
    """The warm lanes of all hosts except `excluded_hosts`."""
    total: LanesByKey = {}
    for name, functions in _hosts_in_service(warm_lanes, excluded_hosts):
        _add_lanes(total, host_lanes(fleet[name], functions))
    return total


def possible_failures(
    capacity: FleetCapacity, failure_level: str, excluded_hosts: Collection[str] = ()
) -> list[tuple[str, LanesByKey]]:
    """Each host, rack or zone that has any warm function, with the lanes that its failure would remove.

    `failure_level`: "host", "rack" or "zone"; "" assumes no failure.
    """
    if not failure_level:
        return []
    lost: dict[str, LanesByKey] = {}
    for name, functions in _hosts_in_service(capacity.warm_lanes, excluded_hosts):
        host = capacity.fleet[name]
        failed_domain = name if failure_level == "host" else getattr(host, failure_level)
        _add_lanes(lost.setdefault(failed_domain, {}), host_lanes(host, functions))
    return list(lost.items())


def find_shortfalls(
    capacity: FleetCapacity, failure_level: str, excluded_hosts: Collection[str] = ()
) -> list[Shortfall]:
    """The rows that fall short without the excluded hosts; an empty list if the capacity floor is met.

    If no row falls short now, each failure of one host, rack or zone (`failure_level`) is assumed in turn.
    Within a zone that is assumed to fail, no lanes are required.
    """
    available = available_lanes(capacity.fleet, capacity.warm_lanes, excluded_hosts)
    shortfalls = [
        Shortfall(key, required, available.get(key, 0))
        for key, required in capacity.required_lanes.items()
        if available.get(key, 0) < required
    ]
    if shortfalls:
        return shortfalls
    for failed_domain, lost in possible_failures(capacity, failure_level, excluded_hosts):
        for key, lanes in lost.items():
            required = capacity.required_lanes.get(key, 0)
            if available[key] - lanes < required and not (
                failure_level == "zone" and key.scope == failed_domain
            ):
                shortfalls.append(Shortfall(key, required, available[key] - lanes, failed_domain))
    return shortfalls


def describe_first_shortfall(shortfalls: list[Shortfall]) -> str:
    """A message about the first of the shortfalls."""
    if shortfalls == DEMAND_UNKNOWN:
        return "demand: no gateway reports it"
    (function, scope), required, available, assumed_failure = shortfalls[0]
    where = f"in zone {scope}" if scope else "in the fleet"
    name = "all functions together" if function == ALL_FUNCTIONS else function
    condition = f" if {assumed_failure} fails" if assumed_failure else ""
    return f"floor: {name} {where} needs {required} warm lanes, has {available}{condition}"


def _hosts_in_service(
    warm_lanes: Mapping[str, Mapping[str, int]], excluded_hosts: Collection[str]
) -> Iterator[tuple[str, Mapping[str, int]]]:
    for name, functions in warm_lanes.items():
        if functions and name not in excluded_hosts:
            yield name, functions


def _add_lanes(total: LanesByKey, lanes: LanesByKey) -> None:
    for key, count in lanes.items():
        total[key] = total.get(key, 0) + count
