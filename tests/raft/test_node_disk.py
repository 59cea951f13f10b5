"""One node and its disk: what fails, what cannot be trusted, and what is known after a restart."""

import pytest
from raft_net import SECOND, Chance, Disk
from raft_nodes import MEMBERS, NAMES, disk, node, noop, record

from gaproute.shared.leases import LeaseTable, commands
from gaproute.shared.raft import RaftNode, UnusableDiskError
from gaproute.shared.raft.messages import (
    AppendEntries,
    Entry,
    EntryKind,
    RequestVote,
    RequestVoteResponse,
)
from gaproute.shared.raft.records import EntryRecord, IdentityRecord, SnapshotRecord, VoteRecord, decode
from gaproute.shared.raft.sessions import Sessions


def test_a_disk_that_fails_makes_it_silent_until_it_is_written_anew():
    one, stored_log = node()
    stored_log.fails = "no space left"
    assert one.hear(0, "a", RequestVote(2, 1, 1, 0, False)) == []
    assert "no space" in one.storage_failure
    assert one.hear(0, "a", AppendEntries(2, 1, 1, 0, 0)) == []
    assert one.tick(one.due) == []
    assert one.storage_failure
    stored_log.fails = None
    assert one.hear(one.due, "a", AppendEntries(2, 1, 1, 0, 0)) == []
    one.tick(one.due)
    assert not one.storage_failure
    assert decode(stored_log.records[1]) == VoteRecord(2, "a", 1)
    assert one.hear(one.due, "c", RequestVote(2, 3, 9, 1, False)) == [
        ("c", RequestVoteResponse(2, 2, False, False))
    ]


@pytest.mark.parametrize(
    "came",
    [
        UnusableDiskError("torn"),
        [record(IdentityRecord("z", 9))],
        [b"noise"],
        [record(VoteRecord(3, "", 0))],
        [record(IdentityRecord("b", 2)), record(EntryRecord(5, noop(1)))],
        [record(IdentityRecord("b", 2)), record(VoteRecord(3, "", 0)), record(VoteRecord(2, "", 0))],
        [
            record(IdentityRecord("b", 2)),
            record(VoteRecord(3, "", 0)),
            record(SnapshotRecord(9, 2, MEMBERS, b"noise")),
        ],
    ],
)
def test_a_disk_that_cannot_be_trusted_is_set_aside_and_the_node_is_another(came):
    stored_log = disk()

    def read():
        if isinstance(came, UnusableDiskError):
            raise came
        return came

    stored_log.read = read
    one = RaftNode("b", NAMES, stored_log, Chance(1), 0, LeaseTable())
    assert stored_log.quarantined == [one.store.discard_reason]
    assert one.incarnation not in (0, 2)
    assert one.store.is_blank
    assert [decode(each) for each in stored_log.records] == [IdentityRecord("b", one.incarnation)]
    assert one.tick(one.due) == []
    assert not one.is_member


def test_nothing_of_a_disk_that_cannot_be_used_comes_into_force():
    """Its snapshot is understood, its entries are of a term that it never entered."""
    taken = LeaseTable(initial_wait=False)
    taken.apply(1, commands.encode(commands.AcquireLease("host-7", "h", 1, SECOND)), "h")
    state = Sessions(taken).pack()
    stored_log = disk()
    late = Entry(7, EntryKind.NOOP)
    stored_log.records = [
        record(each)
        for each in (IdentityRecord("b", 2), SnapshotRecord(9, 2, MEMBERS, state), EntryRecord(10, late))
    ]
    one = RaftNode("b", NAMES, stored_log, Chance(1), 0, LeaseTable())
    assert stored_log.quarantined == ["the log has entries of a later term than the node's term"]
    assert one.store.is_blank
    assert one.machine.leases == {}
    assert one.machine.amounts_held == {}
    assert one.machine.last_token == 0


def test_a_disk_that_cannot_be_read_is_tried_again_and_nothing_is_sent_meanwhile():
    stored_log, good = disk(vote=("c", 3)), Disk.read
    stored_log.read = lambda: Disk.sync(stored_log)
    stored_log.fails = "input/output error"
    one = RaftNode("b", NAMES, stored_log, Chance(1), 0, LeaseTable())
    assert "reading the disk failed" in one.storage_failure
    assert one.hear(0, "a", RequestVote(1, 1, 1, 0, False)) == []
    stored_log.read, stored_log.fails = lambda: good(stored_log), None
    one.tick(one.due)
    assert not one.storage_failure
    assert one.incarnation == 2
    assert one.hear(one.storage_retry_at, "a", RequestVote(1, 1, 1, 0, False)) == [
        ("a", RequestVoteResponse(1, 2, False, False))
    ]
