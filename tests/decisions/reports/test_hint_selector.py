"""The selection of hints from shared observations, and the effect of hints on where requests go."""

import random
from collections import Counter

import pytest
from helpers import MILLI, SECOND, gateway, row, task
from hypothesis import given
from observation_scenes import (
    KEEP_ALIVE,
    NOW,
    hint_selector,
    listed_state,
    merged,
    observation_lists,
    ranked_hosts,
    store_of,
    warm_hints,
    warm_instance,
)

from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.reports.hint_selector import MAX_SLOWDOWN
from gaproute.decisions.reports.observation_kinds import SharedObservation


@given(observation_lists, observation_lists)
def test_hints_do_not_depend_on_the_order_of_arrival(a, b):
    one, other = merged(store_of(*a), store_of(*b)), merged(store_of(*b), store_of(*a))
    start_times = {"x": 0, "y": 1}
    assert warm_hints(one, start_times, 10) == warm_hints(other, start_times, 10)


def test_a_hint_is_older_than_its_observation_and_its_age_differs_between_gateways():
    store = store_of(warm_instance(at=NOW - MILLI))
    seen = {
        hint_selector(store, RandomGenerator(seed)).warm_hints(NOW, {"x": 0})[0].seen_at for seed in range(20)
    }
    assert len(seen) > 10
    assert all(0.34 * KEEP_ALIVE < NOW - at < 0.71 * KEEP_ALIVE for at in seen)


@pytest.mark.parametrize(
    ("observation", "listed_states", "start_times", "reason"),
    [
        (warm_instance(), [], {}, "not listed"),
        (warm_instance(started=7), [], {"x": 8}, "another life"),
        (warm_instance(at=NOW - SECOND), [listed_state("x", "gone", NOW - SECOND)], {"x": 0}, "gone since"),
        (
            warm_instance(at=NOW - SECOND),
            [listed_state("x", "draining", NOW - SECOND)],
            {"x": 0},
            "gone since",
        ),
        (warm_instance(at=NOW - KEEP_ALIVE), [], {"x": 0}, "faded"),
    ],
)
def test_an_observation_that_the_host_list_or_a_newer_one_contradicts_is_rejected(
    observation, listed_states, start_times, reason
):
    store = store_of(observation, *listed_states)
    assert warm_hints(store, start_times) == []
    assert store.rejections[reason] == 1


def test_an_instance_observed_after_its_host_was_gone_is_hinted():
    assert warm_hints(store_of(warm_instance(), listed_state("x", "gone", NOW - SECOND)), {"x": 0})
    assert warm_hints(
        store_of(warm_instance(), listed_state("x", "gone", NOW), listed_state("x", "active", NOW + 1)),
        {"x": 0},
    )


def test_only_the_most_recent_instances_of_a_function_are_hinted_and_more_of_a_frequent_one():
    observations = [warm_instance(name, at=NOW - age * MILLI) for age, name in enumerate("abcdefgh")]
    start_times = dict.fromkeys("abcdefgh", 0)
    assert [hint.host for hint in warm_hints(store_of(*observations), start_times)] == list("abcd")
    share = (("share", "f"), SharedObservation(NOW, "a", 1, (0.3,)))
    assert [hint.host for hint in warm_hints(store_of(*observations, share), start_times)] == list("abcdef")


def test_observations_of_unlisted_hosts_and_unknown_request_classes_are_not_applied():
    receiver = gateway(row("a"))
    store = store_of(
        *[
            (subject, SharedObservation(1, "g", 1, (value,)))
            for subject, value in (
                (("doubt", "z", "check"), 1.0),
                (("doubt", "a", "no"), 1.0),
                (("doubt", "a", "check"), 1.0),
                (("pace", "a"), 99.0),
            )
        ]
    )
    assert (
        hint_selector(store, RandomGenerator(1), {"check": 0}).apply_hints(
            receiver, 2, {"a": 0}, store.by_subject
        )
        == 2
    )
    assert store.rejections == {"not listed": 1, "track": 1}
    assert receiver.hosts_by_id["a"].slowdown == MAX_SLOWDOWN


@pytest.mark.parametrize("share", [0.02, 0.3])
def test_gateways_with_the_same_hints_do_not_all_send_to_the_same_host(share):
    hosts = [f"h{number}" for number in range(10)]
    others = [host.id for host in ranked_hosts(gateway(*map(row, hosts)), "f")][1:7]
    store = store_of(
        *[warm_instance(name, at=59 * SECOND) for name in others],
        (("share", "f"), SharedObservation(59 * SECOND, "g", 1, (share,))),
    )
    sent = Counter()
    seeds = random.Random(1)
    for _ in range(40):
        receiver = gateway(*map(row, hosts))
        start_times = dict.fromkeys(hosts, 0)
        chance = RandomGenerator(seeds.getrandbits(64))
        hint_selector(store, chance).apply_hints(receiver, 60 * SECOND, start_times, store.by_subject)
        receiver.random.state = RandomGenerator(seeds.getrandbits(64)).state
        receiver.function_mix.recent.extend(store.request_mix())
        sent[receiver.serve(60 * SECOND, task()).send(None).host] += 1
    assert max(sent.values()) <= 28
    assert len(sent) >= (2 if share < 0.1 else 4)
    assert sent.keys() <= set(others)


def test_a_hint_sends_nothing_to_a_cold_host_without_credit():
    hosts = [row(f"h{number}") for number in range(5)] + [row("cold", started=59 * SECOND)]
    store = store_of(warm_instance("cold", at=60 * SECOND, started=5))
    for seed in range(10):
        receiver = gateway(*hosts)
        assert (
            hint_selector(store, RandomGenerator(seed)).apply_hints(
                receiver, 60 * SECOND, {"cold": 5}, store.by_subject
            )
            == 1
        )
        sent = [receiver.serve(60 * SECOND, task(f"t{number}")).send(None).host for number in range(20)]
        assert "cold" not in sent
        assert receiver.hosts_by_id["cold"].credit == 0
