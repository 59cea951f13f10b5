"""The store of shared observations: merges, rejections, limits and the mix of functions."""

import pytest
from helpers import SECOND
from hypothesis import given
from observation_scenes import NOW, merged, observation_lists, store_of, warm_instance

from gaproute.decisions.reports.observation_kinds import MAX_OBSERVATION_AGE, SharedObservation
from gaproute.decisions.reports.shared_observations import MAX_OBSERVATIONS, SharedObservations


@given(observation_lists, observation_lists, observation_lists)
def test_merging_is_commutative_associative_and_idempotent(a, b, c):
    a, b, c = store_of(*a), store_of(*b), store_of(*c)
    assert merged(a, b).by_subject == merged(b, a).by_subject
    assert merged(a, a).by_subject == a.by_subject
    assert merged(merged(a, b), c).by_subject == merged(a, merged(b, c)).by_subject


@pytest.mark.parametrize("age", [-1, MAX_OBSERVATION_AGE + 1, 1 << 70])
def test_an_impossible_age_is_rejected(age):
    store = SharedObservations()
    assert store.earliest_observation_time(NOW, age) is None
    assert store.rejections["age"] == 1
    assert store.earliest_observation_time(NOW, SECOND) == NOW - SECOND


@pytest.mark.parametrize(
    ("subject", "value", "reason"),
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
def test_an_invalid_observation_is_rejected_and_counted_under_one_reason(subject, value, reason):
    store = store_of((subject, SharedObservation(1, "a", 1, value)))
    assert store.by_subject == {}
    assert store.rejections == {reason: 1}


def test_the_number_of_stored_observations_is_limited():
    store = store_of(*[warm_instance(function=f"f{number}") for number in range(MAX_OBSERVATIONS + 10)])
    assert len(store.by_subject) == MAX_OBSERVATIONS
    assert store.rejections == {"too many": 10}


def test_the_request_mix_has_each_function_in_proportion_to_its_share():
    store = store_of(
        (("share", "f"), SharedObservation(1, "a", 1, (0.5,))),
        (("share", "g"), SharedObservation(1, "a", 1, (0.25,))),
    )
    mix = store.request_mix(128)
    assert (mix.count("f"), mix.count("g"), mix.count("")) == (64, 32, 32)
    assert 4 < mix[:16].count("f") < 12


def test_shares_with_a_sum_above_one_are_scaled_down():
    store = store_of(*[(("share", name), SharedObservation(1, "a", 1, (1.0,))) for name in "fgh"])
    assert sorted(map(store.request_mix(128).count, "fgh")) == [42, 43, 43]
