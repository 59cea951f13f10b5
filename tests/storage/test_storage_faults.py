"""The storage package on a disk that fails or writes partially, and under kills at any call."""

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
def new_directory(tmp_path):
    numbers = itertools.count()

    def make():
        made = tmp_path / str(next(numbers))
        made.mkdir()
        return made

    return make


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_a_kill_at_any_call_loses_nothing_that_was_acknowledged(scenario, new_directory):
    play_all_kills(scenario, new_directory, range(2), steps=6)


@pytest.mark.parametrize("scenario", SCENARIOS)
@pytest.mark.parametrize("odds", [200, 20, 4])
def test_random_failures_lose_nothing_that_was_acknowledged(scenario, new_directory, odds):
    for seed in range(15):
        play(scenario, new_directory(), seed, steps=40, odds=odds)


@pytest.mark.parametrize("scenario", SCENARIOS)
def test_a_kill_at_any_call_among_failures_loses_nothing_that_was_acknowledged(scenario, new_directory):
    play_all_kills(scenario, new_directory, range(1), steps=6, odds=6)


def play_with_kills(mutant, new_directory):
    play_all_kills(mutant.scenario, new_directory, range(4), steps=6, odds=6)
    play_all_kills(mutant.scenario, new_directory, range(2), steps=6)


@pytest.mark.parametrize(
    "mutant", STORAGE_MUTANTS, ids=lambda each: f"{each.apply.__name__}-{each.scenario.__name__}"
)
def test_a_mutant_breaks_a_guarantee_that_it_names(mutant, new_directory, monkeypatch):
    mutant.apply(monkeypatch.setattr)
    with pytest.raises(BrokenGuaranteeError) as caught:
        play_with_kills(mutant, new_directory)
    assert caught.value.name in mutant.names


class LeaseServiceRun:
    """The lease service of one gateway, the only member of its Raft group, on a stepped clock."""

    def __init__(self, directory, *lines):
        self.disk = FaultyDisk(directory, FaultPlan(Script.of(*lines)))
        self.loop, self.events = Loop(SteppedClock()), []
        self.raft_group = SimpleNamespace(names=("a",), votes=str(directory / "votes"), longest=SECOND)

    def start(self):
        record = SimpleNamespace(event=lambda level, what, **fields: self.events.append((what, fields)))
        self.leases = LeaseService(self.loop, "a", self.raft_group, record, RandomGenerator(1))
        return self.leases.node_runner.node

    def advance(self, span):
        end = self.loop.now() + span
        self.loop.call_at(end, lambda: None)
        while self.loop.now() < end:
            self.loop.turn()

    def close(self):
        self.leases.close()
        self.loop.close()


@pytest.mark.parametrize("fault", [DISK_FULL, IO_ERROR, Failure(errno.EMFILE), Failure(errno.EDQUOT)])
def test_a_gateway_starts_on_a_failing_disk_and_joins_the_group_once_the_disk_works(tmp_path, fault):
    run = LeaseServiceRun(tmp_path, *[("open", number, fault) for number in range(1, 4)])
    with run.disk.installed(files, raft_log_module):
        node = run.start()
        assert node.storage_failure
        assert node.due > 0
        run.advance(12 * SECOND)
        assert node.storage_failure == ""
        assert node.is_leader
        assert len(run.disk.plan.log) == 3
        assert [what for what, _ in run.events].count("raft_log_file_fault") == 1  # reported once
        run.close()
    assert run.disk.open_descriptors == 0


@pytest.mark.parametrize("fault", [errno.EACCES, errno.ENOENT, errno.ENOTDIR])
def test_a_start_fails_if_the_raft_log_cannot_be_created(tmp_path, fault):
    run = LeaseServiceRun(tmp_path, ("open", 1, Failure(fault)))
    with run.disk.installed(files, raft_log_module), pytest.raises(OSError, match=os.strerror(fault)):
        run.start()
    run.loop.close()
    assert run.disk.open_descriptors == 0


def test_a_gateway_serves_during_a_disk_outage_and_leads_again_afterwards(tmp_path):
    run = LeaseServiceRun(tmp_path)
    with run.disk.installed(files, raft_log_module):
        node = run.start()
        run.advance(5 * SECOND)
        assert node.is_leader
        number = run.disk.counts["write"]
        run.disk.plan = FaultPlan(Script.of(*[("write", each, DISK_FULL) for each in range(1, 4)]))
        request = run.leases.node_runner.lease_client.acquire(run.loop.now(), "host-7", SECOND)
        run.leases._run_due_work()
        run.advance(SECOND)
        assert node.storage_failure
        assert not node.is_leader
        assert request.state == "asked"
        run.advance(20 * SECOND)
        assert node.is_leader
        assert request.state == "held"
        assert run.disk.counts["write"] > number + 3
        run.close()
    assert run.disk.open_descriptors == 0
    assert not (tmp_path / "votes.new").exists()
