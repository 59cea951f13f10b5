"""Slow start: what one gateway, and what all gateways together, may send to cold hosts."""

import pytest
from helpers import SECOND, Drive, row, task
from helpers import gateway as make_gateway

from benchmarks.cold import HARD, ColdDay, day, play
from gaproute.decisions.routing.request_attempts import RequestAttempts
from gaproute.interface import Result
from gaproute.settings import read_routing_settings


def test_a_choice_in_a_fleet_of_cold_hosts_scores_each_host_once():
    gateway = make_gateway(*[row(f"h{number}", started=0) for number in range(1200)])
    for host in gateway.active_hosts:
        host.credit = 1 / SECOND  # so low that each host is skipped
    assert gateway.selector.choose(0, task(), RequestAttempts()) is None
    assert not any(host.credit for host in gateway.active_hosts)


@pytest.mark.parametrize(("kind", "gateways"), [("all", 3), ("all", 30), ("all", 200), ("join", 30)])
def test_no_cold_host_fails_from_the_attempts_of_all_gateways_together(kind, gateways):
    """The capacity of the hosts does not grow until they are warm, the minimum that the settings promise."""
    result = play(ColdDay(kind, gateways, 12, 0.6, 0.17, "step", True, False, False, False), 4)
    assert not result["broken"]
    assert result["served"] > (0.2 if kind == "all" else 0.8)


def test_with_few_warm_hosts_answers_of_cold_hosts_give_them_credit():
    gateway = make_gateway(row("a"), *[row(f"c{number}", started=0) for number in range(9)])
    cold = [host for host in gateway.active_hosts if host.id != "a"]
    gateway.slow_start.record_answer(1, cold[0])
    assert sum([host.credit for host in cold]) == pytest.approx(
        0.8
    )  # 1 - 1/5: one host is warm, half of the fleet is five
    half_warm = make_gateway(row("a"), row("b", started=0))
    half_warm.slow_start.record_answer(1, half_warm.hosts_by_id["b"])
    assert half_warm.hosts_by_id["b"].credit == 0


def test_credit_is_limited_to_what_a_cold_host_certainly_handles():
    """How the capacity of a host grows is unknown: it may stay at the initial share until the last moment."""
    gateway = make_gateway(row("a"), row("cold", started=0))
    late = gateway.hosts_by_id["cold"].warm_at - 1
    gateway.slow_start.record_answer(late, gateway.hosts_by_id["a"])
    certain_load = gateway.settings.warm_up_overload * gateway.settings.warm_up_share
    assert read_routing_settings({"rules": {"fall_multiple": 3}}).warm_up_overload == 3
    assert (
        gateway.slow_start.available_share(gateway.hosts_by_id["cold"], late)
        > certain_load
        > gateway.hosts_by_id["cold"].credit
        > certain_load / 2
    )


def test_of_six_new_hosts_among_ten_none_fails_late_in_its_warm_up():
    assert not play(day(737), 737)["broken"]


def simulate_hard_case(case, seed):
    """Simulates one of the hard cases, by its name."""
    return play(day(seed)._replace(**HARD[case]), seed)


def test_the_credit_of_a_cold_host_is_proportional_to_its_capacity():
    gateway = make_gateway(
        row("a", capacity=4.0),
        row("b", capacity=3.0),
        row("small", capacity=1.0, started=0),
        row("large", capacity=4.0, started=0),
    )
    gateway.slow_start.record_answer(1, gateway.hosts_by_id["a"])
    small, large = gateway.hosts_by_id["small"], gateway.hosts_by_id["large"]
    # The capacity of the small host is a third of the mean, that of the large host counts as the mean.
    assert small.credit == pytest.approx(large.credit / 3)


def test_small_cold_hosts_among_large_ones_do_not_fail_in_an_overloaded_fleet():
    result = simulate_hard_case("small hosts among large ones, in a fleet of 230", 3)
    assert not result["fallen"]
    assert not result["broken"]
    assert result["served"] > 0.6


def test_an_answer_of_a_cold_host_gives_credit_to_that_host_alone():
    gateway = make_gateway(*[row(f"c{number}", started=0) for number in range(4)])
    quick, slow = gateway.hosts_by_id["c0"], gateway.hosts_by_id["c1"]
    for now in range(10):
        gateway.slow_start.record_answer(now, quick)
    assert quick.credit == pytest.approx(10)
    assert slow.credit == 0


def test_a_host_without_warm_up_progress_does_not_fail_from_answers_of_faster_ones():
    result = simulate_hard_case("all cold, they gain unlike, in a fleet of 30", 0)
    assert not result["fallen"]
    assert not result["broken"]
    assert result["served"] > 0.5


def test_a_burst_of_requests_gives_cold_hosts_no_more_than_the_credit_rate():
    gateway = make_gateway(*[row(f"c{number}", started=0) for number in range(4)], gateways=2)
    host, credit = gateway.hosts_by_id["c0"], 0.0
    for now in range(0, SECOND, SECOND // 1000):
        gateway.slow_start.record_request(now)
        credit, host.credit = credit + host.credit, 0.0  # spent at once
    assert 0.4 < credit <= 0.5  # half an attempt: the other gateway gets as much credit


def test_a_fleet_of_cold_hosts_does_not_fail_in_a_burst_of_client_retries():
    result = simulate_hard_case("all cold, strong, a storm, in a fleet of 1", 0)
    assert not result["fallen"]
    assert not result["broken"]


@pytest.mark.parametrize(("seconds", "gives_credit"), [(1.3, True), (1.5, False)])
def test_an_overdue_answer_of_a_warm_host_gives_no_credit(seconds, gives_credit):
    """An answer that waits for a load is in time within four usual answer times and two usual load times."""
    gateway = make_gateway(row("warm"), row("cold", started=0))
    gateway.functions.find_or_add("f", 4).answer_times.append(SECOND // 10)
    gateway.answer_times.load_times.append(SECOND // 2)
    drive = Drive(gateway, task())
    drive.hears(int(seconds * SECOND), Result.OK, took=int(seconds * SECOND))
    assert drive.sent == ["warm"]
    assert (gateway.hosts_by_id["cold"].credit > 0) is gives_credit


def test_a_cold_host_may_answer_after_all_hosts_have_left_the_list():
    gateway = make_gateway(row("cold", started=0))
    gateway.hosts_by_id["cold"].credit = 1.0
    drive = Drive(gateway, task())
    gateway.update_hosts(1, [], complete=True)
    drive.hears(2, Result.OK)
    assert drive.ended
    assert not gateway.active_hosts


def test_a_cold_host_does_not_fail_when_all_answers_arrive_at_once_after_a_stall():
    result = simulate_hard_case("answers stall, in a fleet of 30", 1)
    assert not result["fallen"]
    assert not result["broken"]
    assert result["served"] > 0.8


def test_a_cold_host_gets_its_share_of_the_mean_of_a_warm_host():
    gateway = make_gateway(row("a"), row("b"), row("cold", started=0))
    sent = []
    for number in range(200):
        # Every request prefers the instance at the cold host.
        gateway.functions.find_or_add("f", 4).last_used = {"cold": 10 * number}
        drive = Drive(gateway, task(str(number)), 10 * number)
        sent += drive.sent
        drive.hears(10 * number + 5, Result.OK)
    assert (
        0 < sent.count("cold") <= 1.5 * 0.21 * 200 / 2
    )  # about its share, because hosts are skipped at random


def test_unspent_credit_decays_so_that_many_gateways_cause_no_burst():
    gateway = make_gateway(row("a"), row("cold", started=0))
    cold = gateway.hosts_by_id["cold"]
    for now in range(0, 5 * SECOND, SECOND // 10):
        gateway.slow_start.record_answer(now, gateway.hosts_by_id["a"])
    available_share = gateway.slow_start.available_share(cold, now)
    assert (
        available_share <= cold.credit <= 10 * available_share
    )  # no more than the answers of the last second gave
    gateway.slow_start.record_answer(8 * SECOND, gateway.hosts_by_id["a"])
    new = make_gateway(row("a"), row("cold", started=0))
    new.slow_start.record_answer(8 * SECOND, new.hosts_by_id["a"])
    assert cold.credit == new.hosts_by_id["cold"].credit > 0


def test_refusals_give_no_credit_to_cold_hosts_and_pause_the_full_host():
    gateway = make_gateway(row("a"), row("cold", started=0))
    drive = Drive(gateway, task())
    drive.hears(1, Result.FULL)
    assert drive.sent == ["a"]
    assert gateway.hosts_by_id["cold"].credit == 0


def test_a_new_gateway_does_not_send_a_burst_to_cold_hosts():
    gateway = make_gateway(row("a"), row("cold", started=0))
    sent = [host for number in range(8) for host in Drive(gateway, task(str(number), str(number)), 1).sent]
    assert sent.count("cold") <= 2
