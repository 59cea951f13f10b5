"""What the decisions make of a hint."""

import pytest
from helpers import MILLI, SECOND, Drive, gateway, row, task
from observation_scenes import ranked

from gaproute.interface import InstanceStatus, ListedHostState, Outcome, Result


def outcome(name, worker, found=InstanceStatus.WARM):
    return Outcome(name, 0, worker, Result.OK, 100 * MILLI, True, found, None, None)


def test_a_hint_gives_way_to_what_was_seen_and_is_void_for_hosts_not_active_or_wiped():
    made = gateway(row("a"), row("b", state=ListedHostState.DRAINING))
    assert made.hint_instance("a", "f", 4, 5 * SECOND)
    assert not made.hint_instance("a", "f", 4, 4 * SECOND)
    assert made.hint_instance("a", "f", 4, 6 * SECOND)
    assert made.functions_by_name["f"].hinted_at == {"a": 6 * SECOND}
    assert not made.hint_instance("b", "f", 4, 5 * SECOND)
    assert not made.hint_instance("nobody", "f", 4, 5 * SECOND)
    made.hosts_by_id["a"].instances_lost_at = 6 * SECOND
    assert not made.hint_instance("a", "g", 4, 5 * SECOND)


def test_what_was_seen_is_not_overwritten_by_a_fresher_hint():
    made = gateway(row("a"))
    driven = Drive(made, task(), 0)
    driven.hears(SECOND, Result.OK)
    assert not made.hint_instance("a", "f", 4, 5 * SECOND)
    assert made.functions_by_name["f"].last_used == {"a": SECOND}


def test_a_hinted_host_is_chosen_before_hosts_of_which_nothing_is_known():
    for name in "abc":
        made = gateway()
        made.hint_instance(name, "f", 4, 5 * SECOND)
        wish = made.serve(6 * SECOND, task()).send(None)
        assert wish.host == name


def trial(made, number, found=InstanceStatus.WARM, told=None):
    """A function whose copy is told to stand where the hash would not send it; a task of it, answered."""
    name = f"f{number}"
    order = [worker.id for worker in ranked(made, name)]
    made.hint_instance(order[1], name, 4, 5 * SECOND)
    driven = Drive(made, task(f"t{number}", name), 6 * SECOND)
    if found is not None:
        driven.hears(7 * SECOND, Result.OK, found=found)
    return driven.sent[0] == order[1]


def test_two_hints_are_on_trial_at_a_time():
    made = gateway()
    assert [trial(made, number, None) for number in range(3)] == [True, True, False]
    assert trial(gateway(), 0)


def test_a_hint_that_waits_for_its_trial_has_its_turn_with_a_later_task():
    made = gateway()
    assert trial(made, 0, None)
    assert trial(made, 1, None)
    assert not trial(made, 2, None)
    made.attempt_ended(7 * SECOND, outcome("t0", ranked(made, "f0")[1].id))
    assert made.functions_by_name["f2"].hinted_at
    made.hints.follow_hint(8 * SECOND, "f2", made.functions_by_name["f2"])
    assert ranked(made, "f2")[1].id in made.functions_by_name["f2"].last_used


def test_two_wrong_hints_end_it_however_many_were_right():
    made = gateway()
    assert all(trial(made, number) for number in range(20))
    assert trial(made, 20, InstanceStatus.BEGAN_LOAD)
    assert trial(made, 21, InstanceStatus.LOAD_FAILED)
    assert not trial(made, 22)


def test_a_trial_of_which_nothing_is_told_holds_up_the_others_for_a_while_only():
    made = gateway()
    assert trial(made, 0, None)
    assert trial(made, 1, None)
    assert not trial(made, 2, None)
    made.hints.follow_hint(20 * SECOND, "f2", made.functions_by_name["f2"])
    assert ranked(made, "f2")[1].id in made.functions_by_name["f2"].last_used
    assert (made.hints.right_count, made.hints.wrong_count) == (0, 0)
    made = gateway()
    assert trial(made, 0, InstanceStatus.UNKNOWN)
    assert not made.hints.trials
    assert (made.hints.right_count, made.hints.wrong_count) == (0, 0)


def test_the_first_choice_of_the_hash_is_tried_where_it_was_told():
    made = gateway()
    first, second = (worker.id for worker in ranked(made, "f")[:2])
    made.hint_instance(second, "f", 4, 5 * SECOND)
    made.hint_instance(first, "f", 4, 4 * SECOND)
    made.hints.follow_hint(6 * SECOND, "f", made.functions_by_name["f"])
    assert made.functions_by_name["f"].last_used == {first: 4 * SECOND}
    assert set(made.hints.trials) == {("f", first)}


def test_hints_of_hosts_that_left_the_list_meanwhile_are_not_followed():
    made = gateway()
    made.hint_instance("a", "f", 4, 5 * SECOND)
    made.update_hosts(6 * SECOND, [row("b"), row("c")], complete=True)
    assert made.serve(6 * SECOND, task()).send(None).host != "a"
    assert "a" not in made.functions_by_name["f"].last_used


def test_a_suspicion_told_weighs_less_than_one_good_answer():
    made = gateway(row("a"), row("b"))
    assert made.hint_failures("a", 0, 1.0, 5 * SECOND)
    assert not made.hint_failures("nobody", 0, 1.0, 5 * SECOND)
    assert 0 < made.outliers.doubt(made.hosts_by_id["a"], 0, 6 * SECOND) < 0.3
    made.outliers.record(made.hosts_by_id["a"], 6 * SECOND, 0, 0.0)
    assert made.outliers.doubt(made.hosts_by_id["a"], 0, 7 * SECOND) == 0
    assert not made.hint_failures("a", 0, 1.0, 7 * SECOND)


def test_usual_times_and_pace_are_taken_only_where_nothing_is_known():
    made = gateway(row("a"))
    assert not made.hint_usual_time("f", MILLI)
    made.hint_instance("a", "f", 4, SECOND)
    assert made.hint_usual_time("f", MILLI)
    assert not made.hint_usual_time("f", 2 * MILLI)
    assert made.hint_usual_time(None, SECOND)
    assert not made.hint_usual_time(None, 2 * SECOND)
    assert made.hint_slowdown("a", 3.0, SECOND)
    assert made.hosts_by_id["a"].slowdown == 3.0


@pytest.mark.parametrize(("wrong", "taken"), [(0, 64), (1, 0)])
def test_the_mix_told_is_taken_once_eight_hints_proved_right_and_none_wrong(wrong, taken):
    made = gateway()
    made.hint_function_mix(["f"] * 64 + [""] * 64)
    assert all(trial(made, number) for number in range(7))
    assert made.function_mix.recent.count("f") == 0
    made.hints.wrong_count = wrong
    assert trial(made, 7)
    assert made.function_mix.recent.count("f") == taken


def test_the_mix_told_is_not_taken_after_own_tasks_have_made_one():
    made = gateway()
    made.function_mix.recent.extend(["own"] * 128)
    made.hint_function_mix(["f"] * 128)
    assert all(trial(made, number) for number in range(9))
    assert made.function_mix.recent.count("f") == 0


def test_only_what_was_answered_is_told_on():
    made = gateway()
    made.hint_instance("a", "f", 4, 5 * SECOND)
    assert [fact for fact in made.observations_since(8 * SECOND) if fact[0] == "warm"] == []
    made.functions_by_name["f"].proven_at["b"] = made.functions_by_name["f"].answered_at = 7 * SECOND
    assert list(made.observations_since(8 * SECOND)) == [("warm", ("b", "f"), (4,), 7 * SECOND)]
    assert list(made.observations_since(8 * SECOND, 7 * SECOND)) == []
