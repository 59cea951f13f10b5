"""The ledger over a disk that fails, writes short, and is cut off at any call."""

import errno
import itertools
from types import SimpleNamespace

import pytest
from faulty_ledger import Broken, Node, Records, Tables, hunt, play
from ledger_mutants import PLANTED

from gaproute.appliance.leases import LeaseService
from gaproute.decisions.chance import Chance
from gaproute.faultinjection.disk import BROKEN, FULL, FaultyDisk
from gaproute.faultinjection.plan import Failure, FaultPlan, Script
from gaproute.loop import Loop
from gaproute.loop.loop import Stepped
from gaproute.storage import files
from gaproute.storage import votes as votes_module

SECOND = 1_000_000_000

PLAYERS = [Records, Node, Tables]


@pytest.fixture
def new_folder(tmp_path):
    numbers = itertools.count()

    def make():
        made = tmp_path / str(next(numbers))
        made.mkdir()
        return made

    return make


@pytest.mark.parametrize("player", PLAYERS)
def test_a_kill_at_any_call_leaves_all_that_was_acknowledged(player, new_folder):
    hunt(player, new_folder, range(2), steps=6)


@pytest.mark.parametrize("player", PLAYERS)
@pytest.mark.parametrize("odds", [200, 20, 4])
def test_calls_that_fail_by_chance_cost_nothing_that_was_acknowledged(player, new_folder, odds):
    for seed in range(15):
        play(player, new_folder(), seed, steps=40, odds=odds)


@pytest.mark.parametrize("player", PLAYERS)
def test_a_kill_at_any_call_among_failures_leaves_all_that_was_acknowledged(player, new_folder):
    hunt(player, new_folder, range(1), steps=6, odds=6)


@pytest.mark.parametrize("planted", PLANTED, ids=lambda each: f"{each.put.__name__}-{each.player.__name__}")
def test_a_planted_fault_is_caught_by_name(planted, new_folder, monkeypatch):
    planted.put(monkeypatch.setattr)
    with pytest.raises(Broken) as caught:
        hunt(planted.player, new_folder, range(4), steps=6, odds=6)
        hunt(planted.player, new_folder, range(2), steps=6)
    assert caught.value.name in planted.names


class Strongly:
    """The leases' part of one gateway, the only member of its group, on a clock of the test's."""

    def __init__(self, folder, *lines):
        self.disk = FaultyDisk(folder, FaultPlan(Script.of(*lines)))
        self.loop, self.events = Loop(Stepped()), []
        self.line = SimpleNamespace(names=("a",), votes=str(folder / "votes"), longest=SECOND)

    def start(self):
        record = SimpleNamespace(event=lambda level, what, **told: self.events.append((what, told)))
        self.leases = LeaseService(self.loop, "a", self.line, record, Chance(1))
        return self.leases.hosted_node.node

    def run(self, span):
        end = self.loop.now() + span
        self.loop.at(end, lambda: None)
        while self.loop.now() < end:
            self.loop.turn()

    def close(self):
        self.leases.close()
        self.loop.close()


@pytest.mark.parametrize("fault", [FULL, BROKEN, Failure(errno.EMFILE), Failure(errno.EDQUOT)])
def test_a_gateway_starts_on_a_disk_that_fails_and_takes_part_once_it_answers(tmp_path, fault):
    part = Strongly(tmp_path, *[("open", number, fault) for number in range(1, 4)])
    with part.disk.installed(files, votes_module):
        node = part.start()
        assert node.storage_failure and node.due > 0
        part.run(12 * SECOND)
        assert node.storage_failure == "" and node.is_leader and len(part.disk.plan.log) == 3
        assert [what for what, _ in part.events].count("votes") == 1  # said once
        part.close()
    assert part.disk.open_descriptors == 0


@pytest.mark.parametrize("fault", [errno.EACCES, errno.ENOENT, errno.ENOTDIR])
def test_a_place_where_no_votes_can_be_is_no_start(tmp_path, fault):
    part = Strongly(tmp_path, ("open", 1, Failure(fault)))
    with part.disk.installed(files, votes_module), pytest.raises(OSError):
        part.start()
    part.loop.close()
    assert part.disk.open_descriptors == 0


def test_a_gateway_goes_on_while_its_disk_fails_and_leads_again_after_it(tmp_path):
    part = Strongly(tmp_path)
    with part.disk.installed(files, votes_module):
        node = part.start()
        part.run(5 * SECOND)
        assert node.is_leader
        number = part.disk.counts["write"]
        part.disk.plan = FaultPlan(Script.of(*[("write", each, FULL) for each in range(1, 4)]))
        request = part.leases.hosted_node.client.acquire(part.loop.now(), "host-7", SECOND)
        part.leases._act()
        part.run(SECOND)
        assert node.storage_failure and not node.is_leader and request.state == "asked"
        part.run(20 * SECOND)
        assert node.is_leader and request.state == "held" and part.disk.counts["write"] > number + 3
        part.close()
    assert part.disk.open_descriptors == 0 and not (tmp_path / "votes.new").exists()
