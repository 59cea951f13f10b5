"""What a member of the Raft group keeps: leases and sessions in memory, its log on disk, and its restart."""

import tempfile
from pathlib import Path

from benchmarks.scale.deferred import deferred
from benchmarks.scale.meters import CPU_TIME, MS_PER_SECOND, TRACED, cpu_seconds_once, retained_bytes
from gaproute.decisions.chance import Chance
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
SETTLES = 60 * SECOND  # in which a member has to lead and to have applied its log
BATCH = 256  # entries proposed between two syncs
NAME, HOLDER = "k1", "gate-0001"


def machine_of(leases):
    """A state machine that holds so many leases, of a few holders each."""
    machine = LeaseTable(initial_wait=False)
    for number in range(leases):
        holder = f"gate-{number // 4:04}"
        answer = machine.apply(number + 1, encode(AcquireLease(f"host-{number:05}", holder, 1, SPAN)), holder)
        assert not decode_result(answer).error
    return machine


def sessions_of(holders):
    """A table of sessions, one a holder."""
    sessions = Sessions(LeaseTable(initial_wait=False))
    for number in range(holders):
        sessions.apply(number + 1, Entry(1, EntryKind.OPEN_SESSION, body=f"gate-{number:04}".encode()))
    return sessions


def memory_by_leases(leases, seed):
    """Bytes of the state machine."""
    return retained_bytes(lambda: machine_of(leases))


def memory_by_holders(holders, seed):
    """Bytes of the table of sessions."""
    return retained_bytes(lambda: sessions_of(holders))


def snapshot_bytes(leases, seed):
    """Bytes of a snapshot."""
    return len(Sessions(machine_of(leases)).pack())


class Member:
    """A group of one on a disk of its own, so that nothing but its own log matters."""

    def __init__(self, path, seed):
        self.disk = RaftLogFile(path).open()
        self.node = RaftNode(NAME, [NAME], self.disk, Chance(seed), 0, LeaseTable(initial_wait=False))
        self.now = 0

    def settle(self):
        """Until it leads and has applied all that it has."""
        end = self.now + SETTLES
        while not self.node.is_leader or self.node.last_applied < self.node.log.last_index:
            assert self.now < end, "the log was not applied in time"
            self.now = max(self.now, self.node.due)
            assert not self.node.storage_failure, self.node.storage_failure
            self.node.tick(self.now)

    def fill(self, entries):
        """One lease that is taken and renewed until the log has so many entries."""
        self.node.hear(self.now, HOLDER, Request(0, 1, b""))
        session, nonce = self.node.last_applied, 0
        body = encode(AcquireLease("host-00001", HOLDER, 1, SPAN))
        while self.node.log.last_index < entries:
            nonce += 1
            self.node.propose(EntryKind.COMMAND, session, nonce, body)
            body = encode(RenewLease(1, HOLDER, SPAN))
            if nonce % BATCH == 0 or self.node.log.last_index == entries:
                self.settle()
        assert self.node.log.snapshot_index == 0 and len(self.node.machine.leases) == 1

    def close(self):
        """Ends it as a stop of the process does."""
        self.disk.close()


class LogOnDisk:
    """A file that holds a log of so many entries."""

    def __init__(self, entries, seed):
        self.folder = tempfile.TemporaryDirectory(prefix="raft-log-")
        self.path, self.seed = Path(self.folder.name, "votes"), seed
        member = Member(self.path, seed)
        member.settle()
        member.fill(entries)
        member.close()

    def restarted(self):
        """A member that has read it and applied all of it."""
        member = Member(self.path, self.seed)
        member.settle()
        return member


def log_bytes(entries, seed):
    """Bytes on disk."""
    kept = LogOnDisk(entries, seed)
    return kept.path.stat().st_size


def replay_cpu(entries, seed):
    """Milliseconds of CPU of a restart."""
    kept, members = LogOnDisk(entries, seed), []
    spent = cpu_seconds_once(lambda: members.append(kept.restarted()))
    assert members[0].node.last_applied >= entries
    members[0].close()
    return spent * MS_PER_SECOND


def log_memory(entries, seed):
    """Bytes of a member in memory after its restart."""
    kept = LogOnDisk(entries, seed)
    return retained_bytes(kept.restarted)


OF_ONE = "a group of one on a file of its own; entries renew one lease"

MEASUREMENTS = {
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
