"""How good plans of campaigns are that are made on a forecast which is off."""

import random
import time
from collections.abc import Callable, Mapping
from concurrent.futures import Executor
from typing import NamedTuple

from benchmarks.campaign_figures import HOST_LANES, Row, spare_course, spread
from gaproute.rollouts.greedy import greedy_plan
from gaproute.rollouts.plan import CampaignDemand, CopyPlan, PlanningProblem
from gaproute.rollouts.plan_evaluation import find_violations, plan_value

Lanes = dict[str, list[float]]  # of each host in each slot

PLANNED_HOSTS = (12, 40, 120)
PLANNED_SLOTS = 8
SOLVER_LIMIT = 5.0  # s
SOLVER = "HiGHS"


def draw_problem(seed: int, count: int) -> tuple[PlanningProblem, Lanes]:
    """A problem for `count` hosts on the forecast, and the truth."""
    chance = random.Random(f"{seed} {count}")
    zones = [spare_course(chance, PLANNED_SLOTS, chance.uniform(0.4, 0.8), 0.08) for _ in range(3)]
    truth: Lanes = {}
    spare: Lanes = {}
    for number in range(count):
        host, own = f"h{number:03}", chance.uniform(-0.25, 0.25)
        shares = [max(0.0, min(0.9, part + own)) for part in zones[number % 3]]
        truth[host] = [float(int(HOST_LANES * share)) for share in shares]
        spare[host] = [
            max(0.0, min(HOST_LANES - 1.0, lanes + chance.gauss(0, 1.0 + 0.2 * slot)))
            for slot, lanes in enumerate(truth[host])
        ]
    problem = PlanningProblem(
        spare_lanes=spare,
        copy_capacity={host: 2 for host in spare},
        demands=[
            CampaignDemand("a", 1, 2, 2 * count),
            CampaignDemand("b", 2, 1, 2 * count),
            CampaignDemand("c", 1, 1, count),
        ],
        loaded=[("abc"[number % 3], f"h{number:03}") for number in range(0, count, 3)],
        max_loads=max(2, count // 8),
    )
    return problem, truth


class PlanFigures(NamedTuple):
    """One plan: the part of the worth of the one that sees all, CPU ms, loads."""

    share: float
    cpu_ms: float
    loads: int


def solve_one(job: tuple[int, int]) -> tuple[int, dict[str, PlanFigures | None]]:
    """For a (hosts, seed): hosts, and the figures of each plan; None where it failed."""
    count, seed = job
    from gaproute.rollouts.solver import solve

    problem, truth = draw_problem(seed, count)
    best = solve(
        PlanningProblem(truth, problem.copy_capacity, problem.demands, problem.loaded, problem.max_loads),
        SOLVER_LIMIT,
    )
    planners: Mapping[str, Callable[[PlanningProblem], CopyPlan | None]] = {
        "greedy": greedy_plan,
        SOLVER: lambda problem: solve(problem, SOLVER_LIMIT),
    }
    return count, {name: plan_figures(make, problem, truth, best) for name, make in planners.items()}


def plan_figures(
    make: Callable[[PlanningProblem], CopyPlan | None],
    problem: PlanningProblem,
    truth: Lanes,
    best: CopyPlan | None,
) -> PlanFigures | None:
    """Makes one plan."""
    began = time.process_time()
    plan = make(problem)
    cpu_ms = 1000 * (time.process_time() - began)
    if plan is None or best is None or find_violations(problem, plan):
        return None
    share = plan_value(problem, plan, truth) / plan_value(problem, best, truth)
    return PlanFigures(share, cpu_ms, sum(copy[:2] not in problem.loaded for copy in plan.copies))


def plans(pool: Executor, seeds: int) -> list[Row]:
    """A row for each number of hosts and kind of plan."""
    solved: dict[tuple[int, str], list[PlanFigures]] = {
        (count, name): [] for count in PLANNED_HOSTS for name in ("greedy", SOLVER)
    }
    for count, figures in pool.map(
        solve_one, [(count, seed) for count in PLANNED_HOSTS for seed in range(seeds)]
    ):
        for name, each in figures.items():
            if each is not None:
                solved[count, name].append(each)
    return [
        {
            "hosts": count,
            "plan": name,
            "seeds": len(each),
            "of the one that sees all": spread([figures.share for figures in each], 3),
            "CPU ms": spread([figures.cpu_ms for figures in each], 0),
            "loads": spread([figures.loads for figures in each], 0),
            "failed": seeds - len(each),
        }
        for (count, name), each in solved.items()
        if each
    ]
