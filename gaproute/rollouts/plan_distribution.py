"""Who plans, and whose plan counts: the holder of one permit plans, its fencing number goes with each
plan."""

from typing import NamedTuple

PLANNER = "rollouts/plan"  # the permit that a planner holds
HIGHEST = 1 << 62


class GatewayPlan(NamedTuple):
    """What the planner tells one gateway. `aims`: {host: {campaign: lanes}}; `paces`: {campaign: tasks a
    second}; `copies`: {campaign: hosts that shall have a copy, the first first}. Who has a host's lanes loads
    its copies."""

    fence: int
    number: int
    aims: dict
    paces: dict
    copies: dict


class PlanFilter:
    """Takes only what is newer: a planner that lost its permit and does not know it yet is not followed by
    those who heard its successor. Who heard neither goes on by the last plan: permits bound what that may
    do."""

    def __init__(self):
        self.fence = self.number = 0
        self.refused = 0

    def news(self, orders):
        mark = orders.fence, orders.number
        sound = all(type(each) is int and 0 <= each <= HIGHEST for each in mark)
        if not sound or mark <= (self.fence, self.number):
            self.refused += 1
            return False
        self.fence, self.number = mark
        return True


class PlanSelector:
    """Which of two plans of one problem is followed: the solver's while it is sound and in time, else the
    greedy one. `begin(now, number, problem, plan)`; `solved(now, number, plan)`; `due(now)` gives the plan
    once, or None."""

    def __init__(self, wrong, limit):
        self.wrong, self.limit = wrong, limit
        self.number = self.until = self.problem = self.plan = None
        self.late = self.failed = 0

    def begin(self, now, number, problem, plan):
        self.number, self.until, self.problem, self.plan = number, now + self.limit, problem, plan

    def solved(self, now, number, plan):
        """`plan` None: the solver failed. The plan to be followed now, or None: too late, or of another
        problem."""
        if number != self.number or self.plan is None:
            self.late += 1
            return None
        if plan is None or self.wrong(self.problem, plan):
            self.failed += 1
            plan = self.plan
        self.plan = None
        return plan

    def due(self, now):
        if self.plan is None or now < self.until:
            return None
        plan, self.plan = self.plan, None
        self.late += 1
        return plan
