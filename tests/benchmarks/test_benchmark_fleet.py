"""The fleet's benchmark: its measures on figures made by hand, and plays that are the same each time."""

from types import SimpleNamespace

import pytest

from benchmarks.fleet import costs, evenness, follow
from benchmarks.fleet.clock import MILLI, SECOND, Clock
from benchmarks.fleet.faults import KINDS
from benchmarks.fleet.hosts import COLD_TIME, LANES, LOAD, WAY, WORK, Host
from benchmarks.fleet.measures import IDLE_FOR, Watch, coefficient
from benchmarks.fleet.parted import Scored


def sums(variant="today", fault="none", seed=1):
    found = evenness.play(variant, fault, 5, 9, 200, 3, seed)
    del found["CPU"]
    return found


def watch(**sizes):
    hosts = {name: Host(size=size) for name, size in sizes.items()}
    return Watch(SimpleNamespace(watchers=[], clock=Clock(), hosts=hosts), 0)


def test_a_coefficient_of_variation():
    assert coefficient([2, 2, 2]) == 0
    assert coefficient([0, 0]) == 0
    assert coefficient([1, 3]) == pytest.approx(0.5)


def test_a_host_slows_down_over_its_lanes_and_while_cold():
    host = Host()
    assert host.take(0, "f") == (LOAD + WAY + WORK, LOAD, True, False)
    assert host.take(LOAD, "f") == (WAY + WORK, 0, False, True)
    host.busy = 4 * LANES - 1
    assert host.take(LOAD, "f")[0] == WAY + 2 * WORK
    host.back(SECOND)
    assert host.lanes(SECOND) < 2 * LANES == host.lanes(SECOND + COLD_TIME)


def test_what_a_host_got_is_told_over_its_fair_share_by_size():
    seen = watch(small=1.0, large=3.0)
    seen.world.hosts["small"].came = [1, 2, 600 * MILLI]
    seen.world.hosts["large"].came = [1, 2]
    assert seen.got("small", 0) == pytest.approx(2.0)
    assert seen.got("large", 0) == pytest.approx(2 / 3)


def test_an_idle_host_is_told_only_while_another_queues():
    for queues, found in (False, 0), (True, 1):
        seen = watch(idle=1.0, busy=1.0, more=1.0)
        seen.samples = [{"idle": (0, False), "busy": (9, queues), "more": (5, False)}] * IDLE_FOR
        assert seen.idle() == found


def test_the_points_that_decided():
    def scored(name, warmth, queue, prior):
        return Scored(SimpleNamespace(id=name), warmth, 6 * warmth, queue, 0.0, prior, 0.0, 0.0)

    first, second = scored("a", 0, 0.2, 2.0), scored("b", 0, 0.1, 1.7)
    assert follow.why([first, second], "a") == "prior"
    assert follow.why([first, scored("b", 0, 0.1, 2.0)], "b") == "queue among equal priors"
    assert follow.why([first, scored("b", 0, 0.2, 2.0)], "b") == "chance"
    assert follow.why([scored("a", 0, 0.9, 2.0), second], "b") == "queue against prior"
    assert follow.why([scored("a", 1, 0.2, 0), second], "a") == "only copy known"
    assert follow.why([scored("a", 1, 0.9, 0), scored("b", 0.9, 0.1, 0)], "b") == "copy by queue"


def test_a_play_is_the_same_each_time_and_the_choice_taken_apart_is_the_policys():
    assert sums() == sums() == sums("parted") != sums(seed=2)
    rows = follow.play("parted", 5, 9, 200, 3, 1).shares()
    assert sum(row["share"] for row in rows) == pytest.approx(1, abs=0.01)


@pytest.mark.parametrize("fault", KINDS)
def test_each_fault_is_played(fault):
    found = sums(fault=fault)
    assert found["cv"] > 0
    assert found["relays"] >= 0.9


def test_costs_a_task():
    each = costs.play(3, 6, 200, 4)
    assert each["tasks"] == 1
    assert 0 < each["loads"] < 1
    assert each["words"] > 0
