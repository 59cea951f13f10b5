"""Each small fault that is put into the keepers is caught by name, within the seeds that the tests play."""

import pytest

from gaproute.simulation.raft_group import plan, play
from gaproute.simulation.raft_group.planted_faults import PLANTED_FAULTS, planted
from tests.simulation.test_raft_group import SEEDS


def seeds(mutant):
    """Those of the tests, the one where it was caught soonest first."""
    offered = SEEDS[mutant.kind, mutant.keepers]
    assert mutant.seed in offered
    return [mutant.seed, *(seed for seed in offered if seed != mutant.seed)]


@pytest.mark.parametrize("mutant", PLANTED_FAULTS, ids=lambda mutant: mutant.name)
def test_caught_by_name(mutant):
    others = []
    for seed in seeds(mutant):
        with planted(mutant):
            breach = play(plan(seed, mutant.keepers, mutant.kind), mutant.keepers, mutant.kind)[1]
        if breach is not None and breach.name in mutant.names:
            return
        others.append(breach and breach.name)
    pytest.fail(f"{mutant.name}: {others}")


def test_a_fault_is_gone_afterwards_and_one_without_its_words_is_told():
    mutant = PLANTED_FAULTS[0]
    function, words, _ = mutant.edits[0]
    code = function.__code__
    with planted(mutant):
        assert function.__code__ is not code
    assert function.__code__ is code
    wrong = mutant._replace(edits=((function, "not there", ""),))
    with pytest.raises(ValueError, match="has no"), planted(wrong):
        pass
    assert len({mutant.name for mutant in PLANTED_FAULTS}) == len(PLANTED_FAULTS) >= 20
