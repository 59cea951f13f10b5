"""Checks the feasibility of a round: simulates the round with estimated durations before it starts."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

import msgspec

from gaproute.maintenance.capacity_floor import (
    FleetCapacity,
    Shortfall,
    describe_first_shortfall,
    find_shortfalls,
    host_lanes,
)
from gaproute.maintenance.host_selection import (
    BlockedHost,
    HostOrdering,
    RoundHosts,
    Selection,
    order_by_urgency,
    select_hosts,
)
from gaproute.maintenance.load_planning import FunctionLoad, LoadSituation, plan_loads
from gaproute.maintenance.round_spec import RoundSpec
from gaproute.units import SECOND


class SchedulingEstimates(msgspec.Struct, frozen=True):
    """Expected durations of the steps of a round, in ns, and the limit of loads at once.

    `drain_time`: until a host has drained; `load_time`: to load one function; `detection_time`: until a
    change at a host is noticed. `max_loads`: the number of loads that a round may have in progress.
    """

    drain_time: int = 6 * SECOND
    load_time: int = 4 * SECOND
    detection_time: int = 2 * SECOND
    max_loads: int = 2


class Departure(NamedTuple):
    """The time at which a host is taken out of service, in ns from the start of the round."""

    at: int
    host: str


class RoundForecast(msgspec.Struct, frozen=True):
    """The expected course of a round.

    `end`: when all hosts are back in service; `obstacle`: why the round cannot be carried out, or "".
    """

    departures: tuple[Departure, ...]
    end: int
    obstacle: str = ""


def forecast_round(
    spec: RoundSpec,
    capacity: FleetCapacity,
    hosts: Sequence[str],
    free_slots: Mapping[str, int],
    estimates: SchedulingEstimates,
    ordering: HostOrdering = order_by_urgency,
) -> RoundForecast:
    """Simulates the round. The forecast of a round that cannot be carried out names the first obstacle.

    `hosts`: the hosts of the round; `free_slots`: by host.
    """
    excess = _above_total_capacity(capacity)
    if excess:
        return RoundForecast(
            (), 0, f"{describe_first_shortfall(excess)}: more than the capacity of the whole fleet"
        )
    return _ForecastRun(spec, capacity, hosts, free_slots, estimates, ordering).run()


def _above_total_capacity(capacity: FleetCapacity) -> list[Shortfall]:
    """The rows that would fall short even if every host had every function warm."""
    total: dict[tuple[str, str], int] = {}
    for host in capacity.fleet.values():
        functions = dict.fromkeys([key.function for key in capacity.required_lanes], host.lanes)
        for key, lanes in host_lanes(host, functions).items():
            total[key] = total.get(key, 0) + lanes
    return [
        Shortfall(key, required, total.get(key, 0))
        for key, required in capacity.required_lanes.items()
        if required > total.get(key, 0)
    ]


class _ForecastRun:
    """One simulated run of a round. Times are in ns from the start of the round.

    `away_until`: when each host that is away is back; `loading_until`: when each load ends.
    `previous_functions`: the functions that each host had warm before it was taken out of service.
    """

    def __init__(
        self,
        spec: RoundSpec,
        capacity: FleetCapacity,
        hosts: Sequence[str],
        free_slots: Mapping[str, int],
        estimates: SchedulingEstimates,
        ordering: HostOrdering,
    ) -> None:
        self.spec, self.estimates, self.ordering = spec, estimates, ordering
        self.warm_lanes = {name: dict(functions) for name, functions in capacity.warm_lanes.items()}
        self.capacity = FleetCapacity(capacity.fleet, self.warm_lanes, capacity.required_lanes)
        self.initial_shortfalls = find_shortfalls(self.capacity, spec.survivable_failure)
        self.absence_duration = estimates.drain_time + spec.max_absence + estimates.detection_time
        self.now = 0
        self.waiting_hosts, self.free_slots = list(hosts), dict(free_slots)
        self.away_until: dict[str, int] = {}
        self.loading_until: dict[FunctionLoad, int] = {}
        self.previous_functions: dict[str, tuple[str, ...]] = {}
        self.departures: list[Departure] = []

    def run(self) -> RoundForecast:
        """Runs until all hosts are back or no further step is possible."""
        while True:
            selection = self._start_departures()
            self._start_loads()
            ends = [*self.away_until.values(), *self.loading_until.values()]
            if not ends:
                return (
                    self._blocked_forecast(selection.first_blocked)
                    if self.waiting_hosts
                    else self._completed_forecast()
                )
            self._advance_time(min(ends))

    def _start_departures(self) -> Selection:
        hosts = RoundHosts(self.waiting_hosts, self.away_until)
        selection = select_hosts(self.spec, self.capacity, hosts, self.ordering)
        for name in selection.hosts:
            self.waiting_hosts.remove(name)
            self.departures.append(Departure(self.now, name))
            self.away_until[name] = self.now + self.absence_duration
            self.previous_functions[name] = tuple(self.warm_lanes[name])
            self.warm_lanes[name] = {}
        return selection

    def _start_loads(self) -> None:
        situation = LoadSituation(
            free_slots={
                name: slots for name, slots in self.free_slots.items() if name not in self.away_until
            },
            loads_in_progress=list(self.loading_until),
            functions_to_reload={
                name: had for name, had in self.previous_functions.items() if name not in self.away_until
            },
            max_loads=self.estimates.max_loads,
        )
        hosts = RoundHosts(self.waiting_hosts, self.away_until)
        for load in plan_loads(self.spec, self.capacity, hosts, situation):
            self.loading_until[load] = self.now + self.estimates.load_time + self.estimates.detection_time
            self.free_slots[load.host] -= 1

    def _advance_time(self, now: int) -> None:
        """Moves to the time `now` and ends the absences and loads that are due by then."""
        self.now = now
        for name in [name for name, end in self.away_until.items() if end <= now]:
            del self.away_until[name]
            self.free_slots[name] = self.capacity.fleet[name].slots
        for load in [load for load, end in self.loading_until.items() if end <= now]:
            del self.loading_until[load]
            self.warm_lanes[load.host][load.function] = self.capacity.fleet[load.host].lanes

    def _blocked_forecast(self, blocked: BlockedHost | None) -> RoundForecast:
        if blocked is None:
            obstacle = describe_first_shortfall(self.initial_shortfalls)
        else:
            obstacle = f"{blocked.reason}, when {blocked.name} is to be taken out of service"
        return RoundForecast(tuple(self.departures), self.now, obstacle)

    def _completed_forecast(self) -> RoundForecast:
        end = max((departure.at + self.absence_duration for departure in self.departures), default=0)
        obstacle = ""
        if end > self.spec.deadline:
            obstacle = (
                f"by: the round takes {end / SECOND:g} s, the deadline is {self.spec.deadline / SECOND:g} s"
            )
        return RoundForecast(tuple(self.departures), end, obstacle)
