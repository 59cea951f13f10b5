"""The capacity floor: warm lanes that each function requires, in the whole fleet and in each zone.

A host's lanes count for every function that it has loaded. So that one lane is not relied on for all of
them at once, the row `ALL_FUNCTIONS` compares the lanes of all hosts with anything loaded to the sum of all
demand. Lanes are whole numbers, requirements rounded up.
"""

from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import msgspec

from gaproute.maintenance.round_spec import FAILURE_LEVELS, Fleet, MaintenanceHost, RoundSpec

ALL_FUNCTIONS = "*"  # no function may have this name
WHOLE_FLEET = ""  # the scope beside the zones


class CapacityKey(NamedTuple):
    """A row of the floor. `scope`: a zone, or `WHOLE_FLEET`."""

    function: str
    scope: str


Lanes = dict[CapacityKey, int]


class Shortfall(NamedTuple):
    """A row with fewer lanes than required; `failure`: what would have to fail first, or ""."""

    key: CapacityKey
    required: int
    available: int
    failure: str = ""


# If no gateway reports demand.
DEMAND_UNKNOWN = [Shortfall(CapacityKey("demand", WHOLE_FLEET), 0, 0, "unknown")]


@dataclass(frozen=True)
class FleetCapacity:
    """The hosts of the fleet, the lanes that functions have warm there, and the lanes required."""

    fleet: Fleet
    warm: Mapping[str, Mapping[str, int]]
    required: Mapping[CapacityKey, int]


def required_lanes(spec: RoundSpec, demand: Mapping[str, int], zones: Collection[str]) -> Lanes:
    """The floor of one round. `demand`: by function, the lanes in use at its peak."""
    peaks = {name: demand.get(name, 0) for name in spec.functions or tuple(demand)}
    lanes: Lanes = {}
    for name, peak in (*peaks.items(), (ALL_FUNCTIONS, sum(demand.values()))):
        lanes[CapacityKey(name, WHOLE_FLEET)] = _divide_up(peak * (1000 + spec.margin), 1000)
        for zone in zones if spec.zone_share else ():
            lanes[CapacityKey(name, zone)] = _divide_up(peak * spec.zone_share, 1000 * len(zones))
    return {key: count for key, count in lanes.items() if count > 0}


def _divide_up(dividend: int, divisor: int) -> int:
    return -(-dividend // divisor)


def strictest_floor(specs: Iterable[RoundSpec], demand: Mapping[str, int], zones: Collection[str]) -> Lanes:
    """The floor of several rounds that may run at once: the most of each row."""
    strictest: Lanes = {}
    for spec in specs:
        for key, lanes in required_lanes(spec, demand, zones).items():
            strictest[key] = max(lanes, strictest.get(key, 0))
    return strictest


def with_strictest_failure(spec: RoundSpec, others: Iterable[RoundSpec]) -> RoundSpec:
    """The round, prepared for the worst failure that it or any of the others is to survive."""
    levels = [spec.survivable_failure, *(other.survivable_failure for other in others)]
    return msgspec.structs.replace(spec, survivable_failure=max(levels, key=FAILURE_LEVELS.index))


def host_lanes(host: MaintenanceHost, functions: Mapping[str, int]) -> Lanes:
    """What one host adds to each row. `functions`: its warm lanes by function."""
    if not functions:
        return {}
    rows = {**functions, ALL_FUNCTIONS: max(functions.values())}
    return {
        CapacityKey(name, scope): lanes for name, lanes in rows.items() for scope in (WHOLE_FLEET, host.zone)
    }


def available_lanes(
    fleet: Fleet, warm: Mapping[str, Mapping[str, int]], without: Collection[str] = ()
) -> Lanes:
    """The lanes of all hosts but those in `without`."""
    total: Lanes = {}
    for name, functions in _hosts_in_service(warm, without):
        _add(total, host_lanes(fleet[name], functions))
    return total


def possible_failures(
    capacity: FleetCapacity, level: str, without: Collection[str] = ()
) -> list[tuple[str, Lanes]]:
    """Each host, rack or zone that has anything warm, with the lanes that are lost if it fails."""
    if not level:
        return []
    lost: dict[str, Lanes] = {}
    for name, functions in _hosts_in_service(capacity.warm, without):
        host = capacity.fleet[name]
        unit = name if level == "host" else getattr(host, level)
        _add(lost.setdefault(unit, {}), host_lanes(host, functions))
    return list(lost.items())


def find_shortfalls(capacity: FleetCapacity, level: str, without: Collection[str] = ()) -> list[Shortfall]:
    """The rows that fall short without these hosts, now or if any one host, rack or zone (`level`) fails.

    An empty list if the floor is met. If a zone fails, nothing is required within that zone.
    """
    available = available_lanes(capacity.fleet, capacity.warm, without)
    shortfalls = [
        Shortfall(key, required, available.get(key, 0))
        for key, required in capacity.required.items()
        if available.get(key, 0) < required
    ]
    if shortfalls:
        return shortfalls
    for unit, lost in possible_failures(capacity, level, without):
        for key, lanes in lost.items():
            required = capacity.required.get(key, 0)
            if available[key] - lanes < required and not (level == "zone" and key.scope == unit):
                shortfalls.append(Shortfall(key, required, available[key] - lanes, unit))
    return shortfalls


def describe(shortfalls: list[Shortfall]) -> str:
    """A text about the first shortfall."""
    if shortfalls == DEMAND_UNKNOWN:
        return "demand: no gateway reports it"
    (function, scope), required, available, failure = shortfalls[0]
    where = f"in zone {scope}" if scope else "in the fleet"
    name = "all functions together" if function == ALL_FUNCTIONS else function
    condition = f" if {failure} fails" if failure else ""
    return f"floor: {name} {where} needs {required} warm lanes, has {available}{condition}"


def _hosts_in_service(
    warm: Mapping[str, Mapping[str, int]], without: Collection[str]
) -> Iterator[tuple[str, Mapping[str, int]]]:
    for name, functions in warm.items():
        if functions and name not in without:
            yield name, functions


def _add(total: Lanes, lanes: Lanes) -> None:
    for key, count in lanes.items():
        total[key] = total.get(key, 0) + count
