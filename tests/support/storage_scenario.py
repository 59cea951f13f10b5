"""Random work on the stored files over a faulty disk, checked against what was acknowledged.

Each scenario does seeded work on one kind of file, lets the process or the machine end at a chosen call,
opens the file again, and checks it. A broken guarantee is raised as `BrokenGuaranteeError` with a fixed
name, so that a mutant is caught by name.
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
RECORD_INVENTED = "a record is there that was never written"
SOUND_FILE_REFUSED = "a file that nobody spoilt is taken for bad"
NOT_RECOVERED = "the disk is well again, and nothing is written"
DESCRIPTOR_LEAKED = "a descriptor is leaked"
VOTE_FORGOTTEN = "an answered vote is forgotten"
ENTRY_LOST = "an acknowledged entry is lost"
TABLE_LOST = "an accepted table is lost"


class BrokenGuaranteeError(AssertionError):
    """A guarantee of the storage package is broken; `name` says which."""

    def __init__(self, name, found=""):
        super().__init__(f"{name}: {found}")
        self.name = name


def faulty_disk(folder, seed, odds=0, kill=None):
    """A disk on which one call in `odds` fails (0: none)."""
    source = RandomFaults(seed, odds, DISK_FAULTS) if odds else RandomFaults(seed, 1, {})
    return FaultyDisk(folder, FaultPlan(source), kill=kill, chance=random.Random(f"{seed}/disk"))


class StorageScenario:
    """`begin` opens, `step` does one thing, `check` reads what is stored after the process has ended.
    `max_descriptors`: descriptors that the part holds while it runs, at most."""

    max_descriptors = 0

    def __init__(self, folder, disk, seed):
        self.folder, self.disk, self.chance = folder, disk, random.Random(f"{seed}/work")
        self.seed, self.kill = seed, disk.kill

    def play(self, steps):
        """Work until the kill or the last step, end, open again, check; then a few steps more, twice, so
        that what an opening left behind is checked as well."""
        self.work(steps)
        for turn in range(2):
            self.chance = random.Random(f"{self.seed}/{self.kill}/{turn}")
            self.end()
            self.check()
            if turn == 0 and self.chance.randrange(2):  # whoever opened it may have acted on what it read
                self.disk.fail_power()
                self.check()
            self.work(self.chance.randrange(steps))
        self.end()
        self.check()

    def work(self, steps):
        """So many steps, or as many as there are before the kill."""
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


def calls_of(scenario, folder, seed, steps, odds=0):
    """How many calls the first half of a play makes without a kill."""
    disk = faulty_disk(folder, seed, odds)
    made = scenario(folder, disk, seed)
    with disk.installed(*MODULES):
        made.begin()
        for _ in range(steps):
            made.step()
    disk.end_process()
    return disk.calls


def play(scenario, folder, seed, steps=12, odds=0, kill=None):
    """One play; BrokenGuaranteeError where a promise is."""
    scenario(folder, faulty_disk(folder, seed, odds, kill), seed).play(steps)


def play_all_kills(scenario, new_folder, seeds, steps=12, odds=0):
    """Plays with a kill at every call, at each of its moments, for each seed."""
    for seed in seeds:
        for call in range(1, calls_of(scenario, new_folder(), seed, steps, odds) + 1):
            for moment in Moment:
                play(scenario, new_folder(), seed, steps, odds, KillPoint(call, moment))
