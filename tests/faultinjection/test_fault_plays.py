"""A gateway of the platform under faults by chance, judged from its far ends: the five rules hold.

Each example is a play of 40 requests from clients that also leave, to hosts that also fail, on one clock,
in half of them under faults from the start on, in half of them with a stop in the middle. Each call of the
event loop fails one in 200 or one in 20, reads and writes are short, the wall clock is stepped by up to an
hour either way.
"""

import pytest
from hypothesis import Phase, given, settings
from hypothesis import strategies as st

from gaproute.faultinjection.catalog import NetworkCall
from gaproute.faultinjection.plan import Script
from gaproute.faultinjection.play.runner import by_chance, play
from gaproute.faultinjection.play.traffic import Conditions

SEEDS = st.integers(0, 2**32 - 1)
STEADY = settings(max_examples=15, phases=[Phase.generate])  # a play is reduced by `benchmarks.fault_hunt`


@pytest.mark.parametrize("odds", [200, 20])
@STEADY
@given(SEEDS, st.booleans(), st.booleans())
def test_under_faults_by_chance_the_rules_hold_and_nothing_is_left_over(odds, seed, stop, faulty_start):
    verdict = play(seed, by_chance(seed, odds), Conditions(stop=stop, faulty_start=faulty_start))
    assert not verdict.findings, verdict


@pytest.mark.parametrize("stop", [False, True])
def test_without_faults_a_play_is_clean_and_nearly_all_is_delivered(stop):
    verdict = play(1, Script.of(), Conditions(stop=stop, departures=0))
    assert not verdict.findings, verdict
    assert not verdict.injected, verdict
    assert verdict.delivered > 0.8 * verdict.requests


def test_by_chance_every_call_of_a_play_comes_to_fail():
    """Else the plays would hold for want of faults."""
    failed = {line.call for seed in range(8) for line in play(seed, by_chance(seed, 8)).injected}
    at_start = {NetworkCall.BIND, NetworkCall.LISTEN, NetworkCall.EPOLL_CREATE, NetworkCall.PIPE}
    unused = {NetworkCall.PIPE_READ, NetworkCall.EPOLL_DELETE}
    assert failed == set(NetworkCall) - at_start - unused


def test_the_same_seed_plays_the_same_faults():
    runs = [play(5, by_chance(5, 20)).injected for _ in range(2)]
    assert runs[0] == runs[1]
