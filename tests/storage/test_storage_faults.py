"""The storage package over a disk that fails, writes short, and is cut off at any call."""

import errno
import itertools
import os
from types import SimpleNamespace

import pytest
from raft_node_scenario import RaftNodeState
from storage_file_scenarios import CellTables, LogRecords
from storage_mutants import STORAGE_MUTANTS
from storage_scenario import BrokenGuaranteeError, play, play_all_kills

from gaproute.appliance.leases import LeaseService
from gaproute.decisions.chance import RandomGenerator
from gaproute.faultinjection.disk import FaultyDisk
from gaproute.faultinjection.disk_faults import DISK_FULL, IO_ERROR
from gaproute.faultinjection.plan import Failure, FaultPlan, Script
from gaproute.loop import Loop
from gaproute.loop.polling import SteppedClock
from gaproute.storage import files
from gaproute.storage import raft_log_file as raft_log_module

SECOND = 1_000_000_000

SCENARIOS = [LogRecords, RaftNodeState, CellTables]


@pytest.fixture
def new_folder(tmp_path):
    numbers = itertools.count()

    def make():
        made = tmp_path / str(next(numbers))
        made.mkdir()
        return made

    return make


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_a_kill_at_any_call_leaves_all_that_was_acknowledged(scenario, new_folder):
    play_all_kills(scenario, new_folder, range(2), steps=6)


@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize("odds", [200, 20, 4])
def test_calls_that_fail_by_chance_cost_nothing_that_was_acknowledged(scenario, new_folder, odds):
    for seed in range(15):
        play(scenario, new_folder(), seed, steps=40, odds=odds)


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_a_kill_at_any_call_among_failures_leaves_all_that_was_acknowledged(scenario, new_folder):
    play_all_kills(scenario, new_folder, range(1), steps=6, odds=6)


def play_all_scenarios_of(mutant, new_folder):
    play_all_kills(mutant.scenario, new_folder, range(4), steps=6, odds=6)
    play_all_kills(mutant.scenario, new_folder, range(2), steps=6)


@pytest.mark.parametrize(
    "mutant", STORAGE_MUTANTS, ids=lambda each: f"{each.apply.__name__}-{each.scenario.__name__}"
)
def test_a_mutant_is_caught_by_name(mutant, new_folder, monkeypatch):
    mutant.apply(monkeypatch.setattr)
    with pytest.raises(BrokenGuaranteeError) as caught:
        play_all_scenarios_of(mutant, new_folder)
    assert caught.value.name in mutant.names


class LeasesOfOneGateway:
    """The leases' part of one gateway, the only member of its group, on a clock of the test's."""

    def __init__(self, folder, *lines):
        self.disk = FaultyDisk(folder, FaultPlan(Script.of(*lines)))
        self.loop, self.events = Loop(SteppedClock()), []
        self.line = SimpleNamespace(names=("a",), votes=str(folder / "votes"), longest=SECOND)

    def start(self):
        record = SimpleNamespace(event=lambda level, what, **fields: self.events.append((what, fields)))
        self.leases = LeaseService(self.loop, "a", self.line, record, RandomGenerator(1))
        return self.leases.hosted_node.node

    def run(self, span):
        end = self.loop.now() + span
        self.loop.call_at(end, lambda: None)
        while self.loop.now() < end:
            self.loop.turn()

    def close(self):
        self.leases.close()
        self.loop.close()


@pytest.mark.parametrize("fault", [DISK_FULL, IO_ERROR, Failure(errno.EMFILE), Failure(errno.EDQUOT)])
def test_a_gateway_starts_on_a_disk_that_fails_and_takes_part_once_it_answers(tmp_path, fault):
    part = LeasesOfOneGateway(tmp_path, *[("open", number, fault) for number in range(1, 4)])
    with part.disk.installed(files, raft_log_module):
        node = part.start()
        assert node.storage_failure
        assert node.due > 0
        part.run(12 * SECOND)
        assert node.storage_failure == ""
        assert node.is_leader
        assert len(part.disk.plan.log) == 3
        assert [what for what, _ in part.events].count("raft_log_file_fault") == 1  # said once
        part.close()
    assert part.disk.open_descriptors == 0


@pytest.mark.parametrize("fault", [errno.EACCES, errno.ENOENT, errno.ENOTDIR])
def test_a_place_where_the_raft_log_cannot_be_is_no_start(tmp_path, fault):
    part = LeasesOfOneGateway(tmp_path, ("open", 1, Failure(fault)))
    with part.disk.installed(files, raft_log_module), pytest.raises(OSError, match=os.strerror(fault)):
        part.start()
    part.loop.close()
    assert part.disk.open_descriptors == 0


def test_a_gateway_goes_on_while_its_disk_fails_and_leads_again_after_it(tmp_path):
    part = LeasesOfOneGateway(tmp_path)
    with part.disk.installed(files, raft_log_module):
        node = part.start()
        part.run(5 * SECOND)
        assert node.is_leader
        number = part.disk.counts["write"]
        part.disk.plan = FaultPlan(Script.of(*[("write", each, DISK_FULL) for each in range(1, 4)]))
        request = part.leases.hosted_node.lease_client.acquire(part.loop.now(), "host-7", SECOND)
        part.leases._run_due_work()
        part.run(SECOND)
        assert node.storage_failure
        assert not node.is_leader
        assert request.state == "asked"
        part.run(20 * SECOND)
        assert node.is_leader
        assert request.state == "held"
        assert part.disk.counts["write"] > number + 3
        part.close()
    assert part.disk.open_descriptors == 0
    assert not (tmp_path / "votes.new").exists()
