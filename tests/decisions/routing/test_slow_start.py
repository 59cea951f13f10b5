"""Cold hosts over a whole fleet: what each gateway may send, and what all together send."""

import pytest
from helpers import SECOND, Drive, gateway, row, task

from benchmarks.cold import HARD, ColdDay, day, play
from gaproute.decisions.routing.request_attempts import RequestAttempts
from gaproute.interface import Result
from gaproute.settings import read_terms


def test_a_fleet_all_cold_is_looked_through_once_a_choice():
    made = gateway(*[row(f"h{number}", started=0) for number in range(1200)])
    for host in made.active_hosts:
        host.credit = 1 / SECOND  # each is passed over
    assert made.selector.choose(0, task(), RequestAttempts()) is None
    assert not any(host.credit for host in made.active_hosts)


@pytest.mark.parametrize(("kind", "gateways"), [("all", 3), ("all", 30), ("all", 200), ("join", 30)])
def test_no_cold_host_falls_by_the_sum_over_the_fleet(kind, gateways):
    """They gain nothing until they are warm, the least that the settings promise."""
    found = play(ColdDay(kind, gateways, 12, 0.6, 0.17, "step", True, False, False, False), 4)
    assert not found["broken"]
    assert found["served"] > (0.2 if kind == "all" else 0.8)


def test_with_few_warm_answers_of_cold_hosts_earn_so_that_none_starve():
    made = gateway(row("a"), *[row(f"c{number}", started=0) for number in range(9)])
    cold = [host for host in made.active_hosts if host.id != "a"]
    made.slow_start.record_answer(1, cold[0])
    assert sum([host.credit for host in cold]) == pytest.approx(0.8)  # one warm, five would do
    half = gateway(row("a"), row("b", started=0))
    half.slow_start.record_answer(1, half.hosts_by_id["b"])
    assert half.hosts_by_id["b"].credit == 0


def test_a_cold_host_counts_for_no_more_than_it_surely_bears():
    """How it gains is not known: it may have nothing but its first share until the last moment."""
    made = gateway(row("a"), row("cold", started=0))
    late = made.hosts_by_id["cold"].warm_at - 1
    made.slow_start.record_answer(late, made.hosts_by_id["a"])
    bears = made.settings.warm_up_overload * made.settings.warm_up_share
    assert read_terms({"rules": {"fall_multiple": 3}}).warm_up_overload == 3
    assert (
        made.slow_start.available_share(made.hosts_by_id["cold"], late)
        > bears
        > made.hosts_by_id["cold"].credit
        > bears / 2
    )


def test_a_host_of_six_in_ten_new_ones_does_not_fall_late_in_its_cold_time():
    assert not play(day(737), 737)["broken"]


def hard(case, seed):
    """A play of one of the hard cases, by its name."""
    return play(day(seed)._replace(**HARD[case]), seed)


def test_a_small_cold_host_earns_its_share_of_what_a_host_of_its_size_does():
    made = gateway(
        row("a", capacity=4.0),
        row("b", capacity=3.0),
        row("small", capacity=1.0, started=0),
        row("large", capacity=4.0, started=0),
    )
    made.slow_start.record_answer(1, made.hosts_by_id["a"])
    small, large = made.hosts_by_id["small"], made.hosts_by_id["large"]
    assert small.credit == pytest.approx(
        large.credit / 3
    )  # a third of the mean; the large one gets the mean's


def test_small_cold_hosts_among_large_ones_do_not_fall_where_all_are_crowded():
    found = hard("small hosts among large ones, in a fleet of 230", 3)
    assert not found["fallen"]
    assert not found["broken"]
    assert found["served"] > 0.6


def test_an_answer_of_a_cold_host_earns_that_one_alone():
    made = gateway(*[row(f"c{number}", started=0) for number in range(4)])
    quick, slow = made.hosts_by_id["c0"], made.hosts_by_id["c1"]
    for now in range(10):
        made.slow_start.record_answer(now, quick)
    assert quick.credit == pytest.approx(10)
    assert slow.credit == 0


def test_a_cold_host_that_gains_nothing_does_not_fall_by_what_those_that_gain_soon_answer():
    found = hard("all cold, they gain unlike, in a fleet of 30", 0)
    assert not found["fallen"]
    assert not found["broken"]
    assert found["served"] > 0.5


def test_a_storm_of_requests_earns_cold_hosts_no_more_than_calls_a_second():
    made = gateway(*[row(f"c{number}", started=0) for number in range(4)], gateways=2)
    host, earned = made.hosts_by_id["c0"], 0.0
    for now in range(0, SECOND, SECOND // 1000):
        made.slow_start.record_request(now)
        earned, host.credit = earned + host.credit, 0.0  # spent at once
    assert 0.4 < earned <= 0.5  # half of one: the other gateway earns as much


def test_a_fleet_all_cold_does_not_fall_in_a_storm_of_clients_that_ask_again():
    found = hard("all cold, strong, a storm, in a fleet of 1", 0)
    assert not found["fallen"]
    assert not found["broken"]


@pytest.mark.parametrize(("took", "earns"), [(1.3, True), (1.5, False)])
def test_an_overdue_answer_of_a_warm_host_earns_no_credit(took, earns):
    """A load is waited for: four usual answer times and two usual loads are in time."""
    made = gateway(row("warm"), row("cold", started=0))
    made.functions.find_or_add("f", 4).answer_times.append(SECOND // 10)
    made.answer_times.load_times.append(SECOND // 2)
    drive = Drive(made, task())
    drive.hears(int(took * SECOND), Result.OK, took=int(took * SECOND))
    assert drive.sent == ["warm"]
    assert (made.hosts_by_id["cold"].credit > 0) is earns


def test_a_cold_host_that_has_left_with_all_others_may_still_answer():
    made = gateway(row("cold", started=0))
    made.hosts_by_id["cold"].credit = 1.0
    drive = Drive(made, task())
    made.update_hosts(1, [], complete=True)
    drive.hears(2, Result.OK)
    assert drive.ended
    assert not made.active_hosts


def test_a_cold_host_does_not_fall_where_all_answers_come_at_once_after_a_stall():
    found = hard("answers stall, in a fleet of 30", 1)
    assert not found["fallen"]
    assert not found["broken"]
    assert found["served"] > 0.8


def test_cold_hosts_get_their_share_of_the_mean_per_warm_peer():
    made = gateway(row("a"), row("b"), row("cold", started=0))
    sent = []
    for number in range(200):
        made.functions.find_or_add("f", 4).last_used = {
            "cold": 10 * number
        }  # every task wants the copy there
        drive = Drive(made, task(str(number)), 10 * number)
        sent += drive.sent
        drive.hears(10 * number + 5, Result.OK)
    assert 0 < sent.count("cold") <= 1.5 * 0.21 * 200 / 2  # by chance, so about its share


def test_unspent_credit_fades_so_that_many_gateways_save_up_no_burst():
    made = gateway(row("a"), row("cold", started=0))
    cold = made.hosts_by_id["cold"]
    for now in range(0, 5 * SECOND, SECOND // 10):
        made.slow_start.record_answer(now, made.hosts_by_id["a"])
    last = made.slow_start.available_share(cold, now)
    assert last <= cold.credit <= 10 * last  # no more than the last second's answers earned
    made.slow_start.record_answer(8 * SECOND, made.hosts_by_id["a"])
    fresh = gateway(row("a"), row("cold", started=0))
    fresh.slow_start.record_answer(8 * SECOND, fresh.hosts_by_id["a"])
    assert cold.credit == fresh.hosts_by_id["cold"].credit > 0


def test_refusals_earn_a_cold_host_nothing_and_give_the_full_host_rest():
    made = gateway(row("a"), row("cold", started=0))
    drive = Drive(made, task())
    drive.hears(1, Result.FULL)
    assert drive.sent == ["a"]
    assert made.hosts_by_id["cold"].credit == 0


def test_a_fresh_gateway_does_not_burst_on_cold_hosts():
    made = gateway(row("a"), row("cold", started=0))
    sent = [host for number in range(8) for host in Drive(made, task(str(number), str(number)), 1).sent]
    assert sent.count("cold") <= 2
