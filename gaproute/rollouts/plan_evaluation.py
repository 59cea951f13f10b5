"""Validation of a plan against its problem, and the value of a plan given the true spare lanes."""

from collections import Counter
from collections.abc import Iterator, Mapping, Sequence

from gaproute.rollouts.plan import CopyPlace, CopyPlan, PlannedCopy, PlanningProblem

LANE_TOLERANCE = 1e-6  # lanes; tolerated rounding error


def find_violations(problem: PlanningProblem, plan: CopyPlan) -> list[str]:
    """Texts of the constraints that the plan violates; a solver's plan is used only without violations."""
    invalid = _invalid_copy(problem, plan.copies)
    if invalid is not None:
        campaign, host, first_slot = invalid
        return [
            f"plan: copy of {campaign} at {host} from slot {first_slot} has an unknown campaign or host, "
            "is planned twice or begins outside the slots"
        ]
    return [*_copy_violations(problem, plan.copies), *_lane_violations(problem, plan)]


def _invalid_copy(problem: PlanningProblem, copies: Sequence[PlannedCopy]) -> PlannedCopy | None:
    """The first copy with an unknown campaign or host, a repeated place or a first slot outside the plan."""
    names = {demand.name for demand in problem.demands}
    places: set[CopyPlace] = set()
    for copy in copies:
        place = copy.campaign, copy.host
        known = copy.campaign in names and copy.host in problem.spare_lanes
        if not known or place in places or not 0 <= copy.first_slot < problem.slots:
            return copy
        places.add(place)
    return None


def _copy_violations(problem: PlanningProblem, copies: Sequence[PlannedCopy]) -> Iterator[str]:
    sizes = {demand.name: demand.copy_size for demand in problem.demands}
    loaded = set(problem.loaded)
    used: Counter[str] = Counter()
    loads: Counter[int] = Counter()
    for copy in copies:
        used[copy.host] += sizes[copy.campaign]
        if (copy.campaign, copy.host) not in loaded:
            loads[copy.first_slot] += 1
    for host, size in used.items():
        if size > problem.copy_capacity[host]:
            yield f"plan: copies of total size {size} at {host} exceed its capacity"
    for slot, count in loads.items():
        if count > problem.max_loads:
            yield f"plan: {count} loads in slot {slot} exceed the limit {problem.max_loads}"


def _lane_violations(problem: PlanningProblem, plan: CopyPlan) -> Iterator[str]:
    first_slots = {(copy.campaign, copy.host): copy.first_slot for copy in plan.copies}
    used: Counter[tuple[str, int]] = Counter()
    for campaign, host, by_slot in plan.lanes:
        first_slot = first_slots.get((campaign, host))
        if first_slot is None or len(by_slot) != problem.slots or min(by_slot, default=0) < 0:
            yield f"plan: lanes of {campaign} at {host} lack a copy, are negative or have a wrong slot count"
            return
        for slot, lanes in enumerate(by_slot):
            if lanes and slot < first_slot:
                yield f"plan: lanes of {campaign} at {host} in slot {slot}, before its copy"
            used[host, slot] += lanes
    for (host, slot), lanes in used.items():
        if lanes > problem.spare_lanes[host][slot] + LANE_TOLERANCE:
            yield f"plan: {lanes} lanes at {host} in slot {slot} exceed the spare lanes"


def plan_value(problem: PlanningProblem, plan: CopyPlan, true_lanes: Mapping[str, Sequence[float]]) -> float:
    """The sum of the planned lanes over all slots, limited to `true_lanes`: the spare lanes by host and slot.

    In the slot in which a copy is loaded, a fraction `load_time` of its lanes is lost.
    """
    loaded, value = set(problem.loaded), 0.0
    first_slots = {(copy.campaign, copy.host): copy.first_slot for copy in plan.copies}
    free = {host: list(lanes) for host, lanes in true_lanes.items()}
    for campaign, host, by_slot in plan.lanes:
        for slot, lanes in enumerate(by_slot):
            used = max(0.0, min(lanes, free[host][slot]))
            free[host][slot] -= used
            loading = (campaign, host) not in loaded and slot == first_slots[campaign, host]
            value += used * (1 - problem.load_time * loading)
    return value
