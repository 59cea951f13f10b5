"""The optional solver of planning problems, by HiGHS (`requirements-rollouts.txt`).

It is slow, so it runs in a process of its own, `python -m gaproute.rollouts`, which reads a
`PlanningProblem` and writes a `CopyPlan`; whoever waits for it has a time limit of its own.
"""

from collections.abc import Sequence
from typing import Any, TypeAlias

from gaproute.rollouts.plan import (
    CampaignDemand,
    CopyPlace,
    CopyPlan,
    PlannedCopy,
    PlannedLanes,
    PlanningProblem,
)

TIME_LIMIT_SECONDS = 2.0  # s of solving: a plan is for half a minute
RELATIVE_GAP = 0.01  # of the value: a forecast is less exact than that
ROUNDING_TOLERANCE = 1e-4  # what a solver leaves of a whole lane
LOADED_COPY_COST = 0.001  # of a lane: what a loaded copy costs that brings nothing
FEASIBLE_STATUS = 2  # status of the solution in HiGHS

# Objects of the package highspy, which has no type stubs.
HighsModule: TypeAlias = Any
HighsModel: TypeAlias = Any
HighsVariable: TypeAlias = Any


def solve(problem: PlanningProblem, time_limit: float = TIME_LIMIT_SECONDS) -> CopyPlan | None:
    """A plan, or None if none was found in time, in seconds. Raises ImportError without the solver."""
    model = _SolverModel(problem, time_limit)
    model.add_copies()
    model.limit_hosts()
    model.limit_slots()
    return model.solve()


class _SolverModel:
    """The problem as a linear program with whole numbers for copies.

    `first_slots`: by place and slot, a variable that is 1 if a copy stands there from this slot on.
    `lanes`: by place and slot, a variable of the lanes used.
    """

    def __init__(self, problem: PlanningProblem, time_limit: float) -> None:
        import highspy  # type: ignore[import-untyped]  # it has no stubs

        self.highspy: HighsModule = highspy
        self.model: HighsModel = highspy.Highs()
        self.model.setOptionValue("output_flag", False)
        self.model.setOptionValue("time_limit", time_limit)
        self.model.setOptionValue("mip_rel_gap", RELATIVE_GAP)
        self.model.setOptionValue("threads", 1)
        self.problem, self.loaded = problem, set(problem.loaded)
        self.places = [
            (demand, host)
            for demand in problem.demands
            for host in problem.spare_lanes
            if problem.copy_capacity[host] >= demand.copy_size
        ]
        self.first_slots: dict[CopyPlace, dict[int, HighsVariable]] = {}
        self.lanes: dict[tuple[CopyPlace, int], HighsVariable] = {}

    def add_copies(self) -> None:
        """A copy begins in one slot at most and stays; a loaded one begins in the first, without a load."""
        for demand, host in self.places:
            place = demand.name, host
            slots = [0] if place in self.loaded else list(range(self.problem.slots))
            self.first_slots[place] = {slot: self._copy_variable(place, slot) for slot in slots}
            if len(slots) > 1:
                self.model.addConstr(sum(self.first_slots[place].values()) <= 1)
            self._add_lanes(place)

    def _copy_variable(self, place: CopyPlace, slot: int) -> HighsVariable:
        lost_lanes = self.problem.load_time * int(self.problem.spare_lanes[place[1]][slot])
        value = -LOADED_COPY_COST if place in self.loaded else -lost_lanes
        return self.model.addVariable(0, 1, value, type=self.highspy.HighsVarType.kInteger)

    def _add_lanes(self, place: CopyPlace) -> None:
        for slot in range(self.problem.slots):
            spare = int(self.problem.spare_lanes[place[1]][slot])
            lanes = self.lanes[place, slot] = self.model.addVariable(0, spare, 1.0)
            begun = (copy for first, copy in self.first_slots[place].items() if first <= slot)
            self.model.addConstr(lanes <= spare * sum(begun))

    def limit_hosts(self) -> None:
        """At each host, copies fit and no more lanes are used than are spare."""
        for host in self.problem.spare_lanes:
            here = [demand for demand, other in self.places if other == host]
            if here:
                self._limit_host(host, here)

    def _limit_host(self, host: str, demands: Sequence[CampaignDemand]) -> None:
        sizes = (
            demand.copy_size * copy
            for demand in demands
            for copy in self.first_slots[demand.name, host].values()
        )
        self.model.addConstr(sum(sizes) <= self.problem.copy_capacity[host])
        for slot in range(self.problem.slots):
            used = sum(self.lanes[(demand.name, host), slot] for demand in demands)
            self.model.addConstr(used <= int(self.problem.spare_lanes[host][slot]))

    def limit_slots(self) -> None:
        """In each slot, no campaign gets more than its share, and no more copies are loaded than may be."""
        for slot in range(self.problem.slots):
            self._limit_campaigns(slot)
            loads = [
                copies[slot]
                for place, copies in self.first_slots.items()
                if place not in self.loaded and slot in copies
            ]
            if loads:
                self.model.addConstr(sum(loads) <= self.problem.max_loads)

    def _limit_campaigns(self, slot: int) -> None:
        shares = self.problem.shares(slot)
        for demand in self.problem.demands:
            used = [self.lanes[(demand.name, host), slot] for other, host in self.places if other is demand]
            if used:
                self.model.addConstr(sum(used) <= shares[demand.name])

    def solve(self) -> CopyPlan | None:
        """The plan, if one was found."""
        self.model.changeObjectiveSense(self.highspy.ObjSense.kMaximize)
        self.model.run()
        if self.model.getInfo().primal_solution_status != FEASIBLE_STATUS:
            return None
        return self._read_plan(self.model.getSolution().col_value)

    def _read_plan(self, values: Sequence[float]) -> CopyPlan:
        copies, lanes = [], []
        for place, variables in self.first_slots.items():
            for slot, variable in variables.items():
                if values[variable.index] > 0.5:
                    copies.append(PlannedCopy(*place, slot))
                    lanes.append(PlannedLanes(*place, self._read_lanes(values, place)))
        copies.sort(key=lambda copy: copy.first_slot)
        return CopyPlan(copies, lanes)

    def _read_lanes(self, values: Sequence[float], place: CopyPlace) -> list[int]:
        slots = range(self.problem.slots)
        return [int(values[self.lanes[place, slot].index] + ROUNDING_TOLERANCE) for slot in slots]
