"""Who plans, whose plan counts, and what gateways are sent of it.

The holder of one lease plans; the lease's fencing token goes with each plan.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from gaproute.rollouts.plan import CopyPlan, PlanningProblem

PLANNER_RESOURCE = "rollouts/plan"  # the lease that a planner holds
MAX_PLAN_NUMBER = 1 << 62


class GatewayPlan(NamedTuple):
    """What the planner sends to one gateway. The gateway that has a host's lanes also loads its copies.

    `lanes`: by host and campaign; `rates`: by campaign, rollouts a second.
    `copies`: by campaign, the hosts that shall have a copy, the most useful first.
    """

    fencing_token: int
    number: int
    lanes: dict[str, dict[str, int]]
    rates: dict[str, float]
    copies: dict[str, list[str]]


class PlanFilter:
    """Accepts only newer plans than the last one.

    A planner that lost its lease and does not know it yet is not followed by those who have a plan of its
    successor. Who has neither goes on by the last plan: leases limit what that may do.
    """

    def __init__(self) -> None:
        self.fencing_token = self.number = 0
        self.rejected = 0

    def accept(self, plan: GatewayPlan) -> bool:
        """Whether the plan is to be followed."""
        order = plan.fencing_token, plan.number
        valid = all(type(part) is int and 0 <= part <= MAX_PLAN_NUMBER for part in order)
        if not valid or order <= (self.fencing_token, self.number):
            self.rejected += 1
            return False
        self.fencing_token, self.number = order
        return True


class PendingProblem(NamedTuple):
    """A problem that the solver works on, and the greedy plan that is followed if it fails."""

    problem: PlanningProblem
    fallback: CopyPlan
    due_at: int


class PlanSelector:
    """Chooses between two plans of a problem: the solver's if it is valid and in time, else the greedy one.

    `find_violations`: what a plan breaks; `time_limit`: of the solver, ns.
    `late_answers`, `failed_answers`: counts.
    """

    def __init__(
        self, find_violations: Callable[[PlanningProblem, CopyPlan], list[str]], time_limit: int
    ) -> None:
        self.find_violations, self.time_limit = find_violations, time_limit
        self.number: int | None = None  # of the last problem
        self.pending: PendingProblem | None = None
        self.late_answers = self.failed_answers = 0

    def start(self, now: int, number: int, problem: PlanningProblem, fallback: CopyPlan) -> None:
        """The solver was given a problem, with this number."""
        self.number, self.pending = number, PendingProblem(problem, fallback, now + self.time_limit)

    def handle_solver_answer(self, number: int, plan: CopyPlan | None) -> CopyPlan | None:
        """The plan to be followed now, or None if the answer is late or to another problem.

        `plan`: None if the solver found none.
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
        """The greedy plan, once, if the solver has not answered in time."""
        if self.pending is None or now < self.pending.due_at:
            return None
        pending, self.pending = self.pending, None
        self.late_answers += 1
        return pending.fallback


def planned_copies(plan: CopyPlan) -> dict[str, list[str]]:
    """By campaign, the hosts that shall have a copy, those of the first slot first."""
    hosts: dict[str, list[str]] = {}
    for copy in sorted(plan.copies, key=lambda copy: copy.first_slot):
        hosts.setdefault(copy.campaign, []).append(copy.host)
    return hosts


def planned_lanes(plan: CopyPlan) -> Mapping[tuple[str, str], int]:
    """By campaign and host, the most lanes of any slot."""
    return {(campaign, host): max(by_slot) for campaign, host, by_slot in plan.lanes}
