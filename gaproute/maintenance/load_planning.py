"""Which functions are loaded where, so that the capacity suffices while hosts are away.

A host loads one function at a time. Hosts that will go soon load nothing for others if that can be helped.
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
from gaproute.maintenance.host_selection import RoundHosts, by_urgency
from gaproute.maintenance.round_spec import MaintenanceHost, RoundSpec

NEVER = 1 << 30  # position of hosts that are not about to go


class FunctionLoad(NamedTuple):
    """A function that a host loads, or is to load."""

    host: str
    function: str


@dataclass(frozen=True)
class LoadSituation:
    """What limits loads now.

    `free_slots`: of the hosts that may load; `loading`: under way; `max_loads`: at once.
    `to_restore`: by host that came back, the functions that it had before, to be loaded there again.
    """

    free_slots: Mapping[str, int]
    loading: Collection[FunctionLoad]
    to_restore: Mapping[str, Sequence[str]]
    max_loads: int


def plan_loads(
    spec: RoundSpec, capacity: FleetCapacity, hosts: RoundHosts, situation: LoadSituation
) -> list[FunctionLoad]:
    """The loads to be ordered now, in order of importance."""
    planner = _LoadPlanner(spec, capacity, situation)
    planner.restore()
    candidates = [
        name
        for name in by_urgency(spec, capacity.fleet, hosts.waiting)
        if not host_selection.find_conflict(spec, capacity.fleet, name, hosts.away)
    ]
    planner.prepare(hosts.away, candidates)
    return planner.planned


class _LoadPlanner:
    """Plans loads one after the other; `warm`: the lanes once all planned loads have ended."""

    def __init__(self, spec: RoundSpec, capacity: FleetCapacity, situation: LoadSituation) -> None:
        self.spec, self.fleet, self.required = spec, capacity.fleet, capacity.required
        self.situation = situation
        self.warm = {name: dict(functions) for name, functions in capacity.warm.items()}
        for host, function in situation.loading:
            self.warm[host][function] = self.fleet[host].lanes
        self.remaining = situation.max_loads - len(situation.loading)
        self.busy = {host for host, _ in situation.loading}
        self.planned: list[FunctionLoad] = []
        self.departure_order: dict[str, int] = {}  # of the hosts that go next

    def restore(self) -> None:
        """Loads again what hosts had before they were taken out."""
        for host, functions in self.situation.to_restore.items():
            for function in functions:
                if self.remaining > 0 and self._can_load(host) and function not in self.warm[host]:
                    self._load(FunctionLoad(host, function))

    def prepare(self, away: Collection[str], candidates: Sequence[str]) -> None:
        """Loads what is missing now, or else what would be missing without the next host."""
        self.departure_order = {name: position for position, name in enumerate(candidates)}
        for leaving in ((), *((name,) for name in candidates)):
            self._fill(tuple((*away, *leaving)))
            if self.planned or self.situation.loading:
                break  # one host after the other is prepared for

    def _fill(self, without: tuple[str, ...]) -> None:
        while self.remaining > 0:
            capacity = FleetCapacity(self.fleet, self.warm, self.required)
            shortfalls = find_shortfalls(capacity, self.spec.survivable_failure, without)
            load = self._most_useful_load(shortfalls, without)
            if load is None:
                return
            self._load(load)

    def _load(self, load: FunctionLoad) -> None:
        self.remaining -= 1
        self.busy.add(load.host)
        self.warm[load.host][load.function] = self.fleet[load.host].lanes
        self.planned.append(load)

    def _can_load(self, host: str) -> bool:
        return host not in self.busy and self.situation.free_slots.get(host, 0) > 0

    def _most_useful_load(
        self, shortfalls: Sequence[Shortfall], without: Collection[str]
    ) -> FunctionLoad | None:
        """Of the first shortfall that any load helps: by a host that leaves late and has many lanes."""
        for shortfall in shortfalls:
            loads = [
                FunctionLoad(name, function)
                for name in self.situation.free_slots
                if self._can_load(name) and name not in without and _helps(self.fleet[name], shortfall)
                if (function := self._function_for(name, shortfall, shortfalls)) is not None
            ]
            if loads:
                return min(loads, key=self._preference)
        return None

    def _preference(self, load: FunctionLoad) -> tuple[int, int, FunctionLoad]:
        departure = self.departure_order.get(load.host, NEVER)
        return -departure, -self.fleet[load.host].lanes, load

    def _function_for(self, host: str, shortfall: Shortfall, shortfalls: Sequence[Shortfall]) -> str | None:
        """What the host would have to load against the shortfall; None if that is of no use."""
        function: str | None = shortfall.key.function
        if function == ALL_FUNCTIONS:
            if self.warm[host]:
                return None  # it counts there already
            missing = (other.key.function for other in shortfalls if other.key.function != ALL_FUNCTIONS)
            function = next(missing, None) or self._most_common_function()
        return None if function is None or function in self.warm[host] else function

    def _most_common_function(self) -> str | None:
        """The function with most instances: the likeliest to be requested."""
        counts: dict[str, int] = {}
        for functions in self.warm.values():
            for name in functions:
                counts[name] = counts.get(name, 0) + 1
        return max(counts, key=lambda name: (counts[name], name), default=None)


def _helps(host: MaintenanceHost, shortfall: Shortfall) -> bool:
    """Whether lanes of this host count where they are missing, also in the failure that is considered."""
    in_scope = shortfall.key.scope in (WHOLE_FLEET, host.zone)
    return in_scope and shortfall.failure not in (host.name, host.rack, host.zone)
