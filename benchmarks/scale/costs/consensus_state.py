"""The state of a member of the Raft group: leases and sessions in memory, its log on disk, its restart."""

import tempfile
from pathlib import Path

from benchmarks.scale.deferred import deferred
from benchmarks.scale.measurement import Measurements
from benchmarks.scale.meters import CPU_TIME, MS_PER_SECOND, TRACED, cpu_seconds_once, retained_bytes
from gaproute.decisions.chance import RandomGenerator
from gaproute.shared.leases import LeaseTable
from gaproute.shared.leases.commands import AcquireLease, RenewLease, decode_result, encode
from gaproute.shared.raft import RaftNode
from gaproute.shared.raft.messages import Entry, EntryKind, Request
from gaproute.shared.raft.sessions import Sessions
from gaproute.storage.raft_log_file import RaftLogFile

SECOND = 1_000_000_000
LEASES = (64, 256, 1_024, 4_096)  # the bound on both
ENTRIES = (32, 128, 256, 480)  # with more than 512 a restarted group commits nothing
SPAN = 20 * SECOND
SETTLING_LIMIT = 60 * SECOND  # in which a member has to lead and to have applied its log
BATCH = 256  # entries proposed between two syncs
NAME, HOLDER = "k1", "gate-0001"


def machine_of(leases: int) -> LeaseTable:
    """A state machine with so many leases, four of each holder."""
    machine = LeaseTable(initial_wait=False)
    for number in range(leases):
        holder = f"gate-{number // 4:04}"
        answer = machine.apply(number + 1, encode(AcquireLease(f"host-{number:05}", holder, 1, SPAN)), holder)
        assert not decode_result(answer).error
    return machine


def sessions_of(holders: int) -> Sessions:
    """A table of sessions, one a holder."""
    sessions = Sessions(LeaseTable(initial_wait=False))
    for number in range(holders):
        sessions.apply(number + 1, Entry(1, EntryKind.OPEN_SESSION, body=f"gate-{number:04}".encode()))
    return sessions


def memory_by_leases(leases: int, seed: int) -> float:
    """Bytes of the state machine."""
    return retained_bytes(lambda: machine_of(leases))


def memory_by_holders(holders: int, seed: int) -> float:
    """Bytes of the table of sessions."""
    return retained_bytes(lambda: sessions_of(holders))


def snapshot_bytes(leases: int, seed: int) -> float:
    """Bytes of a snapshot."""
    return len(Sessions(machine_of(leases)).pack())


class Member:
    """A group of one on a disk of its own, so that nothing but its own log matters."""

    def __init__(self, path: Path, seed: int) -> None:
        self.disk = RaftLogFile(path).open()
        self.machine = LeaseTable(initial_wait=False)
        self.node = RaftNode(NAME, [NAME], self.disk, RandomGenerator(seed), 0, self.machine)
        self.now = 0

    def settle(self) -> None:
        """Run until the member leads and has applied its complete log."""
        end = self.now + SETTLING_LIMIT
        while not self.node.is_leader or self.node.last_applied < self.node.log.last_index:
            assert self.now < end, "the log was not applied in time"
            self.now = max(self.now, self.node.due)
            assert not self.node.storage_failure, self.node.storage_failure
            self.node.tick(self.now)

    def fill(self, entries: int) -> None:
        """Acquire one lease and renew it until the log has so many entries."""
        self.node.hear(self.now, HOLDER, Request(0, 1, b""))
        session, nonce = self.node.last_applied, 0
        body = encode(AcquireLease("host-00001", HOLDER, 1, SPAN))
        while self.node.log.last_index < entries:
            nonce += 1
            self.node.propose(EntryKind.COMMAND, session, nonce, body)
            body = encode(RenewLease(1, HOLDER, SPAN))
            if nonce % BATCH == 0 or self.node.log.last_index == entries:
                self.settle()
        assert self.node.log.snapshot_index == 0
        assert len(self.machine.leases) == 1

    def close(self) -> None:
        """Close the disk, as a stop of the process does."""
        self.disk.close()


class LogOnDisk:
    """A file with a log of so many entries."""

    def __init__(self, entries: int, seed: int) -> None:
        self.folder = tempfile.TemporaryDirectory(prefix="raft-log-")
        self.path, self.seed = Path(self.folder.name, "votes"), seed
        member = Member(self.path, seed)
        member.settle()
        member.fill(entries)
        member.close()

    def restarted(self) -> Member:
        """A member that has read the file and applied all entries."""
        member = Member(self.path, self.seed)
        member.settle()
        return member


def log_bytes(entries: int, seed: int) -> float:
    """Bytes on disk."""
    log = LogOnDisk(entries, seed)
    return log.path.stat().st_size


def replay_cpu(entries: int, seed: int) -> float:
    """Milliseconds of CPU of a restart."""
    log = LogOnDisk(entries, seed)
    members: list[Member] = []
    spent = cpu_seconds_once(lambda: members.append(log.restarted()))
    assert members[0].node.last_applied >= entries
    members[0].close()
    return spent * MS_PER_SECOND


def log_memory(entries: int, seed: int) -> float:
    """Bytes of a member in memory after its restart."""
    log = LogOnDisk(entries, seed)
    return retained_bytes(log.restarted)


OF_ONE = "a group of one on a file of its own; entries renew one lease"

MEASUREMENTS: Measurements = {
    **deferred(
        "consensus-memory-by-leases",
        "memory of a member's state machine",
        "bytes",
        "leases that stand",
        LEASES,
        memory_by_leases,
        TRACED,
    ),
    **deferred(
        "consensus-memory-by-holders",
        "memory of a member's table of sessions",
        "bytes",
        "holders, a session each",
        LEASES,
        memory_by_holders,
        TRACED,
    ),
    **deferred(
        "consensus-snapshot-bytes-by-leases",
        "bytes of a snapshot",
        "bytes",
        "leases that stand",
        LEASES,
        snapshot_bytes,
        "without sessions",
    ),
    **deferred(
        "consensus-log-bytes-by-entries",
        "bytes of the log on disk",
        "bytes",
        "entries since the last snapshot",
        ENTRIES,
        log_bytes,
        OF_ONE,
    ),
    **deferred(
        "consensus-log-memory-by-entries",
        "memory of a member after its restart",
        "bytes",
        "entries since the last snapshot",
        ENTRIES,
        log_memory,
        f"{OF_ONE}. {TRACED}",
    ),
    **deferred(
        "consensus-replay-cpu-by-entries",
        "CPU of a restart: the log read and applied",
        "ms",
        "entries since the last snapshot",
        ENTRIES,
        replay_cpu,
        f"{OF_ONE}. {CPU_TIME}; waiting for the disk is not in",
    ),
}
