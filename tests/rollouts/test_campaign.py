"""Campaigns that are refused at once, shares, plans, forecasts."""

import random
import subprocess
import sys

import msgspec
import pytest

from gaproute.rollouts.campaign import Campaign, RolloutHost, check, floors, lendable
from gaproute.rollouts.forecast import SLOT, CompletionEstimate, DemandForecast, FleetForecast
from gaproute.rollouts.host_assignment import deal, paces
from gaproute.rollouts.invariants import check_floor
from gaproute.rollouts.plan import CampaignDemand, CopyPlan, PlanningProblem, greedy, worth, wrong
from gaproute.rollouts.plan_distribution import GatewayPlan, PlanFilter, PlanSelector
from gaproute.rollouts.solver import solve
from gaproute.rollouts.weighted_shares import shares

SECOND = 1_000_000_000
HOSTS = [RolloutHost(f"h{number}", "ab"[number % 2], 8, 40) for number in range(4)]


def campaign(name="c", **words):
    return Campaign(
        **{
            "name": name,
            "function": "f",
            "version": 1,
            "tasks": 100,
            "steps": 10,
            "old": 1,
            "room": 10,
            "most": 4 * SECOND,
            "takes": 2 * SECOND,
            **words,
        }
    )


@pytest.mark.parametrize(
    "words, said",
    [
        ({"function": "g"}, "campaign c: function: g is not known"),
        ({"floors": {"h9": 1}}, "campaign c: floors: h9 is no host and no zone"),
        ({"floors": {"a": 17}}, "campaign c: floors: a 17 is above all of it, 16 would fit"),
        ({"room": 41}, "campaign c: room: a copy of 41 fits no host, 40 would fit"),
        ({"pace": 17.0}, "campaign c: pace: 17 a second can never be, 16.0 would fit"),
        (
            {"by": 50 * SECOND},
            "campaign c: by: 1000 tasks in 50 s can never be, by 62 s or 80 tasks a step would fit",
        ),
        (
            {"by": 100 * SECOND, "pace": 1.0},
            "campaign c: pace: by is given as well, one of them says the other",
        ),
        ({"group": 3}, "campaign c: group: 3 does not divide tasks 100"),
        ({"most": 300 * SECOND}, "campaign c: most: a permit of 624 s would be needed, the longest is 600 s"),
        ({"weight": 0}, "campaign c: weight: 0, from 1 to 1000"),
        ({"takes": 5 * SECOND}, "campaign c: takes: longer than most"),
        (
            {"floors": {"a": 16, "b": 16}},
            "campaign c: floors: nothing may be lent where a copy fits (a 16, b 16), lower ones would fit",
        ),
    ],
)
def test_what_can_never_be_is_refused_by_name_with_what_would_fit(words, said):
    assert said in check([campaign(**words)], HOSTS, {"f": 1})
    assert check([campaign()], HOSTS, {"f": 1}) == []
    assert "campaign c: name: c twice" in check([campaign(), campaign()], HOSTS, {"f": 1})


def test_floors_of_hosts_and_zones_are_kept_by_each_pool_alone():
    two = [campaign(floors={"h0": 3, "a": 7}), campaign("d", floors={"b": 20, "h0": 2})]
    room = lendable(HOSTS, floors(two))
    assert room == {"h0": 4, "h1": 0, "h2": 5, "h3": 0} and check_floor(HOSTS, room, floors(two)) == []
    two[1].floors["b"] = 5
    room = lendable(HOSTS, floors(two))
    assert room["h1"] + room["h3"] == 11 and check_floor(HOSTS, room, floors(two)) == []


def test_the_last_room_is_shared_by_weight_and_none_starves():
    assert shares(9, {"a": 50, "b": 50}, {"a": 2, "b": 1}) == {"a": 6, "b": 3}
    assert shares(9, {"a": 2, "b": 50}, {"a": 2, "b": 1}) == {"a": 2, "b": 7}
    assert shares(2, {"a": 50, "b": 50}, {"a": 999, "b": 1}) == {"a": 1, "b": 1}
    assert shares(1, {"a": 5, "b": 5, "c": 0}, {"a": 1, "b": 2, "c": 3}) == {"a": 0, "b": 1, "c": 0}


def problem(seed, hosts=12):
    chance = random.Random(seed)
    spare = {f"h{number}": [chance.uniform(0, 8) for _ in range(6)] for number in range(hosts)}
    wants = [CampaignDemand("a", 1, 2, 3 * hosts), CampaignDemand("b", 2, 1, 3 * hosts)]
    return PlanningProblem(
        spare, {host: 2 for host in spare}, wants, [("a", f"h{number}") for number in range(hosts // 3)], 2
    )


def test_plans_are_sound_steady_and_near_to_the_solvers():
    for seed in range(8):
        given = problem(seed)
        plan = greedy(given)
        assert wrong(given, plan) == [] and {name for name, _, _ in plan.copies} == {"a", "b"}
        stood = {(name, host) for name, host, _ in plan.copies}
        again = greedy(PlanningProblem(given.spare, given.room, given.wants, sorted(stood), given.loads))
        assert stood <= {(name, host) for name, host, _ in again.copies}  # nothing moves for a little
    given = problem(1)
    broken = CopyPlan([("a", "h0", 0), ("b", "h0", 0)], [("a", "h1", [1] * 6)])
    assert len(wrong(given, broken)) >= 2
    pytest.importorskip("highspy")
    given = problem(1, 6)
    best = solve(given, 5.0)
    assert wrong(given, best) == []
    assert worth(given, best, given.spare) >= 0.99 * worth(given, greedy(given), given.spare)


def test_the_solver_has_a_process_of_its_own():
    def run(data):
        return subprocess.run(
            [sys.executable, "-m", "gaproute.rollouts", "2"], input=data, capture_output=True
        )

    bad = run(b"[1]")
    assert bad.returncode == 1 and bad.stderr.startswith(b"no plan: ")
    pytest.importorskip("highspy")
    given = problem(2, 6)
    assert wrong(given, msgspec.json.decode(run(msgspec.json.encode(given)).stdout, type=CopyPlan)) == []


def test_the_solvers_plan_counts_while_sound_and_in_time():
    given, choice = problem(1), PlanSelector(wrong, 2 * SECOND)
    plan, other = greedy(given), CopyPlan([], [])
    choice.begin(0, 1, given, plan)
    assert choice.due(SECOND) is None and choice.solved(SECOND, 1, other) is other
    assert choice.due(3 * SECOND) is None
    choice.begin(0, 2, given, plan)
    assert choice.solved(SECOND, 2, CopyPlan([("x", "h0", 0)], [])) is plan and choice.failed == 1
    choice.begin(0, 3, given, plan)
    assert choice.due(2 * SECOND) is plan and choice.solved(3 * SECOND, 3, other) is None


def test_only_newer_orders_count():
    latest = PlanFilter()
    assert latest.news(GatewayPlan(5, 1, {}, {}, {})) and latest.news(GatewayPlan(5, 2, {}, {}, {}))
    assert not latest.news(GatewayPlan(4, 9, {}, {}, {})) and not latest.news(
        GatewayPlan(1 << 70, 1, {}, {}, {})
    )
    assert latest.news(GatewayPlan(6, 1, {}, {}, {})) and latest.refused == 2


def test_hosts_are_dealt_whole_and_kept():
    lanes = {("a", "h1"): 2, ("b", "h1"): 1, ("a", "h2"): 1, ("a", "h3"): 0}
    pools = {"h1": 6, "h2": 3, "h3": 6}
    came, owners = deal(lanes, pools, ["g1", "g2"], {"h1": "g2", "h2": "g9"})
    assert came == {"g2": {"h1": {"a": 4, "b": 2}}, "g1": {"h2": {"a": 3}}}
    assert owners == {"h1": "g2", "h2": "g1"}
    shared = paces(came, {"a": campaign(pace=7.0), "b": campaign("b")})
    assert shared == {"g2": {"a": 4.0}, "g1": {"a": 3.0}}


def test_demand_follows_its_course_and_keeps_its_spread():
    demand = DemandForecast([1.0] * 24 + [2.0] * 24)
    for _ in range(20):
        demand.read(0, 10.0, 1.0, 2.0)
    assert demand.lanes(0, 0) == pytest.approx(20)
    assert demand.lanes(13 * 3600 * SECOND, 0) == pytest.approx(40)
    assert demand.lanes(0) == pytest.approx(22, rel=0.02)
    forecast = FleetForecast()
    forecast.read(0, {"p": (8.0, 0.0, 1.0)})
    spare = forecast.spare(0, HOSTS, {host.name: 7 for host in HOSTS}, 2, out=[("h1", 1)])
    assert spare["h0"] == [6.0, 6.0] and spare["h1"] == [6.0, 0.0]
    for _ in range(40):
        forecast.read(0, {})
    assert not forecast.functions


def test_an_end_is_told_from_what_was_done_and_what_is_planned():
    end = CompletionEstimate(1000, 0)
    assert end.at_end() is None
    end.saw(10 * SECOND, 100, 10.0)  # a lane-second each
    assert end.at_end() == pytest.approx(100 * SECOND)
    assert end.at_end([20.0, 20.0]) == pytest.approx(10 * SECOND + 45 * SECOND)
    assert SLOT == 30 * SECOND
