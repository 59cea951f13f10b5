"""Selection of the plan to follow, and the part of it that each gateway receives.

The holder of the lease `PLANNER_RESOURCE` is the planner. Each plan carries the lease's fencing token.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from gaproute.rollouts.plan import CopyPlan, PlanningProblem

PLANNER_RESOURCE = "rollouts/plan"  # resource of the lease that the planner holds
MAX_PLAN_NUMBER = 1 << 62  # also the limit of fencing tokens


class GatewayPlan(NamedTuple):
    """The plan that the planner sends to one gateway.

    The gateway to which a host's lanes are assigned also loads the host's copies.
    `lanes`: by host and campaign; `rates`: by campaign, rollouts a second.
    `copies`: by campaign, the hosts that are to have a copy, the most useful first.
    """

    fencing_token: int
    number: int
    lanes: dict[str, dict[str, int]]
    rates: dict[str, float]
    copies: dict[str, list[str]]


class PlanFilter:
    """Accepts only plans that are newer than the last accepted plan.

    A gateway with a plan of the current planner ignores a previous planner that has not noticed the loss of
    its lease. A gateway that receives no newer plan follows its last one; leases limit the rollouts under it.
    """

    def __init__(self) -> None:
        self.fencing_token = self.number = 0
        self.rejected = 0

    def accept(self, plan: GatewayPlan) -> bool:
        """Whether the plan is newer and therefore accepted."""
        order = plan.fencing_token, plan.number
        valid = all(type(part) is int and 0 <= part <= MAX_PLAN_NUMBER for part in order)
        if not valid or order <= (self.fencing_token, self.number):
            self.rejected += 1
            return False
        self.fencing_token, self.number = order
        return True


class PendingProblem(NamedTuple):
    """A problem that the solver is solving, and the greedy plan that is used if the solver fails."""

    problem: PlanningProblem
    fallback: CopyPlan
    due_at: int


class PlanSelector:
    """Selects the solver's plan if it is valid and in time, otherwise the greedy plan.

    `find_violations`: returns the constraints that a plan violates; `time_limit`: of the solver, in ns.
    `late_answers`, `failed_answers`: numbers of the solver's answers that were late, or without a valid plan.
    """

    def __init__(
        self, find_violations: Callable[[PlanningProblem, CopyPlan], list[str]], time_limit: int
    ) -> None:
        self.find_violations, self.time_limit = find_violations, time_limit
        self.number: int | None = None  # number of the last problem
        self.pending: PendingProblem | None = None
        self.late_answers = self.failed_answers = 0

    def start(self, now: int, number: int, problem: PlanningProblem, fallback: CopyPlan) -> None:
        """Records that the solver was given the problem with this number."""
        self.number, self.pending = number, PendingProblem(problem, fallback, now + self.time_limit)

    def handle_solver_answer(self, number: int, plan: CopyPlan | None) -> CopyPlan | None:
        """The plan to follow now, or None if the answer is late or belongs to another problem.

        `plan`: the solver's plan, or None if the solver found no plan.
        """
        if number != self.number or self.pending is None:
            self.late_answers += 1
            return None
        pending, self.pending = self.pending, None
        if plan is None or self.find_violations(pending.problem, plan):
            self.failed_answers += 1
            return pending.fallback
        return plan

    def take_overdue_plan(self, now: int) -> CopyPlan | None:
        """The greedy plan if the solver is overdue, at the first call only; otherwise None."""
        if self.pending is None or now < self.pending.due_at:
            return None
        pending, self.pending = self.pending, None
        self.late_answers += 1
        return pending.fallback


def planned_copies(plan: CopyPlan) -> dict[str, list[str]]:
    """By campaign, the hosts that are to have a copy, those with the earliest first slot first."""
    hosts: dict[str, list[str]] = {}
    for copy in sorted(plan.copies, key=lambda copy: copy.first_slot):
        hosts.setdefault(copy.campaign, []).append(copy.host)
    return hosts


def planned_lanes(plan: CopyPlan) -> Mapping[tuple[str, str], int]:
    """By campaign and host, the maximum of the planned lanes over all slots."""
    return {(campaign, host): max(by_slot) for campaign, host, by_slot in plan.lanes}
