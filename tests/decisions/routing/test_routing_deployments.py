"""What the module stopped taking for granted when deployments of another shape came (docs/assumptions.md)."""

import pytest
from helpers import MILLI, SECOND, Drive, gateway, row, task

from gaproute import interface as face
from gaproute.decisions.routing.beliefs import KEPT, LOAD_LIFE, RECENT, ROOM, Trail
from gaproute.interface import Result


def ranked(made, *order, function="f"):
    """The hash's order set by hand."""
    known = made.function(function, 1)
    known.order = [made.workers[name] for name in order]
    known.ranks = {name: rank for rank, name in enumerate(order)}
    known.ranked_for = made.list_version
    return known


def single(name="t"):
    return task(name)._replace(lanes=1)


def crowd(made, name, count, now=0):
    made.note(made.workers[name], now, face.Report(in_hand=count))


def heard(made, name, now, sent, result=Result.OK, took=100 * MILLI, of="t", found=face.Found.WARM):
    made.hands[of, sent] = (name, "f", 0, sent, True)
    made.heard(now, face.Outcome(of, sent, name, result, took, True, found, None, None))


def test_one_task_at_work_does_not_outweigh_a_copy_that_runs_one_at_a_time():
    made = gateway()
    ranked(made, "b", "a", "c").seen["a"] = 0
    crowd(made, "a", 4)
    assert made.choose(MILLI, single(), Trail()).id == "a"
    crowd(made, "a", 200)
    assert made.choose(MILLI, single(), Trail()).id == "b"


def test_a_copy_is_worth_more_while_loads_take_long():
    made = gateway()
    ranked(made, "b", "a", "c").seen["a"] = 0
    crowd(made, "a", 100)
    assert made.choose(MILLI, single(), Trail()).id == "b"
    made.loads.append(4 * SECOND)
    assert made.choose(MILLI, single(), Trail()).id == "a"


@pytest.mark.parametrize("age, counts", [(LOAD_LIFE, True), (LOAD_LIFE + 1, False)])
def test_a_reported_queue_counts_for_as_long_as_crowds_last(age, counts):
    made = gateway()
    crowd(made, "a", 50)
    assert (made.queued(made.workers["a"], 1, age) == 50) is counts


def test_a_failed_connection_leaves_the_belief_in_copies_a_broken_one_does_not():
    made = gateway()
    heard(made, "a", 1, 0)
    heard(made, "a", 2, 1, Result.CONNECT_FAILED)
    function, worker = made.functions["f"], made.workers["a"]
    assert made.warmth(function, worker, 3) > 0.9
    heard(made, "a", 4, 3, Result.RESET)
    assert made.warmth(function, worker, 5) == 0


def test_what_was_refused_goes_to_a_copy_that_stands_before_a_load_elsewhere():
    made = gateway()
    ranked(made, "a", "b", "c").seen.update(a=0, c=0)
    crowd(made, "c", 200)
    trail = Trail()
    trail.failed.append(made.workers["a"])
    assert made.choose(MILLI, single(), trail).id == "c"
    made.functions["f"].seen.pop("c")
    assert made.choose(MILLI, single(), trail).id == "b"


def zoned():
    made = gateway(*(row(f"{zone}{number}", zone=zone) for zone in (0, 1) for number in range(3)))
    made.zone_heard[1] = 0
    for number in range(2):
        worker = made.workers[f"1{number}"]
        worker.out["x", number] = 1
        made.hands["x", number] = (worker.id, "g", 0, 1, True)
        worker.late["x", number] = False
    return made


def test_a_zone_with_two_silent_workers_is_left_alone_until_it_is_heard():
    made = zoned()
    ranked(made, "12", "00", "01", "02", "10", "11").seen["12"] = 0
    made.hear_zones(SECOND)
    assert made.choose(SECOND, task(), Trail()).zone == 0
    heard(made, "10", SECOND, 0)
    assert made.choose(SECOND, task(), Trail()).id == "12"


def test_one_silent_worker_or_a_zone_heard_since_is_no_silent_zone():
    made = zoned()
    made.workers["11"].late.clear()
    made.hear_zones(SECOND)
    assert not made.silent
    made = zoned()
    made.zone_heard[1] = 2
    made.hear_zones(SECOND)
    assert not made.silent


def test_a_silent_zone_gets_one_trial_in_a_while():
    made = zoned()
    ranked(made, "12", "00", "01", "02", "10", "11").seen["12"] = SECOND + RECENT
    made.hear_zones(SECOND)
    now = SECOND + RECENT
    assert made.choose(now, task(), Trail()).id == "12"
    made.sent(now, task(), 0, made.workers["12"], Trail())
    assert made.choose(now + MILLI, task("u"), Trail()).zone == 0


def queues(made, count):
    made.drains.extend([(0, 100 * MILLI)] * KEPT)
    for name in ("a", "b", "c"):
        crowd(made, name, count, SECOND)


def test_a_long_queue_at_the_best_worker_declines_tasks_by_chance_and_lets_some_through():
    made = gateway()
    queues(made, 12)  # 1.2 s expected
    ended = [Drive(made, task(f"t{number}"), SECOND).ended for number in range(40)]
    assert 20 < sum(ended) < 40


def test_a_short_queue_declines_nothing_and_an_unknown_one_counts_as_the_usual():
    made = gateway()
    queues(made, 3)
    assert not any(Drive(made, task(f"t{number}"), SECOND).ended for number in range(20))
    made = gateway(*(row(name) for name in "abcd"))
    queues(made, 40)
    worker = made.workers["d"]
    assert sum([made.shed(SECOND, task(), made.tracks[0], worker) for _ in range(20)]) > 15


def test_a_task_is_shed_before_its_first_relay_only():
    made = gateway()
    drive = Drive(made, task())
    queues(made, 400)
    drive.hears(SECOND // 2, Result.ERROR)
    assert len(drive.sent) == 2


def test_the_pace_of_queues_is_forgotten_when_no_queue_has_told_it_lately():
    made = gateway()
    queues(made, 12)
    late = SECOND + RECENT
    for name in ("a", "b", "c"):
        crowd(made, name, 12, late)
    assert not any(Drive(made, task(f"t{number}"), late).ended for number in range(20))


def test_a_queue_shorter_than_a_worker_runs_at_once_promises_no_wait():
    made = gateway()
    made.drains.extend([(0, 2 * SECOND)] * KEPT)
    crowd(made, "a", ROOM - 1, SECOND)
    assert not any(made.shed(SECOND, task(), made.tracks[0], made.workers["a"]) for _ in range(20))


def test_a_slow_worker_sets_no_pace_for_the_others_queues():
    made = gateway()
    made.function("f", 4).times.extend([100 * MILLI] * KEPT)
    for slow in (0, 1):
        worker = made.workers["ab"[slow]]
        worker.paces.extend([(SECOND, 9.0 if slow else 1.0)] * 4)
        crowd(made, worker.id, 12, SECOND)
        heard(made, worker.id, SECOND, 0, took=900 * MILLI if slow else 100 * MILLI)
        assert len(made.drains) == 1


def test_an_error_of_a_task_that_may_not_run_again_weighs_whole():
    made = gateway()
    for name, track, weight in (("a", 0, 0.4), ("b", 2, 1.0)):
        made.hands["t", 0] = (name, "f", track, 0, True)
        made.heard(
            SECOND, face.Outcome("t", 0, name, Result.ERROR, MILLI, False, face.Found.UNKNOWN, None, None)
        )
        assert made.workers[name].results[-1] == (SECOND, track, weight)


def test_while_the_best_worker_rests_another_standing_copy_is_used_and_none_is_loaded():
    made = gateway()
    function = ranked(made, "a", "b", "c")
    function.seen.update(a=SECOND, b=0)
    made.workers["a"].full_until = 2 * SECOND
    assert made.choose(SECOND, task(), Trail()).id == "b" and function.rests_until == 2 * SECOND
    made.workers["b"].full_until = 2 * SECOND
    assert made.choose(SECOND, task(), Trail()) is None
    assert made.choose(2 * SECOND, task(), Trail()).id == "a"


def test_a_broken_relay_voids_the_belief_in_copies_only_as_the_last_out():
    made = gateway()
    function = ranked(made, "a", "b", "c")
    function.seen["a"] = 0
    worker = made.workers["a"]
    worker.out = {("other", 0): 0}
    heard(made, "a", SECOND, 0, Result.RESET)
    assert made.warmth(function, worker, SECOND) > 0
    worker.out = {}
    heard(made, "a", SECOND, 1, Result.RESET, of="u")
    assert made.warmth(function, worker, SECOND) == 0


def test_good_answers_of_other_tracks_do_not_push_out_a_tracks_failures():
    made = gateway()
    worker = made.workers["a"]
    for _ in range(2):
        made.book(worker, SECOND, 2, 1.0)
    for _ in range(3 * KEPT):
        made.book(worker, SECOND, 0, 0.0)
    assert made.doubt(worker, 2, SECOND) > 0.5 and made.doubt(worker, 0, SECOND) == 0
    assert len(worker.results) == 2 + KEPT
