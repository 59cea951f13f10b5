"""Random operations on stored files on a faulty disk, checked against what was acknowledged.

Each scenario executes seeded operations on one kind of file, ends the process or the machine at a chosen
call, opens the file again and checks it. It raises `BrokenGuaranteeError` with the name of the broken
guarantee, which the tests of mutants compare.
"""

import random
from contextlib import suppress

from gaproute.faultinjection.disk import FaultyDisk
from gaproute.faultinjection.disk_faults import DISK_FAULTS
from gaproute.faultinjection.kills import KillPoint, Moment, ProcessKilled
from gaproute.faultinjection.plan import FaultPlan, RandomFaults
from gaproute.storage import cell_table_file as cell_table_module
from gaproute.storage import files
from gaproute.storage import raft_log_file as raft_log_module

MODULES = (files, raft_log_module, cell_table_module)
RECORD_LOST = "an acknowledged record is lost"
UNWRITTEN_RECORD_READ = "a record is read that was never written"
VALID_FILE_REJECTED = "an undamaged file is rejected"
NOT_RECOVERED = "the disk works again, but nothing is written"
DESCRIPTOR_LEAKED = "a descriptor is leaked"
VOTE_FORGOTTEN = "an answered vote is forgotten"
ENTRY_LOST = "an acknowledged entry is lost"
TABLE_LOST = "an accepted table is lost"


class BrokenGuaranteeError(AssertionError):
    """A guarantee of the storage package is broken; `name` is that of the guarantee."""

    def __init__(self, name, found=""):
        super().__init__(f"{name}: {found}")
        self.name = name


def faulty_disk(directory, seed, odds=0, kill=None):
    """A disk on which one in `odds` calls fails on average; 0: no call fails."""
    source = RandomFaults(seed, odds, DISK_FAULTS) if odds else RandomFaults(seed, 1, {})
    return FaultyDisk(directory, FaultPlan(source), kill=kill, chance=random.Random(f"{seed}/disk"))


class StorageScenario:
    """A scenario: `begin` opens the file, `step` executes one operation, and `check` reads the file after the
    process has ended. `max_descriptors` limits the open descriptors between steps."""

    max_descriptors = 0

    def __init__(self, directory, disk, seed):
        self.directory, self.disk, self.chance = directory, disk, random.Random(f"{seed}/work")
        self.seed, self.kill = seed, disk.kill

    def play(self, steps):
        """Executes steps until the kill or the last step, ends the process and checks the file. Then executes
        a few more steps, twice, so that the state after reopening is checked as well."""
        self.work(steps)
        for turn in range(2):
            self.chance = random.Random(f"{self.seed}/{self.kill}/{turn}")
            self.end()
            self.check()
            if turn == 0 and self.chance.randrange(2):
                # the process that opened the file may have acted on what it read
                self.disk.fail_power()
                self.check()
            self.work(self.chance.randrange(steps))
        self.end()
        self.check()

    def work(self, steps):
        """Executes `steps` steps, or fewer if the kill ends them."""
        with self.disk.installed(*MODULES), suppress(ProcessKilled):
            self.begin()
            for _ in range(steps):
                self.step()
                if self.disk.open_descriptors > self.max_descriptors:
                    raise BrokenGuaranteeError(DESCRIPTOR_LEAKED, f"{self.disk.open_descriptors} are open")

    def end(self):
        if self.chance.randrange(2):
            self.disk.fail_power()
        else:
            self.disk.end_process()


def count_calls(scenario, directory, seed, steps, odds=0):
    """The number of calls in the first `steps` steps of a run without a kill."""
    disk = faulty_disk(directory, seed, odds)
    instance = scenario(directory, disk, seed)
    with disk.installed(*MODULES):
        instance.begin()
        for _ in range(steps):
            instance.step()
    disk.end_process()
    return disk.calls


def play(scenario, directory, seed, steps=12, odds=0, kill=None):
    """One run of a scenario. Errors: BrokenGuaranteeError."""
    scenario(directory, faulty_disk(directory, seed, odds, kill), seed).play(steps)


def play_all_kills(scenario, new_directory, seeds, steps=12, odds=0):
    """Runs of a scenario with a kill at every call and at each moment of the call, for each seed."""
    for seed in seeds:
        for call in range(1, count_calls(scenario, new_directory(), seed, steps, odds) + 1):
            for moment in Moment:
                play(scenario, new_directory(), seed, steps, odds, KillPoint(call, moment))
