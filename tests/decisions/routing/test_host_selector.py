"""The choice of a host for a request."""

import pytest
from helpers import (
    MILLI,
    SECOND,
    TERMS,
    gateway,
    row,
    task,
)
from routing_scenes import (
    crowd,
    ranked,
    single,
)

from gaproute import interface as face
from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing.parameters import (
    SPREAD_FACTOR,
)
from gaproute.decisions.routing.request_attempts import RequestAttempts


@pytest.mark.parametrize("age", [0, 4 * SECOND, 7.5 * SECOND])
def test_warm_with_a_free_lane_beats_cold_idle_at_any_memory_gap(age):
    made = gateway()
    warm, cold = made.hosts_by_id["a"], made.hosts_by_id["b"]
    function = made.functions.find_or_add("f", 4)
    function.ranks, function.ranked_version = {"b": 0, "c": 1, "a": 2}, made.hosts.version
    function.ranked_hosts = [made.hosts_by_id[name] for name in function.ranks]
    function.last_used["a"] = 0
    now = int(age)
    for number in range(3):
        warm.in_flight["x", number] = now
    made.host_loads.record(warm, now, face.HostLoadReport(memory_busy=1.0))
    made.host_loads.record(cold, now, face.HostLoadReport(memory_busy=0.0))
    assert made.selector.choose(now, task(), RequestAttempts()) is warm


def test_credit_below_one_is_a_chance_tried_once():
    picks = []
    for seed in range(200):
        made = gateway(row("cold", started=0))
        made.random.state = seed << 40
        made.hosts_by_id["cold"].credit = 0.25
        picks.append(made.selector.choose(0, task(), RequestAttempts()))
        assert picks[-1] or made.hosts_by_id["cold"].credit == 0
    assert 20 < sum(pick is not None for pick in picks) < 80


def test_hot_functions_spill_where_rare_ones_wait():
    made = gateway(row("a"), row("b"))
    function = made.functions.find_or_add("f", 4)
    function.last_used["a"] = 10 * SECOND
    made.hosts_by_id["a"].in_flight = {("x", n): 10 * SECOND for n in range(34)}
    made.function_mix.recent.extend(["f"] * 2 + ["g"] * 254)
    assert made.selector.choose(10 * SECOND, task(), RequestAttempts()).id == "a"
    made.function_mix.recent.extend(["f"] * 160)
    assert made.selector.choose(10 * SECOND, task(), RequestAttempts()).id == "b"


def test_a_function_spreads_over_hosts_in_proportion_to_its_share():
    def firsts(seed, name):
        made = Gateway(seed, TERMS, 0)
        made.update_hosts(0, list(map(row, "abcdefgh")), complete=True)
        made.function_mix.recent.extend((["f"] + ["g"] * 7) * 32)
        assert made.function_mix.host_demand("f") == 1
        ranks = made.ranking.ranks(name, made.functions.find_or_add(name, 4))
        return {ranks[made.selector.choose(0, task(function=name), RequestAttempts()).id] for _ in range(9)}

    each = [firsts(seed, "f") for seed in range(9)]
    assert all(len(own) == 1 for own in each), "each gateway has its own"
    assert set.union(*each) == set(range(int(SPREAD_FACTOR)))
    assert [firsts(seed, "rare") for seed in range(9)] == [{0}] * 9


def test_a_small_difference_of_reports_does_not_draw_all_gateways_to_one_host():
    made = gateway(*map(row, "abcdefgh"))
    made.function_mix.recent.extend((["f"] + ["g"] * 7) * 32)
    function = made.functions.find_or_add("f", 4)
    made.ranking.ranks("f", function)
    own = function.ranked_hosts[made.scorer.preferred_rank % 2]
    other = function.ranked_hosts[1 - made.scorer.preferred_rank % 2]
    for host in made.active_hosts:
        made.host_loads.record(host, 0, face.HostLoadReport(cpu_busy=0.3, memory_busy=0.2))
    made.host_loads.record(other, 0, face.HostLoadReport(cpu_busy=0.1, memory_busy=0.2))
    assert made.selector.choose(0, task(), RequestAttempts()) is own
    made.host_loads.record(own, 0, face.HostLoadReport(cpu_busy=1.0, memory_busy=0.2))
    own.in_flight = {("x", number): 1 for number in range(6)}
    assert made.selector.choose(1, task(), RequestAttempts()) is other


def test_of_two_instances_alike_the_one_of_the_own_zone_is_taken_by_the_price_of_crossing():
    rows = [row("far", zone=0), row("near", zone=1)]
    for price, seen in ((0.03, {"near"}), (0.0, {"near", "far"})):
        made = gateway(*rows, zone=1, crossing_price=price)
        made.functions.find_or_add("f", 4).last_used.update(far=0, near=0)
        assert {made.selector.choose(0, task(), RequestAttempts()).id for _ in range(30)} == seen


def test_the_own_zone_outweighs_neither_a_instance_nor_a_queue():
    rows = [row("far", zone=0), row("near", zone=1)]
    made = gateway(*rows, zone=1, crossing_price=0.03)
    made.functions.find_or_add("f", 4).last_used["far"] = 0
    assert made.selector.choose(0, task(), RequestAttempts()).id == "far"
    made.functions.find_or_add("f", 4).last_used["near"] = 0
    for number in range(9):
        made.hosts_by_id["near"].in_flight["x", number] = 0
    assert made.selector.choose(0, task(), RequestAttempts()).id == "far"


def test_what_was_refused_goes_to_a_instance_that_stands_before_a_load_elsewhere():
    made = gateway()
    ranked(made, "a", "b", "c").last_used.update(a=0, c=0)
    crowd(made, "c", 200)
    attempts = RequestAttempts()
    attempts.failed_hosts.append(made.hosts_by_id["a"])
    assert made.selector.choose(MILLI, single(), attempts).id == "c"
    made.functions_by_name["f"].last_used.pop("c")
    assert made.selector.choose(MILLI, single(), attempts).id == "b"


def test_while_the_best_host_rests_another_standing_instance_is_used_and_none_is_loaded():
    made = gateway()
    function = ranked(made, "a", "b", "c")
    function.last_used.update(a=SECOND, b=0)
    made.hosts_by_id["a"].full_until = 2 * SECOND
    assert made.selector.choose(SECOND, task(), RequestAttempts()).id == "b"
    assert function.paused_until == 2 * SECOND
    made.hosts_by_id["b"].full_until = 2 * SECOND
    assert made.selector.choose(SECOND, task(), RequestAttempts()) is None
    assert made.selector.choose(2 * SECOND, task(), RequestAttempts()).id == "a"


def test_one_request_at_work_does_not_outweigh_a_instance_that_runs_one_at_a_time():
    made = gateway()
    ranked(made, "b", "a", "c").last_used["a"] = 0
    crowd(made, "a", 4)
    assert made.selector.choose(MILLI, single(), RequestAttempts()).id == "a"
    crowd(made, "a", 200)
    assert made.selector.choose(MILLI, single(), RequestAttempts()).id == "b"


def test_a_instance_is_worth_more_while_loads_take_long():
    made = gateway()
    ranked(made, "b", "a", "c").last_used["a"] = 0
    crowd(made, "a", 100)
    assert made.selector.choose(MILLI, single(), RequestAttempts()).id == "b"
    made.answer_times.load_times.append(4 * SECOND)
    assert made.selector.choose(MILLI, single(), RequestAttempts()).id == "a"
