"""Scenarios of the Raft log file and of the cell table file, without a Raft node."""

from storage_scenario import (
    MODULES,
    NOT_RECOVERED,
    RECORD_LOST,
    TABLE_LOST,
    UNWRITTEN_RECORD_READ,
    VALID_FILE_REJECTED,
    BrokenGuaranteeError,
    StorageScenario,
)

from gaproute.shared.raft import UnusableDiskError
from gaproute.storage.cell_table_file import CellTableFile, StoredTable
from gaproute.storage.raft_log_file import RaftLogFile

ATTEMPTS = 30  # on the faulty disk


class LogRecords(StorageScenario):
    """Appends, syncs and replacements of a Raft log file. `possible` lists the sequences of records that may
    be stored; each begins with the acknowledged records."""

    max_descriptors = 2

    def __init__(self, directory, disk, seed):
        super().__init__(directory, disk, seed)
        self.acknowledged, self.possible, self.records, self.number = [], [[]], [], 0

    def begin(self):
        self.log_file = RaftLogFile(f"{self.directory}/votes", lambda text: None, lambda: 17)
        self.records = self.read_records()

    def read_records(self):
        """Reads the records. Errors: BrokenGuaranteeError if they are not one of the possible sequences."""
        try:
            read = self.call_with_retries(self.log_file.read)
        except UnusableDiskError as fault:
            raise BrokenGuaranteeError(VALID_FILE_REJECTED, fault.reason) from fault
        if read not in self.possible:
            raise BrokenGuaranteeError(
                RECORD_LOST if len(read) < len(self.acknowledged) else UNWRITTEN_RECORD_READ,
                f"{read} was read, {self.acknowledged} was acknowledged",
            )
        self.acknowledge_all(read)  # the process may act on the records that it read
        return read

    def call_with_retries(self, call):
        """Repeats a failing call; after the last attempt, calls it on a disk without failures."""
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
                self.records = self.records[-2:]
                self.replace()
            else:
                for _ in range(1 + self.chance.randrange(3)):
                    self.append()
                self.log_file.sync()
                self.acknowledge_all(self.records)
        except OSError:
            self.call_with_retries(self.replace)

    def append(self):
        self.number += 1
        self.records = [*self.records, b"%d" % self.number * (1 + self.chance.randrange(3))]
        self.possible.append(self.records)
        self.log_file.append(self.records[-1])

    def replace(self):
        self.possible.append(self.records)
        self.log_file.replace(self.records)
        self.acknowledge_all(self.records)

    def check(self):
        """Opens the file on a disk without failures."""
        self.disk.kill = None
        with self.disk.plan.pause(), self.disk.installed(*MODULES):
            self.begin()
            self.log_file.close()


class CellTables(StorageScenario):
    """Writes of cell tables; the table of the last successful write, or a later one, has to be read."""

    def __init__(self, directory, disk, seed):
        super().__init__(directory, disk, seed)
        self.accepted = self.last_number = 0

    def begin(self):
        self.file = CellTableFile(f"{self.directory}/cells.table", "north", lambda text: None, lambda: 17)

    def step(self):
        self.last_number += 1
        data = bytes([self.last_number % 251]) * (1 + self.chance.randrange(300))
        if self.file.write(StoredTable("north", 1, self.last_number, self.last_number, data)):
            self.accepted = self.last_number

    def check(self):
        self.disk.kill = None
        with self.disk.plan.pause(), self.disk.installed(*MODULES):
            self.begin()
            stored = self.file.read()
            if self.file.counts.quarantined:
                raise BrokenGuaranteeError(VALID_FILE_REJECTED, "quarantined")
            number = 0 if stored is None else stored.number
            if not self.accepted <= number <= self.last_number:
                raise BrokenGuaranteeError(TABLE_LOST, f"{number} was read, {self.accepted} was accepted")
            self.last_number += 1
            if not self.file.write(StoredTable("north", 1, self.last_number, 0, b"")):
                raise BrokenGuaranteeError(NOT_RECOVERED, "the table cannot be written")
            self.accepted = self.last_number
