"""A Raft group and its clients under all faults, on fixed seeds: no invariant is violated, the same run each
time."""

import pytest

from gaproute.simulation.raft_group import RaftGroupSetup, RunKind, draw_group_schedule, play
from gaproute.simulation.raft_group.check_names import CLIENT_EXPIRES_FIRST
from gaproute.simulation.raft_group.group_checks import running_nodes

SEEDS = {
    (RunKind.COMMON, 3): range(32),
    (RunKind.COMMON, 5): range(6),
    (RunKind.TIGHT, 3): range(16),
    (RunKind.FORGOTTEN, 3): range(4),
}


def play_seed(seed, **setup):
    setup = RaftGroupSetup(**setup)
    return play(draw_group_schedule(seed, setup), setup)


@pytest.mark.parametrize(("kind", "nodes"), SEEDS)
def test_nothing_is_violated(kind, nodes):
    granted = terms = 0
    for seed in SEEDS[kind, nodes]:
        simulation, violation = play_seed(seed, kind=kind, nodes=nodes)
        assert violation is None, violation.report()
        running = running_nodes(simulation)
        granted += any(node.machine.last_token for node in running)
        terms += max((node.term for node in running), default=0)
    assert granted > len(SEEDS[kind, nodes]) * 2 // 3  # leases were granted
    assert terms >= len(SEEDS[kind, nodes]) * (2 if kind == RunKind.COMMON else 1)


def test_the_same_seed_is_the_same_run():
    first, again = (play_seed(3)[0] for _ in range(2))
    assert first.timeline.digest.intdigest() == again.timeline.digest.intdigest()
    assert first.timeline.step == again.timeline.step > 1000


def test_beyond_the_bound_on_clock_drift_leases_overlap():
    """The bound is what leases rest on: with twice the drift a client's lease outlasts the group's."""
    assert play_seed(0, kind=RunKind.TIGHT)[1] is None
    violation = play_seed(0, kind=RunKind.TIGHT, max_drift=20_000)[1]
    assert violation.name == CLIENT_EXPIRES_FIRST
