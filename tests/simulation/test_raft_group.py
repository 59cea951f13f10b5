"""Keepers and holders under all faults, on fixed seeds: nothing that must hold is broken, the same run each
time."""

import pytest

from gaproute.simulation.raft_group import plan, play

SEEDS = {
    ("common", 3): range(32),
    ("common", 5): range(6),
    ("tight", 3): range(16),
    ("forgotten", 3): range(4),
}


@pytest.mark.parametrize("kind, keepers", SEEDS)
def test_nothing_is_broken(kind, keepers):
    fences = terms = 0
    for seed in SEEDS[kind, keepers]:
        world, breach = play(plan(seed, keepers, kind), keepers, kind)
        assert breach is None, breach.report()
        up = [seat.actor for seat in world.places if seat.actor is not None and seat.name.startswith("k")]
        fences += any(keeper.machine.last_token for keeper in up)
        terms += max((keeper.term for keeper in up), default=0)
    assert fences > len(SEEDS[kind, keepers]) * 2 // 3  # permits were granted
    assert terms >= len(SEEDS[kind, keepers]) * (2 if kind == "common" else 1)


def test_the_same_seed_is_the_same_run():
    first, again = (play(plan(3))[0] for _ in range(2))
    assert first.digest.intdigest() == again.digest.intdigest() and first.step == again.step > 1000


def test_beyond_the_bound_on_clock_rates_permits_break():
    """The bound is what it rests on: twice as far apart, and a holder's end comes after the keepers'."""
    assert play(plan(0, 3, "tight"), 3, "tight")[1] is None
    assert play(plan(0, 3, "tight"), 3, "tight", rate=20_000)[1].name == "the holder's end comes first"
