"""What the decisions do with hints."""

import pytest
from helpers import MILLI, SECOND, Drive, gateway, row, task
from observation_scenes import ranked_hosts

from gaproute.interface import InstanceStatus, ListedHostState, Outcome, Result


def outcome(name, host, found=InstanceStatus.WARM):
    return Outcome(name, 0, host, Result.OK, 100 * MILLI, True, found, None, None)


def test_a_hint_is_used_only_if_it_is_recent_and_its_host_is_active_and_kept_its_instances():
    decisions = gateway(row("a"), row("b", state=ListedHostState.DRAINING))
    assert decisions.hint_instance("a", "f", 4, 5 * SECOND)
    assert not decisions.hint_instance("a", "f", 4, 4 * SECOND)
    assert decisions.hint_instance("a", "f", 4, 6 * SECOND)
    assert decisions.functions_by_name["f"].hinted_at == {"a": 6 * SECOND}
    assert not decisions.hint_instance("b", "f", 4, 5 * SECOND)
    assert not decisions.hint_instance("nobody", "f", 4, 5 * SECOND)
    decisions.hosts_by_id["a"].instances_lost_at = 6 * SECOND
    assert not decisions.hint_instance("a", "g", 4, 5 * SECOND)


def test_a_more_recent_hint_does_not_replace_an_own_observation():
    decisions = gateway(row("a"))
    driven = Drive(decisions, task(), 0)
    driven.hears(SECOND, Result.OK)
    assert not decisions.hint_instance("a", "f", 4, 5 * SECOND)
    assert decisions.functions_by_name["f"].last_used == {"a": SECOND}


def test_a_hinted_host_is_preferred_to_hosts_without_observations():
    for name in "abc":
        decisions = gateway()
        decisions.hint_instance(name, "f", 4, 5 * SECOND)
        action = decisions.serve(6 * SECOND, task()).send(None)
        assert action.host == name


def trial(decisions, number, found=InstanceStatus.WARM):
    """Hints an instance at a host that is not the first of the ranking; returns whether a request goes to it.

    The request is answered with `found`, unless that is None.
    """
    name = f"f{number}"
    order = [host.id for host in ranked_hosts(decisions, name)]
    decisions.hint_instance(order[1], name, 4, 5 * SECOND)
    driven = Drive(decisions, task(f"t{number}", name), 6 * SECOND)
    if found is not None:
        driven.hears(7 * SECOND, Result.OK, found=found)
    return driven.sent[0] == order[1]


def test_two_hints_are_on_trial_at_a_time():
    decisions = gateway()
    assert [trial(decisions, number, None) for number in range(3)] == [True, True, False]
    assert trial(gateway(), 0)


def test_a_hint_that_waits_for_its_trial_is_tried_with_a_later_request():
    decisions = gateway()
    assert trial(decisions, 0, None)
    assert trial(decisions, 1, None)
    assert not trial(decisions, 2, None)
    decisions.attempt_ended(7 * SECOND, outcome("t0", ranked_hosts(decisions, "f0")[1].id))
    assert decisions.functions_by_name["f2"].hinted_at
    decisions.hints.follow_hint(8 * SECOND, "f2", decisions.functions_by_name["f2"])
    assert ranked_hosts(decisions, "f2")[1].id in decisions.functions_by_name["f2"].last_used


def test_hints_are_not_used_after_two_wrong_ones_however_many_were_right():
    decisions = gateway()
    assert all(trial(decisions, number) for number in range(20))
    assert trial(decisions, 20, InstanceStatus.BEGAN_LOAD)
    assert trial(decisions, 21, InstanceStatus.LOAD_FAILED)
    assert not trial(decisions, 22)


def test_a_trial_without_a_result_delays_other_trials_only_for_a_while():
    decisions = gateway()
    assert trial(decisions, 0, None)
    assert trial(decisions, 1, None)
    assert not trial(decisions, 2, None)
    decisions.hints.follow_hint(20 * SECOND, "f2", decisions.functions_by_name["f2"])
    assert ranked_hosts(decisions, "f2")[1].id in decisions.functions_by_name["f2"].last_used
    assert (decisions.hints.right_count, decisions.hints.wrong_count) == (0, 0)
    decisions = gateway()
    assert trial(decisions, 0, InstanceStatus.UNKNOWN)
    assert not decisions.hints.trials
    assert (decisions.hints.right_count, decisions.hints.wrong_count) == (0, 0)


def test_of_two_hints_the_one_that_ranks_first_is_tried():
    decisions = gateway()
    first, second = (host.id for host in ranked_hosts(decisions, "f")[:2])
    decisions.hint_instance(second, "f", 4, 5 * SECOND)
    decisions.hint_instance(first, "f", 4, 4 * SECOND)
    decisions.hints.follow_hint(6 * SECOND, "f", decisions.functions_by_name["f"])
    assert decisions.functions_by_name["f"].last_used == {first: 4 * SECOND}
    assert set(decisions.hints.trials) == {("f", first)}


def test_hints_of_hosts_that_left_the_list_are_not_used():
    decisions = gateway()
    decisions.hint_instance("a", "f", 4, 5 * SECOND)
    decisions.update_hosts(6 * SECOND, [row("b"), row("c")], complete=True)
    assert decisions.serve(6 * SECOND, task()).send(None).host != "a"
    assert "a" not in decisions.functions_by_name["f"].last_used


def test_a_hinted_failure_has_less_weight_than_one_good_answer():
    decisions = gateway(row("a"), row("b"))
    assert decisions.hint_failures("a", 0, 1.0, 5 * SECOND)
    assert not decisions.hint_failures("nobody", 0, 1.0, 5 * SECOND)
    assert 0 < decisions.outliers.doubt(decisions.hosts_by_id["a"], 0, 6 * SECOND) < 0.3
    decisions.outliers.record(decisions.hosts_by_id["a"], 6 * SECOND, 0, 0.0)
    assert decisions.outliers.doubt(decisions.hosts_by_id["a"], 0, 7 * SECOND) == 0
    assert not decisions.hint_failures("a", 0, 1.0, 7 * SECOND)


def test_usual_times_and_slowdowns_are_used_only_without_own_observations():
    decisions = gateway(row("a"))
    assert not decisions.hint_usual_time("f", MILLI)
    decisions.hint_instance("a", "f", 4, SECOND)
    assert decisions.hint_usual_time("f", MILLI)
    assert not decisions.hint_usual_time("f", 2 * MILLI)
    assert decisions.hint_usual_time(None, SECOND)
    assert not decisions.hint_usual_time(None, 2 * SECOND)
    assert decisions.hint_slowdown("a", 3.0, SECOND)
    assert decisions.hosts_by_id["a"].slowdown == 3.0


@pytest.mark.parametrize(("wrong", "used"), [(0, 64), (1, 0)])
def test_the_hinted_mix_is_used_after_eight_right_hints_and_no_wrong_one(wrong, used):
    decisions = gateway()
    decisions.hint_function_mix(["f"] * 64 + [""] * 64)
    assert all(trial(decisions, number) for number in range(7))
    assert decisions.function_mix.recent.count("f") == 0
    decisions.hints.wrong_count = wrong
    assert trial(decisions, 7)
    assert decisions.function_mix.recent.count("f") == used


def test_the_hinted_mix_is_not_used_after_own_requests():
    decisions = gateway()
    decisions.function_mix.recent.extend(["own"] * 128)
    decisions.hint_function_mix(["f"] * 128)
    assert all(trial(decisions, number) for number in range(9))
    assert decisions.function_mix.recent.count("f") == 0


def test_only_instances_proven_by_an_answer_are_reported():
    decisions = gateway()
    decisions.hint_instance("a", "f", 4, 5 * SECOND)
    assert [
        observation for observation in decisions.observations_since(8 * SECOND) if observation[0] == "warm"
    ] == []
    decisions.functions_by_name["f"].proven_at["b"] = decisions.functions_by_name["f"].answered_at = (
        7 * SECOND
    )
    assert list(decisions.observations_since(8 * SECOND)) == [("warm", ("b", "f"), (4,), 7 * SECOND)]
    assert list(decisions.observations_since(8 * SECOND, 7 * SECOND)) == []
