import pytest
from helpers import (
    IDEMPOTENT,
    IDEMPOTENT_WITH_KEY,
    MILLI,
    NON_IDEMPOTENT,
    SECOND,
    TERMS,
    Drive,
    gateway,
    row,
    task,
)

from gaproute import interface as face
from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing.beliefs import LOOK, ROOM, WIDE, Function, Trail
from gaproute.decisions.routing.measures import FADE
from gaproute.decisions.routing.score import MEMORY, PRIOR, PRIOR_HOT, QUEUE, QUEUE_HOT, WARMTH
from gaproute.decisions.routing.wait import REFUSAL_LIFE
from gaproute.interface import Result

MAY_HAVE_RUN = [Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED]
NEVER_RAN = [Result.FULL, Result.CONNECT_FAILED, Result.NOT_SENT, Result.NOT_LOADED]


def trail_with(made, result, sent=0, still_out=False):
    trail = Trail()
    trail.out[0] = (made.workers["a"], sent)
    trail.first = trail.out[0]
    trail.relays = 1
    if not still_out:
        trail.settle(0, result)
    return trail


@pytest.mark.parametrize("age", [0, 4 * SECOND, 7.5 * SECOND])
def test_warm_with_a_free_lane_beats_cold_idle_at_any_memory_gap(age):
    made = gateway()
    warm, cold = made.workers["a"], made.workers["b"]
    function = made.function("f", 4)
    function.ranks, function.ranked_for = {"b": 0, "c": 1, "a": 2}, made.list_version
    function.order = [made.workers[name] for name in function.ranks]
    function.seen["a"] = 0
    now = int(age)
    for number in range(3):
        warm.out["x", number] = now
    made.note(warm, now, face.Report(memory_busy=1.0))
    made.note(cold, now, face.Report(memory_busy=0.0))
    assert made.choose(now, task(), Trail()) is warm


def test_warmth_is_nought_at_the_end_of_the_keep_alive():
    made, function = gateway(), Function(4)
    function.seen["a"] = 0
    assert made.warmth(function, made.workers["a"], 0) == 1
    assert made.warmth(function, made.workers["a"], made.keep_alive) == 0


@pytest.mark.parametrize("track", [0, 1, 2])
@pytest.mark.parametrize("result", NEVER_RAN)
def test_a_proof_that_nothing_ran_frees_every_track(track, result):
    made = gateway(row("a"), row("b", cell=1))
    assert made.allowed(made.workers["b"], made.tracks[track], trail_with(made, result), SECOND)


@pytest.mark.parametrize("result", MAY_HAVE_RUN)
@pytest.mark.parametrize(
    "group, other, now, lawful",
    [
        (face.Group.ALL, "far", 1, True),
        (face.Group.ALL, "far", 2 * SECOND, False),
        (face.Group.ZONE, "near", 1, True),
        (face.Group.ZONE, "far", 1, False),
        (face.Group.CELL, "same", 1, True),
        (face.Group.CELL, "near", 1, False),
        (face.Group.CELL, "same", 2 * SECOND, False),
    ],
)
def test_receipted_goes_again_only_in_its_group_and_window(result, group, other, now, lawful):
    made = gateway(row("a"), row("same"), row("near", cell=1), row("far", zone=1, cell=2))
    track = IDEMPOTENT_WITH_KEY._replace(group=group)
    for still_out in (True, False):
        assert made.allowed(made.workers[other], track, trail_with(made, result, 0, still_out), now) is lawful


@pytest.mark.parametrize("result", MAY_HAVE_RUN)
def test_effectful_never_goes_again_nor_is_declined_once_it_may_have_run(result):
    made = gateway()
    drive = Drive(made, task(request_class=2))
    drive.hears(MILLI, result)
    assert drive.ended and drive.wishes == [face.Fail()] and len(drive.sent) == 1


def test_effectful_never_goes_again_while_a_relay_is_out():
    made = gateway()
    assert not made.allowed(made.workers["b"], NON_IDEMPOTENT, trail_with(made, None, still_out=True), 1)


def test_first_possible_run_is_the_earliest_relay_not_disproved():
    made = gateway()
    trail = trail_with(made, Result.FULL, 0, still_out=True)
    trail.out[1] = (made.workers["b"], 5)
    trail.settle(0, Result.FULL)
    assert trail.first == (made.workers["b"], 5)


@pytest.mark.parametrize("result", MAY_HAVE_RUN)
def test_a_relay_that_may_have_run_binds_the_task_after_an_earlier_one_is_disproved(result):
    made = gateway(row("a"), row("b"), row("other", cell=1))
    track, trail = IDEMPOTENT_WITH_KEY._replace(group=face.Group.CELL), Trail()
    for relay, name in enumerate("ab"):
        made.sent(relay, task(request_class=1), relay, made.workers[name], trail)
    trail.settle(1, result)
    trail.settle(0, Result.FULL)
    assert trail.first == (made.workers["b"], 1)
    assert not made.allowed(made.workers["other"], track, trail, 2)


def test_a_begun_stream_that_rests_for_over_a_second_goes_on():
    made = gateway()
    drive = Drive(made, task())
    drive.hears(MILLI, Result.STREAM_STARTED)
    drive.late(MILLI + SECOND)
    assert not drive.ended
    drive.hears(2 * SECOND, Result.OK)
    assert drive.ended and drive.wishes == []


def test_no_second_relay_out_where_forbidden():
    made = gateway(hedging_allowed=False)
    assert not made.allowed(made.workers["b"], IDEMPOTENT, trail_with(made, None, still_out=True), 1)


def test_final_answer_before_the_time_is_up_and_nothing_after():
    made = gateway(row("a"))
    drive = Drive(made, task(time_left=SECOND))
    while not drive.ended:
        drive.late(drive.wishes[-1].until)
    assert drive.wishes[-1][:1] == (SECOND,)
    drive = Drive(made, task("u", request_class=2, time_left=0))
    assert drive.ended and not drive.sent


def test_departed_and_delivered_tasks_send_nothing_more():
    made = gateway()
    drive = Drive(made, task())
    drive.hears(MILLI, Result.OK)
    assert drive.ended and drive.wishes == []
    drive = Drive(made, task("u"))
    drive.go((MILLI, face.Outcome("u", -1, "", Result.CLIENT_LEFT, 0, True, face.Found.UNKNOWN, None, None)))
    assert drive.ended and drive.wishes == [face.Cancel(0)]


@pytest.mark.parametrize("change", [[row("a", state=face.State.DRAINING)], [row("a", state=face.State.GONE)]])
def test_drains_stop_tasks_and_orders_at_once(change):
    made = gateway(row("a"))
    drive = Drive(made, task())
    made.listed(1, change, False)
    assert not any(
        isinstance(wish, (face.Attempt, face.LoadOrder)) for wish in drive.hears(2, Result.NOT_LOADED)
    )
    assert Drive(made, task("u"), 3).sent == []


def test_a_worker_missing_from_a_whole_list_is_gone():
    made = gateway()
    made.listed(1, [row("a")], True)
    assert [worker.id for worker in made.workers.values() if worker.active] == ["a"]


def test_cold_workers_get_their_share_of_the_mean_per_warm_peer():
    made = gateway(row("a"), row("b"), row("cold", started=0))
    sent = []
    for number in range(200):
        made.function("f", 4).seen = {"cold": 10 * number}  # every task wants the copy there
        drive = Drive(made, task(str(number)), 10 * number)
        sent += drive.sent
        drive.hears(10 * number + 5, Result.OK)
    assert 0 < sent.count("cold") <= 1.5 * 0.21 * 200 / 2  # by chance, so about its share


def test_unspent_credit_fades_so_that_many_gateways_save_up_no_burst():
    made = gateway(row("a"), row("cold", started=0))
    cold = made.workers["cold"]
    for now in range(0, 5 * SECOND, SECOND // 10):
        made.spread_credit(now, made.workers["a"])
    last = made.power(cold, now)
    assert last <= cold.credit <= 10 * last  # no more than the last second's answers earned
    made.spread_credit(8 * SECOND, made.workers["a"])
    fresh = gateway(row("a"), row("cold", started=0))
    fresh.spread_credit(8 * SECOND, fresh.workers["a"])
    assert cold.credit == fresh.workers["cold"].credit > 0


def test_credit_below_one_is_a_chance_tried_once():
    picks = []
    for seed in range(200):
        made = gateway(row("cold", started=0))
        made.chance.state = seed << 40
        made.workers["cold"].credit = 0.25
        picks.append(made.choose(0, task(), Trail()))
        assert picks[-1] or made.workers["cold"].credit == 0
    assert 20 < sum(pick is not None for pick in picks) < 80


def test_refusals_earn_a_cold_worker_nothing_and_give_the_full_worker_rest():
    made = gateway(row("a"), row("cold", started=0))
    drive = Drive(made, task())
    drive.hears(1, Result.FULL)
    assert drive.sent == ["a"] and made.workers["cold"].credit == 0


def test_a_fresh_gateway_does_not_burst_on_cold_workers():
    made = gateway(row("a"), row("cold", started=0))
    sent = [worker for number in range(8) for worker in Drive(made, task(str(number), str(number)), 1).sent]
    assert sent.count("cold") <= 2


def test_one_open_order_for_a_function():
    made = gateway(load_order_window=0)
    function = made.function("f", 4)
    made.ordered(0, function)
    assert not made.may_order(0, function)
    made.stood(1, "a", "f", Result.OK, 1)
    assert made.may_order(1, function)


def test_a_miss_orders_one_copy_there_and_returns():
    made = gateway()
    drive = Drive(made, task())
    first = drive.sent[0]
    assert face.LoadOrder(first, "f", 1) in drive.hears(MILLI, Result.NOT_LOADED, took=MILLI)
    drive.late(2 * MILLI)
    assert drive.sent == [first, first]


def hands(made, worker, sent, relay=0, track=0):
    """A relay out at the worker, in the gateway's books."""
    made.workers[worker].out[f"t{sent}", relay] = sent
    made.hands[f"t{sent}", relay] = (worker, "f", track, sent, True)


def answered(made, worker, now, sent, result=Result.OK, track=0):
    hands(made, worker, sent, track=track)
    took, warm = now - sent, face.Found.WARM
    made.heard(now, face.Outcome(f"t{sent}", 0, worker, result, took, True, warm, None, None))


@pytest.mark.parametrize("result", [Result.ERROR, Result.CONNECT_FAILED, Result.RESET, Result.TIMEOUT])
def test_failing_workers_are_doubted_then_tried_again(result):
    made = gateway()
    for sent in range(2):
        answered(made, "a", 9, sent, result)
    assert made.doubt(made.workers["a"], 0, LOOK) > 0.2
    assert made.choose(LOOK, task(), Trail()).id != "a"
    assert made.doubt(made.workers["a"], 0, 10 * SECOND) == 0


def test_refusals_are_no_mark_of_illness():
    made = gateway()
    answered(made, "a", 9, 0, Result.FULL)
    assert made.doubt(made.workers["a"], 0, LOOK) == 0


def test_a_track_that_fails_is_doubted_apart_from_one_that_goes_well():
    made = gateway()
    for sent in range(4):
        answered(made, "a", 9, sent, Result.ERROR if sent % 2 else Result.OK, track=sent % 2)
    assert made.doubt(made.workers["a"], 1, LOOK) > 0.2 > 0.1 > made.doubt(made.workers["a"], 0, LOOK)


def test_relays_twice_overdue_in_silence_count_against_their_worker_at_once():
    made = gateway()
    drive = Drive(made, task(request_class=2))
    worker = made.workers[drive.sent[0]]
    while not worker.late:
        drive.late(drive.wishes[-1].until)
    assert worker.bad == 0
    drive.late(drive.wishes[-1].until)
    assert worker.bad == 1


def test_an_overdue_relay_keeps_its_place_and_nothing_else_goes_out():
    made = gateway()
    drive = Drive(made, task())
    while not drive.ended:
        assert not any(isinstance(wish, (face.Attempt, face.Cancel)) for wish in drive.wishes[1:])
        drive.late(drive.wishes[-1].until)
    assert len(drive.sent) == 1


def test_an_error_weighs_less_than_a_relay_never_answered():
    made = gateway()
    for sent in range(2):
        answered(made, "a", 9, sent, Result.ERROR)
        answered(made, "b", 9, 10 + sent, Result.TIMEOUT)
    assert made.workers["a"].bad == made.workers["b"].bad == 2
    assert 0 < made.doubt(made.workers["a"], 0, LOOK) < made.doubt(made.workers["b"], 0, LOOK)


@pytest.mark.parametrize("track, ended", [(0, True), (1, False), (2, False)])
def test_late_pure_tasks_make_room_where_the_fleet_is_crowded(track, ended):
    made = gateway()
    drive = Drive(made, task(request_class=track))
    made.refusals.extend([(SECOND, True)] * 5)
    drive.late(SECOND)
    assert drive.ended is ended and (drive.wishes == [face.Cancel(0), face.Reject(SECOND, "late")]) is ended


@pytest.mark.parametrize("weight, prior", [(QUEUE, PRIOR), (QUEUE_HOT, PRIOR_HOT)])
def test_weights_keep_warm_with_a_free_lane_ahead_for_three_quarters_of_the_keep_alive(weight, prior):
    warmth = 1 - 0.75**FADE
    assert WARMTH * warmth + prior * (1 - warmth) > weight * 3 / ROOM + MEMORY + prior


def test_hot_functions_spill_where_rare_ones_wait():
    made = gateway(row("a"), row("b"))
    function = made.function("f", 4)
    function.seen["a"] = 10 * SECOND
    made.workers["a"].out = {("x", n): 10 * SECOND for n in range(34)}
    made.mix.extend(["f"] * 2 + ["g"] * 254)
    assert made.choose(10 * SECOND, task(), Trail()).id == "a"
    made.mix.extend(["f"] * 160)
    assert made.choose(10 * SECOND, task(), Trail()).id == "b"


def test_a_function_spreads_over_workers_in_proportion_to_its_share():
    def firsts(seed, name):
        made = Gateway(seed, TERMS, 0)
        made.listed(0, list(map(row, "abcdefgh")), True)
        made.mix.extend((["f"] + ["g"] * 7) * 32)
        assert made.breadth("f") == 1
        ranks = made.ranks(name, made.function(name, 4))
        return {ranks[made.choose(0, task(function=name), Trail()).id] for _ in range(9)}

    each = [firsts(seed, "f") for seed in range(9)]
    assert all(len(own) == 1 for own in each), "each gateway has its own"
    assert set.union(*each) == set(range(int(WIDE)))
    assert [firsts(seed, "rare") for seed in range(9)] == [{0}] * 9


def test_a_small_difference_of_reports_does_not_draw_all_gateways_to_one_worker():
    made = gateway(*map(row, "abcdefgh"))
    made.mix.extend((["f"] + ["g"] * 7) * 32)
    function = made.function("f", 4)
    made.ranks("f", function)
    own = function.order[made.own % 2]
    other = function.order[1 - made.own % 2]
    for worker in made.fleet:
        made.note(worker, 0, face.Report(cpu_busy=0.3, memory_busy=0.2))
    made.note(other, 0, face.Report(cpu_busy=0.1, memory_busy=0.2))
    assert made.choose(0, task(), Trail()) is own
    made.note(own, 0, face.Report(cpu_busy=1.0, memory_busy=0.2))
    own.out = {("x", number): 1 for number in range(6)}
    assert made.choose(1, task(), Trail()) is other


def test_the_shortest_contract_time_sets_the_queue_and_least_earnings_go_first():
    short = IDEMPOTENT._replace(latency_objective=SECOND // 2, priority_weight=3.0)
    made = gateway()
    made.shortest, made.top_earnings = short.latency_objective, 3.0
    made.answers.extend(range(0, 640 * MILLI, 10 * MILLI))
    made.hands = {(str(n), 0): ("a", "f", 0, n, True) for n in range(75)}
    assert made.crowded(640 * MILLI, task(), IDEMPOTENT) and not made.crowded(640 * MILLI, task(), short)
    made.hands = {(str(n), 0): ("a", "f", 0, n, True) for n in range(70)}
    assert made.crowded(SECOND, task(), short)


def test_a_full_fleet_declines_at_once():
    made = gateway()
    made.refusals.extend([(0, True)] * 5 + [(0, False)] * 3)
    assert Drive(made, task()).wishes == [face.Reject(SECOND, "crowded")]
    assert Drive(made, task("u"), REFUSAL_LIFE).sent  # nothing may come any more: refusals age
    made.refusals.append((1, False))
    assert Drive(made, task("v"), 1).sent


def test_of_two_copies_alike_the_one_of_the_own_zone_is_taken_by_the_price_of_crossing():
    rows = [row("far", zone=0), row("near", zone=1)]
    for price, seen in ((0.03, {"near"}), (0.0, {"near", "far"})):
        made = gateway(*rows, zone=1, crossing_price=price)
        made.function("f", 4).seen.update(far=0, near=0)
        assert {made.choose(0, task(), Trail()).id for _ in range(30)} == seen


def test_the_own_zone_outweighs_neither_a_copy_nor_a_queue():
    rows = [row("far", zone=0), row("near", zone=1)]
    made = gateway(*rows, zone=1, crossing_price=0.03)
    made.function("f", 4).seen["far"] = 0
    assert made.choose(0, task(), Trail()).id == "far"
    made.function("f", 4).seen["near"] = 0
    for number in range(9):
        made.workers["near"].out["x", number] = 0
    made.workers["near"].tally = None
    assert made.choose(0, task(), Trail()).id == "far"


def test_a_worker_that_left_the_list_is_forgotten_once_nothing_is_out_to_it():
    made = gateway(row("a"), row("b"))
    drive = Drive(made, task())
    held = drive.sent[0]
    made.listed(1, [row("a" if held == "b" else "b")], True)
    made.forget()
    assert held in made.workers and held in made.functions["f"].seen, "its answer is still to be booked"
    drive.hears(2, Result.OK)
    made.forget()
    assert held not in made.workers
    assert held not in made.functions["f"].seen and held not in made.functions["f"].stands
    assert Drive(made, task("u")).sent[0] != held


def test_a_thousand_hosts_replaced_leave_no_trace():
    made = gateway(row("a"))
    for number in range(1000):
        made.listed(number, [row(f"h{number}")], True)
        made.forget()
    assert list(made.workers) == ["h999"]
