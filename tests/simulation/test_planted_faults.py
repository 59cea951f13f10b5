"""Each small fault that is planted in the Raft group is found by name, within the seeds of the tests."""

import pytest

from gaproute.simulation.raft_group import RaftGroupSetup, draw_group_schedule, play
from gaproute.simulation.raft_group.planted_faults import EditError, planted
from gaproute.simulation.raft_group.planted_lease_faults import LEASE_FAULTS
from gaproute.simulation.raft_group.planted_raft_faults import RAFT_FAULTS
from tests.simulation.test_raft_group import SEEDS

PLANTED_FAULTS = (*RAFT_FAULTS, *LEASE_FAULTS)


def seeds(fault):
    """Those of the tests, the one where it was found soonest first."""
    offered = SEEDS[fault.kind, fault.nodes]
    assert fault.seed in offered
    return [fault.seed, *(seed for seed in offered if seed != fault.seed)]


@pytest.mark.parametrize("fault", PLANTED_FAULTS, ids=lambda fault: fault.name)
def test_found_by_name(fault):
    setup, others = RaftGroupSetup(kind=fault.kind, nodes=fault.nodes), []
    for seed in seeds(fault):
        with planted(fault):
            violation = play(draw_group_schedule(seed, setup), setup)[1]
        if violation is not None and violation.name in fault.found_by:
            return
        others.append(violation and violation.name)
    pytest.fail(f"{fault.name}: {others}")


def test_a_fault_is_gone_afterwards_and_one_whose_text_is_missing_is_an_error():
    fault = PLANTED_FAULTS[0]
    edit = fault.edits[0]
    code = edit.function.__code__
    with planted(fault):
        assert edit.function.__code__ is not code
    assert edit.function.__code__ is code
    wrong = fault._replace(edits=(edit._replace(original="not there", replacement=""),))
    with pytest.raises(EditError, match="has no"), planted(wrong):
        pass
    assert len({fault.name for fault in PLANTED_FAULTS}) == len(PLANTED_FAULTS) >= 32
