"""The measured fleet of two gateways that forward calls to each other."""

import pytest

from benchmarks.scale.forwarding import Fleet


@pytest.fixture
def fleet():
    """Gateways with few functions, so that they start at once."""
    made = Fleet(1, models=600)
    yield made
    made.close()


def test_forwarded_calls_are_answered_and_cost_both_gateways_where_others_cost_one(fleet):
    forwarded = fleet.play({"a1": "b1"}, 100, 1, 1)
    assert forwarded.failed == 0 and 60 <= forwarded.calls == forwarded.forwarded <= 140
    own = fleet.play({"a1": "a1"}, 100, 1, 1)
    assert own.failed == own.forwarded == 0 and forwarded.cpu["b1"] > 3 * own.cpu["b1"]
    assert 0 < own.p50 <= own.p99 and 0 < forwarded.p50 <= forwarded.p99


def test_a_play_that_would_call_functions_too_often_is_refused(fleet):
    with pytest.raises(ValueError, match="too many for one fleet"):
        fleet.play({"a1": "b1"}, 1_000, 2, 1)
