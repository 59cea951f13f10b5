"""An optional solver of planning problems that uses HiGHS (`requirements-rollouts.txt`).

The solver is slow, so it runs in a separate process, `python -m gaproute.rollouts`, which reads a
`PlanningProblem` and writes a `CopyPlan`. The process that waits for the plan has its own time limit.
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

TIME_LIMIT_SECONDS = 2.0  # short relative to the half minute for which a plan is followed
RELATIVE_GAP = 0.01  # of a plan's value; a smaller gap is below the forecast's accuracy
ROUNDING_TOLERANCE = 1e-4  # lanes by which the solver's value may be below a whole number
LOADED_COPY_COST = 0.001  # lanes; makes the solver drop loaded copies that gain no lanes
FEASIBLE_STATUS = 2  # HiGHS status of a feasible solution

# Types of the package highspy, which has no type stubs.
HighsModule: TypeAlias = Any
HighsModel: TypeAlias = Any
HighsVariable: TypeAlias = Any


def solve(problem: PlanningProblem, time_limit: float = TIME_LIMIT_SECONDS) -> CopyPlan | None:
    """A plan, or None if none was found within `time_limit` seconds. Raises ImportError without highspy."""
    model = _SolverModel(problem, time_limit)
    model.add_copies()
    model.limit_hosts()
    model.limit_slots()
    return model.solve()


class _SolverModel:
    """The problem as a mixed-integer linear program with integer variables for copies.

    `first_slots`: by place and slot, a variable that is 1 if a copy is loaded there from this slot on.
    `lanes`: by place and slot, a variable for the lanes used.
    """

    def __init__(self, problem: PlanningProblem, time_limit: float) -> None:
        import highspy  # type: ignore[import-untyped]  # highspy has no stubs

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
        """Adds variables for copies and their lanes.

        A copy begins in at most one slot and remains. A copy that is already loaded begins in slot 0 or not
        at all, and needs no load.
        """
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
        """Constrains the copies at each host to its capacity and the lanes to its spare lanes."""
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
        """Constrains each slot: the campaigns' lanes to their shares and the loads to `max_loads`."""
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
        """The plan, or None if the solver found no feasible solution."""
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
