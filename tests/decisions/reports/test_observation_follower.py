"""Which shared observations become hints, and what the hints cause."""

import random
from collections import Counter

import pytest
from helpers import MILLI, SECOND, gateway, row, task
from hypothesis import given
from observation_scenes import KEEP, NOW, facts, follower, hints, listed, merged, observed, ranked, warm

from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.reports.follower import MAX_SLOWDOWN
from gaproute.decisions.reports.observation_kinds import SharedObservation


@given(facts, facts)
def test_what_is_hinted_does_not_depend_on_the_order_of_coming(a, b):
    one, other = merged(observed(*a), observed(*b)), merged(observed(*b), observed(*a))
    lives = {"x": 0, "y": 1}
    assert hints(one, lives, 10) == hints(other, lives, 10)


def test_a_hint_is_older_than_told_and_differs_between_learners():
    made = observed(warm(at=NOW - MILLI))
    seen = {follower(made, RandomGenerator(seed)).warm_hints(NOW, {"x": 0})[0][3] for seed in range(20)}
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
    assert follower(told, RandomGenerator(1), {"check": 0}).follow(made, 2, {"a": 0}, told.by_subject) == 2
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
        chance = RandomGenerator(seeds.getrandbits(64))
        follower(told, chance).follow(made, 60 * SECOND, lives, told.by_subject)
        made.random.state = RandomGenerator(seeds.getrandbits(64)).state
        made.function_mix.recent.extend(told.request_mix())
        sent[made.serve(60 * SECOND, task()).send(None).host] += 1
    assert max(sent.values()) <= 28
    assert len(sent) >= (2 if share < 0.1 else 4)
    assert sent.keys() <= set(others)


def test_a_hint_sends_nothing_to_a_cold_host_beyond_its_credit():
    hosts = [row(f"h{number}") for number in range(5)] + [row("cold", started=59 * SECOND)]
    told = observed(warm("cold", at=60 * SECOND, started=5))
    for seed in range(10):
        made = gateway(*hosts)
        assert (
            follower(told, RandomGenerator(seed)).follow(made, 60 * SECOND, {"cold": 5}, told.by_subject) == 1
        )
        sent = [made.serve(60 * SECOND, task(f"t{number}")).send(None).host for number in range(20)]
        assert "cold" not in sent
        assert made.hosts_by_id["cold"].credit == 0
