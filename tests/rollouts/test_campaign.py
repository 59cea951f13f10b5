"""Validation of campaigns, sharing of lanes, plans, host assignment and forecasts."""

import random
import subprocess
import sys

import msgspec
import pytest

from gaproute.rollouts.campaign import Campaign, RolloutHost, lendable_lanes, strictest_reservations
from gaproute.rollouts.campaign_validation import find_mistakes
from gaproute.rollouts.completion import CompletionEstimate
from gaproute.rollouts.forecast import SLOT_DURATION, DemandForecast, DemandReading, FleetForecast
from gaproute.rollouts.greedy import greedy_plan
from gaproute.rollouts.host_assignment import assign_hosts, assign_rates
from gaproute.rollouts.invariants import check_reservations
from gaproute.rollouts.plan import CampaignDemand, CopyPlan, PlannedCopy, PlannedLanes, PlanningProblem
from gaproute.rollouts.plan_distribution import GatewayPlan, PlanFilter, PlanSelector
from gaproute.rollouts.plan_evaluation import find_violations, plan_value
from gaproute.rollouts.solver import solve
from gaproute.rollouts.weighted_shares import share_lanes

SECOND = 1_000_000_000
HOSTS = [RolloutHost(f"h{number}", "ab"[number % 2], 8, 40) for number in range(4)]


def campaign(name="c", **changes):
    return Campaign(
        **{
            "name": name,
            "function": "f",
            "version": 1,
            "rollouts_per_step": 100,
            "steps": 10,
            "max_version_lag": 1,
            "copy_size": 10,
            "max_duration": 4 * SECOND,
            "typical_duration": 2 * SECOND,
            **changes,
        }
    )


@pytest.mark.parametrize(
    ("changes", "mistake"),
    [
        ({"function": "g"}, "campaign c: function: g is not a known function"),
        (
            {"reserved_lanes": {"h9": 1}},
            "campaign c: reserved_lanes: h9 is neither a known host nor a known zone",
        ),
        (
            {"reserved_lanes": {"a": 17}},
            "campaign c: reserved_lanes: 17 lanes of a are reserved, but only 16 exist",
        ),
        (
            {"copy_size": 41},
            "campaign c: copy_size: a copy of 41 fits on no host, the largest that fits is 40",
        ),
        ({"rate": 17.0}, "campaign c: rate: 17 rollouts a second exceed the highest possible rate, 16.0"),
        (
            {"deadline": 50 * SECOND},
            "campaign c: deadline: 1000 rollouts in 50 s are impossible; "
            "62 s or 80 rollouts a step are possible",
        ),
        (
            {"deadline": 100 * SECOND, "rate": 1.0},
            "campaign c: rate: cannot be combined with deadline, since each implies the other",
        ),
        ({"group_size": 3}, "campaign c: group_size: 3 does not divide rollouts_per_step 100"),
        (
            {"max_duration": 300 * SECOND},
            "campaign c: max_duration: a lease of 624 s is needed, but the longest allowed is 600 s",
        ),
        ({"weight": 0}, "campaign c: weight: 0 is not between 1 and 1000"),
        (
            {"typical_duration": 5 * SECOND},
            "campaign c: typical_duration: must not be longer than max_duration",
        ),
        (
            {"reserved_lanes": {"a": 16, "b": 16}},
            "campaign c: reserved_lanes: no lanes may be lent where a copy fits; "
            "reserve less than a 16, b 16 there",
        ),
    ],
)
def test_invalid_campaigns_are_rejected_with_the_key_and_the_reason(changes, mistake):
    assert mistake in find_mistakes([campaign(**changes)], HOSTS, {"f"})
    assert find_mistakes([campaign()], HOSTS, {"f"}) == []
    assert "campaign c: name: c is the name of several campaigns" in find_mistakes(
        [campaign(), campaign()], HOSTS, {"f"}
    )


def test_lendable_lanes_respect_the_reservations_of_hosts_and_zones():
    campaigns = [
        campaign(reserved_lanes={"h0": 3, "a": 7}),
        campaign("d", reserved_lanes={"b": 20, "h0": 2}),
    ]
    reserved = strictest_reservations(campaigns)
    lanes = lendable_lanes(HOSTS, reserved)
    assert lanes == {"h0": 4, "h1": 0, "h2": 5, "h3": 0}
    assert check_reservations(HOSTS, lanes, reserved) == []
    campaigns[1].reserved_lanes["b"] = 5
    reserved = strictest_reservations(campaigns)
    lanes = lendable_lanes(HOSTS, reserved)
    assert lanes["h1"] + lanes["h3"] == 11
    assert check_reservations(HOSTS, lanes, reserved) == []


def test_lanes_are_shared_by_weight_and_none_starves():
    assert share_lanes(9, {"a": 50, "b": 50}, {"a": 2, "b": 1}) == {"a": 6, "b": 3}
    assert share_lanes(9, {"a": 2, "b": 50}, {"a": 2, "b": 1}) == {"a": 2, "b": 7}
    assert share_lanes(2, {"a": 50, "b": 50}, {"a": 999, "b": 1}) == {"a": 1, "b": 1}
    assert share_lanes(1, {"a": 5, "b": 5, "c": 0}, {"a": 1, "b": 2, "c": 3}) == {"a": 0, "b": 1, "c": 0}


def random_problem(seed, hosts=12):
    random_source = random.Random(seed)
    spare = {f"h{number}": [random_source.uniform(0, 8) for _ in range(6)] for number in range(hosts)}
    demands = [CampaignDemand("a", 1, 2, 3 * hosts), CampaignDemand("b", 2, 1, 3 * hosts)]
    loaded = [("a", f"h{number}") for number in range(hosts // 3)]
    return PlanningProblem(spare, {host: 2 for host in spare}, demands, loaded, 2)


def test_greedy_plans_are_valid_and_stable_and_close_to_the_solver_plan():
    for seed in range(8):
        problem = random_problem(seed)
        plan = greedy_plan(problem)
        assert find_violations(problem, plan) == []
        assert {copy.campaign for copy in plan.copies} == {"a", "b"}
        loaded = {(copy.campaign, copy.host) for copy in plan.copies}
        replanned = greedy_plan(
            PlanningProblem(
                problem.spare_lanes,
                problem.copy_capacity,
                problem.demands,
                sorted(loaded),
                problem.max_loads,
            )
        )
        # No loaded copy moves for a small gain.
        assert loaded <= {(copy.campaign, copy.host) for copy in replanned.copies}
    problem = random_problem(1)
    copies = [PlannedCopy("a", "h0", 0), PlannedCopy("b", "h0", 0)]
    invalid_plan = CopyPlan(copies, [PlannedLanes("a", "h1", [1] * 6)])
    assert len(find_violations(problem, invalid_plan)) >= 2
    pytest.importorskip("highspy")
    problem = random_problem(1, 6)
    solver_plan = solve(problem, 5.0)
    assert find_violations(problem, solver_plan) == []
    greedy_value = plan_value(problem, greedy_plan(problem), problem.spare_lanes)
    assert plan_value(problem, solver_plan, problem.spare_lanes) >= 0.99 * greedy_value


def test_the_solver_process_reads_a_problem_and_writes_a_plan():
    def run_solver(data):
        return subprocess.run(
            [sys.executable, "-m", "gaproute.rollouts", "2"], input=data, capture_output=True
        )

    rejected_input = run_solver(b"[1]")
    assert rejected_input.returncode == 1
    assert rejected_input.stderr.startswith(b"no plan: ")
    pytest.importorskip("highspy")
    problem = random_problem(2, 6)
    plan = msgspec.json.decode(run_solver(msgspec.json.encode(problem)).stdout, type=CopyPlan)
    assert find_violations(problem, plan) == []


def test_the_solver_plan_is_selected_only_if_valid_and_in_time():
    problem, selector = random_problem(1), PlanSelector(find_violations, 2 * SECOND)
    fallback, solver_plan = greedy_plan(problem), CopyPlan([], [])
    selector.start(0, 1, problem, fallback)
    assert selector.take_overdue_plan(SECOND) is None
    assert selector.handle_solver_answer(1, solver_plan) is solver_plan
    assert selector.take_overdue_plan(3 * SECOND) is None
    selector.start(0, 2, problem, fallback)
    assert selector.handle_solver_answer(2, CopyPlan([PlannedCopy("x", "h0", 0)], [])) is fallback
    assert selector.failed_answers == 1
    selector.start(0, 3, problem, fallback)
    assert selector.take_overdue_plan(2 * SECOND) is fallback
    assert selector.handle_solver_answer(3, solver_plan) is None


def test_only_newer_plans_are_accepted():
    plans = PlanFilter()
    assert plans.accept(GatewayPlan(5, 1, {}, {}, {}))
    assert plans.accept(GatewayPlan(5, 2, {}, {}, {}))
    assert not plans.accept(GatewayPlan(4, 9, {}, {}, {}))
    assert not plans.accept(GatewayPlan(1 << 70, 1, {}, {}, {}))
    assert plans.accept(GatewayPlan(6, 1, {}, {}, {}))
    assert plans.rejected == 2


def test_each_host_is_assigned_to_one_gateway_and_stays_with_it():
    lanes = {("a", "h1"): 2, ("b", "h1"): 1, ("a", "h2"): 1, ("a", "h3"): 0}
    pools = {"h1": 6, "h2": 3, "h3": 6}
    assigned, owners = assign_hosts(lanes, pools, ["g1", "g2"], {"h1": "g2", "h2": "g9"})
    assert assigned == {"g2": {"h1": {"a": 4, "b": 2}}, "g1": {"h2": {"a": 3}}}
    assert owners == {"h1": "g2", "h2": "g1"}
    rates = assign_rates(assigned, {"a": campaign(rate=7.0), "b": campaign("b")})
    assert rates == {"g2": {"a": 4.0}, "g1": {"a": 3.0}}


def test_demand_forecast_follows_the_day_course_and_includes_the_deviation():
    demand = DemandForecast([1.0] * 24 + [2.0] * 24)
    for _ in range(20):
        demand.record(0, DemandReading(10.0, 1.0, 2.0))
    assert demand.needed_lanes(0, deviations=0) == pytest.approx(20)
    assert demand.needed_lanes(13 * 3600 * SECOND, deviations=0) == pytest.approx(40)
    assert demand.needed_lanes(0) == pytest.approx(22, rel=0.02)
    forecast = FleetForecast()
    forecast.record(0, {"p": DemandReading(8.0, 0.0, 1.0)})
    lendable = {host.name: 7 for host in HOSTS}
    spare = forecast.spare_lanes(0, HOSTS, lendable, slots=2, in_maintenance=[("h1", 1)])
    assert spare["h0"] == [6.0, 6.0]
    assert spare["h1"] == [6.0, 0.0]
    for _ in range(40):
        forecast.record(0, {})
    assert not forecast.functions


def test_completion_is_estimated_from_completed_rollouts_and_planned_lanes():
    estimate = CompletionEstimate(1000, 0)
    assert estimate.estimated_end() is None
    estimate.record(10 * SECOND, 100, 10.0)  # one lane-second for each rollout
    assert estimate.estimated_end() == pytest.approx(100 * SECOND)
    assert estimate.estimated_end([20.0, 20.0]) == pytest.approx(10 * SECOND + 45 * SECOND)
    assert SLOT_DURATION == 30 * SECOND
