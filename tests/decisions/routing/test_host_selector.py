"""The selection of a host for a request."""

import pytest
from helpers import (
    MILLI,
    ROUTING_SETTINGS,
    SECOND,
    row,
    task,
)
from helpers import gateway as make_gateway
from routing_scenes import (
    report_load,
    set_ranks,
    single_lane_request,
)

from gaproute import interface
from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing.parameters import (
    SPREAD_FACTOR,
)
from gaproute.decisions.routing.request_attempts import RequestAttempts


@pytest.mark.parametrize("age", [0, 4 * SECOND, 7.5 * SECOND])
def test_a_warm_host_with_a_free_lane_beats_an_idle_cold_host_at_any_memory_difference(age):
    gateway = make_gateway()
    warm, cold = gateway.hosts_by_id["a"], gateway.hosts_by_id["b"]
    function = gateway.functions.find_or_add("f", 4)
    function.ranks, function.ranked_version = {"b": 0, "c": 1, "a": 2}, gateway.hosts.version
    function.ranked_hosts = [gateway.hosts_by_id[name] for name in function.ranks]
    function.last_used["a"] = 0
    now = int(age)
    for number in range(3):
        warm.in_flight["x", number] = now
    gateway.host_loads.record(warm, now, interface.HostLoadReport(memory_busy=1.0))
    gateway.host_loads.record(cold, now, interface.HostLoadReport(memory_busy=0.0))
    assert gateway.selector.choose(now, task(), RequestAttempts()) is warm


def test_credit_below_one_is_the_probability_of_one_trial():
    choices = []
    for seed in range(200):
        gateway = make_gateway(row("cold", started=0))
        gateway.random.state = seed << 40
        gateway.hosts_by_id["cold"].credit = 0.25
        choices.append(gateway.selector.choose(0, task(), RequestAttempts()))
        assert choices[-1] or gateway.hosts_by_id["cold"].credit == 0
    assert 20 < sum(choice is not None for choice in choices) < 80


def test_hot_functions_use_another_host_where_rare_functions_wait():
    gateway = make_gateway(row("a"), row("b"))
    function = gateway.functions.find_or_add("f", 4)
    function.last_used["a"] = 10 * SECOND
    gateway.hosts_by_id["a"].in_flight = {("x", n): 10 * SECOND for n in range(34)}
    gateway.function_mix.recent.extend(["f"] * 2 + ["g"] * 254)
    assert gateway.selector.choose(10 * SECOND, task(), RequestAttempts()).id == "a"
    gateway.function_mix.recent.extend(["f"] * 160)
    assert gateway.selector.choose(10 * SECOND, task(), RequestAttempts()).id == "b"


def test_a_function_uses_hosts_in_proportion_to_its_share():
    def chosen_ranks(seed, name):
        gateway = Gateway(seed, ROUTING_SETTINGS, 0)
        gateway.update_hosts(0, list(map(row, "abcdefgh")), complete=True)
        gateway.function_mix.recent.extend((["f"] + ["g"] * 7) * 32)
        assert gateway.function_mix.host_demand("f") == 1
        ranks = gateway.ranking.ranks(name, gateway.functions.find_or_add(name, 4))
        return {
            ranks[gateway.selector.choose(0, task(function=name), RequestAttempts()).id] for _ in range(9)
        }

    ranks_by_gateway = [chosen_ranks(seed, "f") for seed in range(9)]
    assert all(len(own_ranks) == 1 for own_ranks in ranks_by_gateway), "each gateway prefers one host"
    assert set.union(*ranks_by_gateway) == set(range(int(SPREAD_FACTOR)))
    assert [chosen_ranks(seed, "rare") for seed in range(9)] == [{0}] * 9


def test_a_small_difference_in_reports_does_not_attract_all_gateways_to_one_host():
    gateway = make_gateway(*map(row, "abcdefgh"))
    gateway.function_mix.recent.extend((["f"] + ["g"] * 7) * 32)
    function = gateway.functions.find_or_add("f", 4)
    gateway.ranking.ranks("f", function)
    preferred = function.ranked_hosts[gateway.scorer.preferred_rank % 2]
    other = function.ranked_hosts[1 - gateway.scorer.preferred_rank % 2]
    for host in gateway.active_hosts:
        gateway.host_loads.record(host, 0, interface.HostLoadReport(cpu_busy=0.3, memory_busy=0.2))
    gateway.host_loads.record(other, 0, interface.HostLoadReport(cpu_busy=0.1, memory_busy=0.2))
    assert gateway.selector.choose(0, task(), RequestAttempts()) is preferred
    gateway.host_loads.record(preferred, 0, interface.HostLoadReport(cpu_busy=1.0, memory_busy=0.2))
    preferred.in_flight = {("x", number): 1 for number in range(6)}
    assert gateway.selector.choose(1, task(), RequestAttempts()) is other


def test_of_two_equal_instances_the_one_in_the_same_zone_is_chosen_if_crossing_has_a_price():
    rows = [row("far", zone=0), row("near", zone=1)]
    for price, expected in ((0.03, {"near"}), (0.0, {"near", "far"})):
        gateway = make_gateway(*rows, zone=1, crossing_price=price)
        gateway.functions.find_or_add("f", 4).last_used.update(far=0, near=0)
        assert {gateway.selector.choose(0, task(), RequestAttempts()).id for _ in range(30)} == expected


def test_the_same_zone_outweighs_neither_an_instance_nor_a_queue():
    rows = [row("far", zone=0), row("near", zone=1)]
    gateway = make_gateway(*rows, zone=1, crossing_price=0.03)
    gateway.functions.find_or_add("f", 4).last_used["far"] = 0
    assert gateway.selector.choose(0, task(), RequestAttempts()).id == "far"
    gateway.functions.find_or_add("f", 4).last_used["near"] = 0
    for number in range(9):
        gateway.hosts_by_id["near"].in_flight["x", number] = 0
    assert gateway.selector.choose(0, task(), RequestAttempts()).id == "far"


def test_a_refused_request_goes_to_a_loaded_instance_rather_than_causing_a_load():
    gateway = make_gateway()
    set_ranks(gateway, "a", "b", "c").last_used.update(a=0, c=0)
    report_load(gateway, "c", 200)
    attempts = RequestAttempts()
    attempts.failed_hosts.append(gateway.hosts_by_id["a"])
    assert gateway.selector.choose(MILLI, single_lane_request(), attempts).id == "c"
    gateway.functions_by_name["f"].last_used.pop("c")
    assert gateway.selector.choose(MILLI, single_lane_request(), attempts).id == "b"


def test_while_the_best_host_is_full_another_loaded_instance_is_used_and_none_is_loaded():
    gateway = make_gateway()
    function = set_ranks(gateway, "a", "b", "c")
    function.last_used.update(a=SECOND, b=0)
    gateway.hosts_by_id["a"].full_until = 2 * SECOND
    assert gateway.selector.choose(SECOND, task(), RequestAttempts()).id == "b"
    assert function.paused_until == 2 * SECOND
    gateway.hosts_by_id["b"].full_until = 2 * SECOND
    assert gateway.selector.choose(SECOND, task(), RequestAttempts()) is None
    assert gateway.selector.choose(2 * SECOND, task(), RequestAttempts()).id == "a"


def test_one_running_request_does_not_outweigh_an_instance_with_one_lane():
    gateway = make_gateway()
    set_ranks(gateway, "b", "a", "c").last_used["a"] = 0
    report_load(gateway, "a", 4)
    assert gateway.selector.choose(MILLI, single_lane_request(), RequestAttempts()).id == "a"
    report_load(gateway, "a", 200)
    assert gateway.selector.choose(MILLI, single_lane_request(), RequestAttempts()).id == "b"


def test_an_instance_gets_more_points_while_loads_take_long():
    gateway = make_gateway()
    set_ranks(gateway, "b", "a", "c").last_used["a"] = 0
    report_load(gateway, "a", 100)
    assert gateway.selector.choose(MILLI, single_lane_request(), RequestAttempts()).id == "b"
    gateway.answer_times.load_times.append(4 * SECOND)
    assert gateway.selector.choose(MILLI, single_lane_request(), RequestAttempts()).id == "a"
