"""Plans which functions are loaded at which hosts, so that the capacity suffices while hosts are away.

A host loads one function at a time. Hosts that will be taken out soon replace the capacity of others
only if no other host can.
"""

from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from typing import NamedTuple

from gaproute.maintenance import host_selection
from gaproute.maintenance.capacity_floor import (
    ALL_FUNCTIONS,
    WHOLE_FLEET,
    FleetCapacity,
    Shortfall,
    find_shortfalls,
)
from gaproute.maintenance.host_selection import RoundHosts, order_by_urgency
from gaproute.maintenance.round_spec import MaintenanceHost, RoundSpec

NO_DEPARTURE = 1 << 30  # position of hosts that will not be taken out next


class FunctionLoad(NamedTuple):
    """A load of a function at a host, planned or in progress."""

    host: str
    function: str


@dataclass(frozen=True)
class LoadSituation:
    """The loads that are possible and the loads that are due.

    `free_slots`: by host, for the hosts that may load; `max_loads`: the number of loads in progress at once.
    `functions_to_reload`: for each host that is back, the functions that it had before it was taken out.
    """

    free_slots: Mapping[str, int]
    loads_in_progress: Collection[FunctionLoad]
    functions_to_reload: Mapping[str, Sequence[str]]
    max_loads: int


def plan_loads(
    spec: RoundSpec, capacity: FleetCapacity, hosts: RoundHosts, situation: LoadSituation
) -> list[FunctionLoad]:
    """The loads to order now, the most important first."""
    planner = _LoadPlanner(spec, capacity, situation)
    planner.plan_reloads()
    candidates = [
        name
        for name in order_by_urgency(spec, capacity.fleet, hosts.waiting)
        if not host_selection.find_conflict(spec, capacity.fleet, name, hosts.away)
    ]
    planner.plan_preparations(hosts.away, candidates)
    return planner.planned_loads


class _LoadPlanner:
    """Plans loads one after the other.

    `warm_lanes`: the lanes once all planned loads and those in progress have ended.
    `departure_positions`: positions of the hosts that are taken out next, in their order.
    """

    def __init__(self, spec: RoundSpec, capacity: FleetCapacity, situation: LoadSituation) -> None:
        self.spec, self.fleet, self.required_lanes = spec, capacity.fleet, capacity.required_lanes
        self.situation = situation
        self.warm_lanes = {name: dict(functions) for name, functions in capacity.warm_lanes.items()}
        for host, function in situation.loads_in_progress:
            self.warm_lanes[host][function] = self.fleet[host].lanes
        self.remaining_loads = situation.max_loads - len(situation.loads_in_progress)
        self.busy_hosts = {host for host, _ in situation.loads_in_progress}
        self.planned_loads: list[FunctionLoad] = []
        self.departure_positions: dict[str, int] = {}

    def plan_reloads(self) -> None:
        """Plans to load again the functions that hosts had before they were taken out."""
        for host, functions in self.situation.functions_to_reload.items():
            for function in functions:
                if (
                    self.remaining_loads > 0
                    and self._can_load(host)
                    and function not in self.warm_lanes[host]
                ):
                    self._add_load(FunctionLoad(host, function))

    def plan_preparations(self, away: Collection[str], candidates: Sequence[str]) -> None:
        """Plans loads against present shortfalls, or else against those that a departure would cause."""
        self.departure_positions = {name: position for position, name in enumerate(candidates)}
        for leaving in ((), *((name,) for name in candidates)):
            self._plan_against_shortfalls(tuple((*away, *leaving)))
            if self.planned_loads or self.situation.loads_in_progress:
                break  # departures are prepared one host at a time

    def _plan_against_shortfalls(self, excluded_hosts: tuple[str, ...]) -> None:
        while self.remaining_loads > 0:
            capacity = FleetCapacity(self.fleet, self.warm_lanes, self.required_lanes)
            shortfalls = find_shortfalls(capacity, self.spec.survivable_failure, excluded_hosts)
            load = self._most_useful_load(shortfalls, excluded_hosts)
            if load is None:
                return
            self._add_load(load)

    def _add_load(self, load: FunctionLoad) -> None:
        self.remaining_loads -= 1
        self.busy_hosts.add(load.host)
        self.warm_lanes[load.host][load.function] = self.fleet[load.host].lanes
        self.planned_loads.append(load)

    def _can_load(self, host: str) -> bool:
        return host not in self.busy_hosts and self.situation.free_slots.get(host, 0) > 0

    def _most_useful_load(
        self, shortfalls: Sequence[Shortfall], excluded_hosts: Collection[str]
    ) -> FunctionLoad | None:
        """The best load against the first shortfall that a load can reduce; None if there is none.

        Hosts that are taken out late are preferred, then hosts with many lanes.
        """
        for shortfall in shortfalls:
            loads = [
                FunctionLoad(name, function)
                for name in self.situation.free_slots
                if self._can_load(name)
                and name not in excluded_hosts
                and _reduces_shortfall(self.fleet[name], shortfall)
                if (function := self._function_for(name, shortfall, shortfalls)) is not None
            ]
            if loads:
                return min(loads, key=self._preference_key)
        return None

    def _preference_key(self, load: FunctionLoad) -> tuple[int, int, FunctionLoad]:
        departure = self.departure_positions.get(load.host, NO_DEPARTURE)
        return -departure, -self.fleet[load.host].lanes, load

    def _function_for(self, host: str, shortfall: Shortfall, shortfalls: Sequence[Shortfall]) -> str | None:
        """The function that the host would load against the shortfall; None if no load there reduces it."""
        function: str | None = shortfall.key.function
        if function == ALL_FUNCTIONS:
            if self.warm_lanes[host]:
                return None  # the host counts for this row already
            missing = (other.key.function for other in shortfalls if other.key.function != ALL_FUNCTIONS)
            function = next(missing, None) or self._most_common_function()
        return None if function is None or function in self.warm_lanes[host] else function

    def _most_common_function(self) -> str | None:
        """The function with the most instances, which is the most likely to be requested."""
        counts: dict[str, int] = {}
        for functions in self.warm_lanes.values():
            for name in functions:
                counts[name] = counts.get(name, 0) + 1
        return max(counts, key=lambda name: (counts[name], name), default=None)


def _reduces_shortfall(host: MaintenanceHost, shortfall: Shortfall) -> bool:
    """Whether lanes of this host count for the row of the shortfall, also under its assumed failure."""
    in_scope = shortfall.key.scope in (WHOLE_FLEET, host.zone)
    return in_scope and shortfall.assumed_failure not in (host.name, host.rack, host.zone)
