"""Whole groups of keepers under random faults; invariants are checked at every step."""
import pytest
from keepers_net import SECOND, Net, play


@pytest.mark.parametrize("size", [1, 3, 5])
def test_new_disks_found_a_log_and_elect_one(size):
    net = Net(1, size)
    net.run(10 * SECOND)
    assert [each.leading for each in net.keepers.values()].count(True) == 1
    assert {each.commit for each in net.keepers.values()} == {2}


@pytest.mark.parametrize("seed", range(12))
def test_random_faults_break_nothing_and_end_whole(seed, monkeypatch):
    monkeypatch.setattr("gaproute.shared.keepers.keeper.KEEP", 12)
    net = play(seed, keepers=5 if seed % 3 == 0 else 3)
    assert all(each.member for each in net.keepers.values())
    assert [each.leading for each in net.keepers.values()].count(True) == 1
    assert max(each.machine.fence for each in net.keepers.values()) > 1
