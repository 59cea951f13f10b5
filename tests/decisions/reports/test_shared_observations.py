"""The store of shared observations: merging, what is refused, its bounds, the mix of functions."""

import pytest
from helpers import SECOND
from hypothesis import given
from observation_scenes import NOW, facts, merged, observed, warm

from gaproute.decisions.reports.observation_kinds import MAX_OBSERVATION_AGE, SharedObservation
from gaproute.decisions.reports.shared_observations import MAX_OBSERVATIONS, SharedObservations


@given(facts, facts, facts)
def test_merging_is_commutative_associative_and_idempotent(a, b, c):
    a, b, c = observed(*a), observed(*b), observed(*c)
    assert merged(a, b).by_subject == merged(b, a).by_subject
    assert merged(a, a).by_subject == a.by_subject
    assert merged(merged(a, b), c).by_subject == merged(a, merged(b, c)).by_subject


@pytest.mark.parametrize("age", [-1, MAX_OBSERVATION_AGE + 1, 1 << 70])
def test_an_age_that_cannot_be_is_refused(age):
    made = SharedObservations()
    assert made.earliest_observation_time(NOW, age) is None
    assert made.rejections["age"] == 1
    assert made.earliest_observation_time(NOW, SECOND) == NOW - SECOND


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
