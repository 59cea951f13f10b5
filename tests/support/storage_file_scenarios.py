"""Scenarios of the Raft log file and of the cell table file, without a Raft node."""

from storage_scenario import (
    MODULES,
    NOT_RECOVERED,
    RECORD_INVENTED,
    RECORD_LOST,
    SOUND_FILE_REFUSED,
    TABLE_LOST,
    BrokenGuaranteeError,
    StorageScenario,
)

from gaproute.shared.raft import UnusableDiskError
from gaproute.storage.cell_table_file import CellTableFile, StoredTable
from gaproute.storage.raft_log_file import RaftLogFile

ATTEMPTS = 30  # while calls fail


class LogRecords(StorageScenario):
    """Appends, syncs and replacements of a votes file. What may stand is known as a list of possibilities,
    the acknowledged records first in each of them."""

    max_descriptors = 2

    def __init__(self, folder, disk, seed):
        super().__init__(folder, disk, seed)
        self.acknowledged, self.possible, self.memory, self.number = [], [[]], [], 0

    def begin(self):
        self.log_file = RaftLogFile(f"{self.folder}/votes", lambda text: None, lambda: 17)
        self.memory = self.opened()

    def opened(self):
        """The records. Errors: BrokenGuaranteeError where they are not what may stand."""
        try:
            read = self.retried(self.log_file.read)
        except UnusableDiskError as fault:
            raise BrokenGuaranteeError(SOUND_FILE_REFUSED, fault.reason) from fault
        if read not in self.possible:
            raise BrokenGuaranteeError(
                RECORD_LOST if len(read) < len(self.acknowledged) else RECORD_INVENTED,
                f"{read} stands, {self.acknowledged} was acknowledged",
            )
        self.acknowledge_all(read)  # whoever opened it acts by what it read
        return read

    def retried(self, call):
        """Repeat a call that fails, and in the end make it on a disk that is well."""
        for _ in range(ATTEMPTS):
            try:
                return call()
            except OSError:
                continue
        with self.disk.plan.pause():
            try:
                return call()
            except OSError as fault:
                raise BrokenGuaranteeError(NOT_RECOVERED, str(fault)) from fault

    def acknowledge_all(self, records):
        self.acknowledged, self.possible = list(records), [list(records)]

    def step(self):
        try:
            if self.chance.randrange(8) == 0:
                self.memory = self.memory[-2:]
                self.replace()
            else:
                for _ in range(1 + self.chance.randrange(3)):
                    self.append()
                self.log_file.sync()
                self.acknowledge_all(self.memory)
        except OSError:
            self.retried(self.replace)

    def append(self):
        self.number += 1
        self.memory = [*self.memory, b"%d" % self.number * (1 + self.chance.randrange(3))]
        self.possible.append(self.memory)
        self.log_file.append(self.memory[-1])

    def replace(self):
        self.possible.append(self.memory)
        self.log_file.replace(self.memory)
        self.acknowledge_all(self.memory)

    def check(self):
        """Open on a disk that is well."""
        self.disk.kill = None
        with self.disk.plan.pause(), self.disk.installed(*MODULES):
            self.begin()
            self.log_file.close()


class CellTables(StorageScenario):
    """Cell tables put in place of one another; that of the last write that was said to stand is promised."""

    def __init__(self, folder, disk, seed):
        super().__init__(folder, disk, seed)
        self.accepted = self.tried = 0

    def begin(self):
        self.file = CellTableFile(f"{self.folder}/cells.table", "north", lambda text: None, lambda: 17)

    def step(self):
        self.tried += 1
        data = bytes([self.tried % 251]) * (1 + self.chance.randrange(300))
        if self.file.write(StoredTable("north", 1, self.tried, self.tried, data)):
            self.accepted = self.tried

    def check(self):
        self.disk.kill = None
        with self.disk.plan.pause(), self.disk.installed(*MODULES):
            self.begin()
            stored = self.file.read()
            if self.file.counts.quarantined:
                raise BrokenGuaranteeError(SOUND_FILE_REFUSED, "quarantined")
            number = 0 if stored is None else stored.number
            if not self.accepted <= number <= self.tried:
                raise BrokenGuaranteeError(TABLE_LOST, f"{number} stands, {self.accepted} was accepted")
            self.tried += 1
            if not self.file.write(StoredTable("north", 1, self.tried, 0, b"")):
                raise BrokenGuaranteeError(NOT_RECOVERED, "no table is written")
            self.accepted = self.tried
