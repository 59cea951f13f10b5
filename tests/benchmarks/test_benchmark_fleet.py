"""The fleet's benchmark: its measures on figures made by hand, and plays that are the same each time."""

from types import SimpleNamespace

import pytest

from benchmarks.fleet import costs, evenness, follow
from benchmarks.fleet.clock import MILLI, SECOND, EventClock
from benchmarks.fleet.faults import KINDS
from benchmarks.fleet.hosts import COLD_TIME, LANES, LOAD_TIME, ROUND_TRIP, WORK_TIME, FleetHost
from benchmarks.fleet.measures import (
    IDLE_SAMPLES,
    HostSample,
    PlayObserver,
    coefficient_of_variation,
)
from benchmarks.fleet.split_choice import HostScore

SCENE = evenness.Scene(gateways=5, hosts=9, seconds=3)
RATE = 200


def figures(variant="today", fault="none", seed=1):
    found = evenness.play(SCENE, evenness.Case(variant, fault, RATE), seed)
    del found["CPU"]
    return found


def observer(**sizes):
    hosts = {name: FleetHost(size=size) for name, size in sizes.items()}
    return PlayObserver(SimpleNamespace(watchers=[], clock=EventClock(), hosts=hosts), 0)


def test_a_coefficient_of_variation():
    assert coefficient_of_variation([2, 2, 2]) == 0
    assert coefficient_of_variation([0, 0]) == 0
    assert coefficient_of_variation([1, 3]) == pytest.approx(0.5)


def test_a_host_slows_down_over_its_lanes_and_while_cold():
    host = FleetHost()
    assert host.accept(0, "f") == (LOAD_TIME + ROUND_TRIP + WORK_TIME, LOAD_TIME, True, False)
    assert host.accept(LOAD_TIME, "f") == (ROUND_TRIP + WORK_TIME, 0, False, True)
    host.in_flight = 4 * LANES - 1
    assert host.accept(LOAD_TIME, "f").duration == ROUND_TRIP + 2 * WORK_TIME
    host.come_back(SECOND)
    assert host.concurrency(SECOND) < 2 * LANES == host.concurrency(SECOND + COLD_TIME)


def test_what_a_host_got_is_shown_over_its_fair_share_by_size():
    observed = observer(small=1.0, large=3.0)
    observed.world.hosts["small"].arrivals = [1, 2, 600 * MILLI]
    observed.world.hosts["large"].arrivals = [1, 2]
    assert observed.share_after("small", 0) == pytest.approx(2.0)
    assert observed.share_after("large", 0) == pytest.approx(2 / 3)


def test_an_idle_host_is_counted_only_while_another_queues():
    for queues, found in (False, 0), (True, 1):
        observed = observer(idle=1.0, busy=1.0, more=1.0)
        sample = {"idle": HostSample(0, False), "busy": HostSample(9, queues), "more": HostSample(5, False)}
        observed.samples = [sample] * IDLE_SAMPLES
        assert observed.idle_hosts() == found


def test_the_points_that_decided():
    def scored(name, warmth, queue, prior):
        return HostScore(SimpleNamespace(id=name), warmth, 6 * warmth, queue, 0.0, prior, 0.0, 0.0)

    first, second = scored("a", 0, 0.2, 2.0), scored("b", 0, 0.1, 1.7)
    assert follow.reason([first, second], "a") == "prior"
    assert follow.reason([first, scored("b", 0, 0.1, 2.0)], "b") == "queue among equal priors"
    assert follow.reason([first, scored("b", 0, 0.2, 2.0)], "b") == "chance"
    assert follow.reason([scored("a", 0, 0.9, 2.0), second], "b") == "queue against prior"
    assert follow.reason([scored("a", 1, 0.2, 0), second], "a") == "only copy known"
    assert follow.reason([scored("a", 1, 0.9, 0), scored("b", 0.9, 0.1, 0)], "b") == "copy by queue"


def test_a_play_is_the_same_each_time_and_the_choice_taken_apart_is_the_policys():
    assert figures() == figures() == figures("parted") != figures(seed=2)
    rows = follow.play(SCENE, "parted", RATE, 1).reason_rows()
    assert sum(row["share"] for row in rows) == pytest.approx(1, abs=0.01)


@pytest.mark.parametrize("fault", KINDS)
def test_each_fault_is_played(fault):
    found = figures(fault=fault)
    assert found["cv"] > 0
    assert found["relays"] >= 0.9


def test_costs_a_task():
    each = costs.play(3, 6, 200, 4)
    assert each["tasks"] == 1
    assert 0 < each["loads"] < 1
    assert each["words"] > 0
