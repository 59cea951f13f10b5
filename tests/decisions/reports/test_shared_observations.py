"""What peers tell: the algebra of facts, trust, the budget, and two gateways on sockets."""

import json
import random
from collections import Counter

import pytest
from helpers import MILLI, SECOND, Drive, gateway, row, task
from hypothesis import given
from hypothesis import strategies as st

from gaproute.appliance.status import warm_instances
from gaproute.decisions.chance import Chance
from gaproute.decisions.reports.cpu_budget import CPU_BURST, CPU_SHARE, REST, CpuBudget
from gaproute.decisions.reports.follower import MAX_SLOWDOWN, ObservationFollower
from gaproute.decisions.reports.host_history import MAX_GONE, HostHistory, own_observations
from gaproute.decisions.reports.observation_kinds import MAX_AGE, SharedObservation
from gaproute.decisions.reports.shared_observations import MAX_OBSERVATIONS, SharedObservations
from gaproute.interface import Found, Outcome, Result, State
from gaproute.peers.lore_pb2 import Told

NOW = 1000 * SECOND
KEEP = 10 * SECOND
subject = st.one_of(
    st.tuples(st.just("warm"), st.sampled_from("xy"), st.sampled_from("fg")),
    st.tuples(st.just("listed"), st.sampled_from("xy")),
    st.tuples(st.just("pace"), st.sampled_from("xy")),
)
VALUES = {
    "warm": st.tuples(st.integers(1, 2), st.integers(0, 2)),
    "listed": st.tuples(st.sampled_from(["active", "draining", "gone"]), st.integers(0, 2)),
    "pace": st.tuples(st.floats(1, 3)),
}
told = subject.flatmap(
    lambda names: st.tuples(
        st.just(names),
        st.builds(
            SharedObservation, st.integers(0, 5), st.sampled_from("ab"), st.integers(0, 1), VALUES[names[0]]
        ),
    )
)
facts = st.lists(told, max_size=8)


def observed(*observations):
    made = SharedObservations()
    for subject, observation in observations:
        made.add(subject, observation)
    return made


def follower(observations, chance, request_classes=()):
    return ObservationFollower(observations, KEEP, dict(request_classes), chance)


def warm(worker="x", function="f", at=NOW, lanes=4, started=0, origin="a"):
    return ("warm", worker, function), SharedObservation(at, origin, 1, (lanes, started))


def listed(worker, state, at, origin="b"):
    return ("listed", worker), SharedObservation(at, origin, 1, (state, 0))


def merged(*parts):
    made = SharedObservations()
    for part in parts:
        made.merge(part)
    return made


@given(facts, facts, facts)
def test_merging_is_commutative_associative_and_idempotent(a, b, c):
    a, b, c = observed(*a), observed(*b), observed(*c)
    assert merged(a, b).by_subject == merged(b, a).by_subject
    assert merged(a, a).by_subject == a.by_subject
    assert merged(merged(a, b), c).by_subject == merged(a, merged(b, c)).by_subject


@given(facts, facts)
def test_what_is_hinted_does_not_depend_on_the_order_of_coming(a, b):
    one, other = merged(observed(*a), observed(*b)), merged(observed(*b), observed(*a))
    lives = {"x": 0, "y": 1}
    assert hints(one, lives, 10) == hints(other, lives, 10)


def outcome(name, worker, found=Found.WARM):
    return Outcome(name, 0, worker, Result.OK, 100 * MILLI, True, found, None, None)


def hints(made, lives, now=NOW):
    return follower(made, Chance(1)).warm_hints(now, lives)


def test_a_hint_is_older_than_told_and_differs_between_learners():
    made = observed(warm(at=NOW - MILLI))
    seen = {follower(made, Chance(seed)).warm_hints(NOW, {"x": 0})[0][3] for seed in range(20)}
    assert len(seen) > 10
    assert all(0.34 * KEEP < NOW - at < 0.71 * KEEP for at in seen)


@pytest.mark.parametrize(
    ("fact", "gone", "lives", "reason"),
    [
        (warm(), [], {}, "not listed"),
        (warm(started=7), [], {"x": 8}, "another life"),
        (warm(at=NOW - SECOND), [listed("x", "gone", NOW - SECOND)], {"x": 0}, "gone since"),
        (warm(at=NOW - SECOND), [listed("x", "draining", NOW - SECOND)], {"x": 0}, "gone since"),
        (warm(at=NOW - KEEP), [], {"x": 0}, "faded"),
    ],
)
def test_a_hint_that_a_newer_fact_or_the_list_gainsays_is_void(fact, gone, lives, reason):
    made = observed(fact, *gone)
    assert hints(made, lives) == []
    assert made.rejections[reason] == 1


def test_a_copy_seen_after_a_host_was_told_gone_counts_again():
    assert hints(observed(warm(), listed("x", "gone", NOW - SECOND)), {"x": 0})
    assert hints(observed(warm(), listed("x", "gone", NOW), listed("x", "active", NOW + 1)), {"x": 0})


def test_of_a_function_only_the_freshest_copies_are_believed_and_more_of_a_hot_one():
    many = [warm(name, at=NOW - place * MILLI) for place, name in enumerate("abcdefgh")]
    lives = dict.fromkeys("abcdefgh", 0)
    assert [hint[0] for hint in hints(observed(*many), lives)] == list("abcd")
    hot = (("share", "f"), SharedObservation(NOW, "a", 1, (0.3,)))
    assert [hint[0] for hint in hints(observed(*many, hot), lives)] == list("abcdef")


@pytest.mark.parametrize("age", [-1, MAX_AGE + 1, 1 << 70])
def test_an_age_that_cannot_be_is_refused(age):
    made = SharedObservations()
    assert made.observed_at(NOW, age) is None
    assert made.rejections["age"] == 1
    assert made.observed_at(NOW, SECOND) == NOW - SECOND


@pytest.mark.parametrize(
    ("names", "value", "reason"),
    [
        (("warm", "x" * 300, "f"), (1, 0), "name"),
        (("warm", "x", ""), (1, 0), "name"),
        (("warm", "x"), (1, 0), "name"),
        (("pace", "x", "y"), (1.0,), "name"),
        (("warm", "x", "f"), (0, 0), "lanes"),
        (("warm", "x", "f"), (1 << 30, 0), "lanes"),
        (("warm", "x", "f"), (1, -5), "start"),
        (("listed", "x"), ("well", 0), "state"),
        (("doubt", "x", "t"), (float("nan"),), "share"),
        (("doubt", "x", "t"), (-1.0,), "share"),
        (("pace", "x"), (float("inf"),), "pace"),
        (("usual", "f"), (-1,), "time"),
        (("rumour", "x"), (1,), "kind"),
    ],
)
def test_a_fact_that_cannot_be_is_refused_with_one_counted_reason(names, value, reason):
    made = observed((names, SharedObservation(1, "a", 1, value)))
    assert made.by_subject == {}
    assert made.rejections == {reason: 1}


def test_givers_that_tell_without_end_are_bounded():
    made = observed(*[warm(function=f"f{number}") for number in range(MAX_OBSERVATIONS + 10)])
    assert len(made.by_subject) == MAX_OBSERVATIONS
    assert made.rejections == {"too many": 10}


def test_the_mix_told_stands_for_each_function_by_its_share():
    made = observed(
        (("share", "f"), SharedObservation(1, "a", 1, (0.5,))),
        (("share", "g"), SharedObservation(1, "a", 1, (0.25,))),
    )
    mix = made.request_mix(128)
    assert (mix.count("f"), mix.count("g"), mix.count("")) == (64, 32, 32)
    assert 4 < mix[:16].count("f") < 12


def test_shares_that_add_up_to_more_than_all_are_scaled():
    made = observed(*[(("share", name), SharedObservation(1, "a", 1, (1.0,))) for name in "fgh"])
    assert sorted(map(made.request_mix(128).count, "fgh")) == [42, 43, 43]


def test_a_host_that_left_the_list_is_told_as_gone_until_it_is_back():
    history = HostHistory()
    history.update(1, {"x": ("active", 5), "y": ("active", 0)})
    history.update(2, {"y": ("draining", 0)})
    assert history.entries == {"x": ("gone", 5, 2), "y": ("draining", 0, 2)}
    assert history.active_starts() == {}
    history.update(3, {"x": ("active", 9), "y": ("draining", 0)})
    assert history.entries["x"] == ("active", 9, 3)
    assert history.entries["y"][2] == 2
    assert history.active_starts() == {"x": 9}


def test_the_roll_of_the_gone_is_bounded():
    history = HostHistory()
    history.update(1, {f"h{number}": ("active", 0) for number in range(2 * MAX_GONE)})
    history.update(2, {})
    history.update(3, {})
    assert len(history.entries) == MAX_GONE


def test_telling_takes_a_share_of_the_time_and_a_small_burst():
    budget = CpuBudget(0)
    assert budget.may_spend(0)
    budget.spend(0, CPU_BURST + MILLI)
    assert not budget.may_spend(0)
    assert not budget.may_spend(round(0.9 * MILLI / CPU_SHARE))
    assert budget.may_spend(budget.wait(0) + MILLI)


def test_two_slices_are_never_told_on_end():
    budget = CpuBudget(0)
    budget.spend(0, MILLI)
    assert not budget.may_spend(REST - 1)
    assert budget.may_spend(REST)


def test_those_put_off_come_again_one_after_the_other():
    budget = CpuBudget(0)
    budget.spend(0, MILLI)
    assert [budget.wait(0) for _ in range(3)] == [REST, 2 * REST, 3 * REST]
    budget.spend(0, 2 * CPU_BURST)
    waits = [budget.wait(0) for _ in range(3)]
    assert waits[0] > 1000 * MILLI
    assert waits[2] - waits[1] == waits[1] - waits[0] == 100 * MILLI


# What the decision module makes of a hint


def test_a_hint_gives_way_to_what_was_seen_and_is_void_for_hosts_not_active_or_wiped():
    made = gateway(row("a"), row("b", state=State.DRAINING))
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


def trial(made, number, found=Found.WARM, told=None):
    """A function whose copy is told to stand where the hash would not send it; a task of it, answered."""
    name = f"f{number}"
    order = [worker.id for worker in ranked(made, name)]
    made.hint_instance(order[1], name, 4, 5 * SECOND)
    driven = Drive(made, task(f"t{number}", name), 6 * SECOND)
    if found is not None:
        driven.hears(7 * SECOND, Result.OK, found=found)
    return driven.sent[0] == order[1]


def ranked(made, name):
    made.ranking.ranks(name, made.functions.find_or_add(name, 4))
    return made.functions_by_name[name].ranked_hosts


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
    made.hints.consider(8 * SECOND, "f2", made.functions_by_name["f2"])
    assert ranked(made, "f2")[1].id in made.functions_by_name["f2"].last_used


def test_two_wrong_hints_end_it_however_many_were_right():
    made = gateway()
    assert all(trial(made, number) for number in range(20))
    assert trial(made, 20, Found.BEGAN_LOAD)
    assert trial(made, 21, Found.LOAD_FAILED)
    assert not trial(made, 22)


def test_a_trial_of_which_nothing_is_told_holds_up_the_others_for_a_while_only():
    made = gateway()
    assert trial(made, 0, None)
    assert trial(made, 1, None)
    assert not trial(made, 2, None)
    made.hints.consider(20 * SECOND, "f2", made.functions_by_name["f2"])
    assert ranked(made, "f2")[1].id in made.functions_by_name["f2"].last_used
    assert (made.hints.right, made.hints.wrong) == (0, 0)
    made = gateway()
    assert trial(made, 0, Found.UNKNOWN)
    assert not made.hints.trials
    assert (made.hints.right, made.hints.wrong) == (0, 0)


def test_the_first_choice_of_the_hash_is_tried_where_it_was_told():
    made = gateway()
    first, second = (worker.id for worker in ranked(made, "f")[:2])
    made.hint_instance(second, "f", 4, 5 * SECOND)
    made.hint_instance(first, "f", 4, 4 * SECOND)
    made.hints.consider(6 * SECOND, "f", made.functions_by_name["f"])
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
    assert made.mix.recent.count("f") == 0
    made.hints.wrong = wrong
    assert trial(made, 7)
    assert made.mix.recent.count("f") == taken


def test_the_mix_told_is_not_taken_after_own_tasks_have_made_one():
    made = gateway()
    made.mix.recent.extend(["own"] * 128)
    made.hint_function_mix(["f"] * 128)
    assert all(trial(made, number) for number in range(9))
    assert made.mix.recent.count("f") == 0


def test_only_what_was_answered_is_told_on():
    made = gateway()
    made.hint_instance("a", "f", 4, 5 * SECOND)
    assert [fact for fact in made.observations_since(8 * SECOND) if fact[0] == "warm"] == []
    made.functions_by_name["f"].proven_at["b"] = made.functions_by_name["f"].answered_at = 7 * SECOND
    assert list(made.observations_since(8 * SECOND)) == [("warm", ("b", "f"), (4,), 7 * SECOND)]
    assert list(made.observations_since(8 * SECOND, 7 * SECOND)) == []


def test_what_is_told_of_workers_comes_with_the_life_the_list_gave_them():
    made, history = gateway(row("a")), HostHistory()
    history.update(SECOND, {"a": ("active", 77)})
    Drive(made, task(), 2 * SECOND).hears(3 * SECOND, Result.OK)
    Drive(made, task("u"), 3 * SECOND).hears(4 * SECOND, Result.ERROR)
    told = list(own_observations(made, history, ("check", "plan", "order"), 5 * SECOND))
    assert (("listed", "a"), ("active", 77), SECOND) in told
    assert (("warm", "a", "f"), (4, 77), 3 * SECOND) in told
    assert (("doubt", "a", "check"), (0.4,), 4 * SECOND) in told
    assert [names for names, _, _ in own_observations(made, history, ("check",), 5 * SECOND, 3 * SECOND)] == [
        ("doubt", "a", "check")
    ]


def test_following_leaves_out_hosts_not_listed_and_tracks_not_known():
    made = gateway(row("a"))
    told = observed(
        *[
            (names, SharedObservation(1, "g", 1, (value,)))
            for names, value in (
                (("doubt", "z", "check"), 1.0),
                (("doubt", "a", "no"), 1.0),
                (("doubt", "a", "check"), 1.0),
                (("pace", "a"), 99.0),
            )
        ]
    )
    assert follower(told, Chance(1), {"check": 0}).follow(made, 2, {"a": 0}, told.by_subject) == 2
    assert told.rejections == {"not listed": 1, "track": 1}
    assert made.hosts_by_id["a"].slowdown == MAX_SLOWDOWN


@pytest.mark.parametrize("share", [0.02, 0.3])
def test_gateways_that_learn_the_same_at_one_moment_do_not_all_send_to_one_host(share):
    hosts = [f"h{number}" for number in range(10)]
    others = [worker.id for worker in ranked(gateway(*map(row, hosts)), "f")][1:7]
    told = observed(
        *[warm(name, at=59 * SECOND) for name in others],
        (("share", "f"), SharedObservation(59 * SECOND, "g", 1, (share,))),
    )
    sent = Counter()
    seeds = random.Random(1)
    for _ in range(40):
        made = gateway(*map(row, hosts))
        lives = dict.fromkeys(hosts, 0)
        chance = Chance(seeds.getrandbits(64))
        follower(told, chance).follow(made, 60 * SECOND, lives, told.by_subject)
        made.chance.state = Chance(seeds.getrandbits(64)).state
        made.mix.recent.extend(told.request_mix())
        sent[made.serve(60 * SECOND, task()).send(None).host] += 1
    assert max(sent.values()) <= 28
    assert len(sent) >= (2 if share < 0.1 else 4)
    assert sent.keys() <= set(others)


def test_a_hint_sends_nothing_to_a_cold_host_beyond_its_credit():
    hosts = [row(f"h{number}") for number in range(5)] + [row("cold", started=59 * SECOND)]
    told = observed(warm("cold", at=60 * SECOND, started=5))
    for seed in range(10):
        made = gateway(*hosts)
        assert follower(told, Chance(seed)).follow(made, 60 * SECOND, {"cold": 5}, told.by_subject) == 1
        sent = [made.serve(60 * SECOND, task(f"t{number}")).send(None).host for number in range(20)]
        assert "cold" not in sent
        assert made.hosts_by_id["cold"].credit == 0


# Two gateways


@pytest.fixture
def beside(fleet):
    """A busy gateway that tells, and a call that starts another beside it; both on one loop."""
    made, begin = fleet
    for number in range(6):
        assert made.wait(made.ask("lamp", f"w{number}")).status == 200
    return made, lambda where=None: begin(
        "second", f"peer g {where or made.gate.fronts[1].address}", listen=False
    )


def test_a_gateway_started_beside_a_busy_one_finds_the_copy_at_once(beside):
    made, start = beside
    warm_at = json.loads(made.wait(made.ask("lamp", "last")).body)["outputs"][0]["data"][0]
    loads = len(made.seen("loaded"))
    second = start()
    made.until(lambda: second.peers.observation_client.hints_taken)
    made.at = made.at[0], tuple([*made.at[1][:1], int(second.fronts[0].address.rpartition(":")[2])])
    answer = made.wait(made.ask("lamp", "first"))
    assert json.loads(answer.body)["outputs"][0]["data"][0] == warm_at
    assert len(made.seen("loaded")) == loads
    assert made.gate.peers.peer_server.transfers.encoded >= 1
    assert second.peers.observation_client.state["g"].startswith("told ")
    assert not second.core.gateway.load_order_limiter.open_orders
    assert not second.core.gateway.load_order_limiter.ends


def test_an_operator_sees_what_is_known_and_by_what(beside):
    made, start = beside
    second = start()
    made.until(lambda: second.peers.observation_client.hints_taken)
    (own,), (hinted,) = warm_instances(made.gate), warm_instances(second)
    assert (own["by"], hinted["by"]) == ("an answer", "g")
    assert (own["worker"], own["function"]) == (hinted["worker"], hinted["function"])
    assert hinted["age_ms"] >= 3500 > own["age_ms"]


def test_news_of_a_host_that_is_gone_from_the_list_is_void(beside):
    made, start = beside
    rows = made.list.read_text().splitlines()
    (worker,) = made.gate.core.gateway.functions_by_name["lamp"].proven_at
    made.gate.host_list.watch.close()  # the giver's own list is late: it still believes in the host
    made.relist(*[row for row in rows if not row.startswith(f"host {worker} ")])
    second = start()
    made.until(lambda: second.peers.observation_client.state["g"].startswith("told"))
    assert second.peers.observations.rejections["not listed"]
    assert worker not in second.core.gateway.hosts_by_id
    assert "lamp" not in second.core.gateway.functions_by_name


@pytest.mark.parametrize("act", ["stalls", "nonsense", "future"])
def test_a_peer_that_is_no_help_is_dropped_and_nothing_waits_for_it(beside, act):
    from tests.appliance.test_gateway import reply, scripted_host

    made, start = beside
    body = {"nonsense": b"\xff\xff", "future": Told(version=9).SerializeToString()}.get(act, b"")
    text = f"HTTP/1.1 200 X\r\nContent-Length: {len(body)}\r\n\r\n".encode("latin-1") + body
    listener = scripted_host(
        made.loop,
        (lambda stream, data: None)
        if act == "stalls"
        else reply(text.decode("latin-1"))
        if act == "future"
        else lambda stream, data: stream.write(text),
    )
    where = listener.address
    second = start(where)
    made.at = made.at[0], ("127.0.0.1", int(second.fronts[0].address.rpartition(":")[2]))
    assert made.wait(made.ask("lamp", "meanwhile")).status == 200
    made.until(lambda: second.peers.observation_client.state["g"] == "dropped after 0 facts")
    listener.close()


def test_a_giver_out_of_budget_puts_off_and_still_tells(beside):
    made, start = beside
    made.gate.peers.peer_server.cpu_budget.spend(made.loop.now(), 11 * MILLI)
    second = start()
    made.until(lambda: second.peers.observation_client.state["g"].startswith("told"))
    assert made.gate.peers.peer_server.put_off >= 1
    assert second.peers.observation_client.hints_taken >= 1
