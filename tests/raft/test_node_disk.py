"""A single Raft node and its disk: failing disks, unusable records, and the state after a restart."""

import pytest
from raft_net import SECOND, Chance, Disk
from raft_nodes import MEMBERS, NAMES, encode_record, make_node, noop_entry, written_disk

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


def test_a_node_with_a_failed_disk_sends_nothing_until_the_state_is_rewritten():
    node, disk = make_node()
    disk.fails = "no space left"
    assert node.hear(0, "a", RequestVote(2, 1, 1, 0, False)) == []
    assert "no space" in node.storage_failure
    assert node.hear(0, "a", AppendEntries(2, 1, 1, 0, 0)) == []
    assert node.tick(node.due) == []
    assert node.storage_failure
    disk.fails = None
    assert node.hear(node.due, "a", AppendEntries(2, 1, 1, 0, 0)) == []
    node.tick(node.due)
    assert not node.storage_failure
    assert decode(disk.records[1]) == VoteRecord(2, "a", 1)
    assert node.hear(node.due, "c", RequestVote(2, 3, 9, 1, False)) == [
        ("c", RequestVoteResponse(2, 2, False, False))
    ]


@pytest.mark.parametrize(
    "found",
    [
        UnusableDiskError("torn"),
        [encode_record(IdentityRecord("z", 9))],
        [b"noise"],
        [encode_record(VoteRecord(3, "", 0))],
        [encode_record(IdentityRecord("b", 2)), encode_record(EntryRecord(5, noop_entry(1)))],
        [
            encode_record(IdentityRecord("b", 2)),
            encode_record(VoteRecord(3, "", 0)),
            encode_record(VoteRecord(2, "", 0)),
        ],
        [
            encode_record(IdentityRecord("b", 2)),
            encode_record(VoteRecord(3, "", 0)),
            encode_record(SnapshotRecord(9, 2, MEMBERS, b"noise")),
        ],
    ],
)
def test_an_unusable_disk_is_quarantined_and_the_node_gets_a_new_incarnation(found):
    disk = written_disk()

    def read():
        if isinstance(found, UnusableDiskError):
            raise found
        return found

    disk.read = read
    node = RaftNode("b", NAMES, disk, Chance(1), 0, LeaseTable())
    assert disk.quarantined == [node.store.discard_reason]
    assert node.incarnation not in (0, 2)
    assert node.store.is_blank
    assert [decode(record) for record in disk.records] == [IdentityRecord("b", node.incarnation)]
    assert node.tick(node.due) == []
    assert not node.is_member


def test_no_state_of_an_unusable_disk_is_restored():
    """The snapshot is valid, but the log has an entry of a later term than the node's term."""
    table = LeaseTable(initial_wait=False)
    table.apply(1, commands.encode(commands.AcquireLease("host-7", "h", 1, SECOND)), "h")
    state = Sessions(table).pack()
    disk = written_disk()
    entry_of_later_term = Entry(7, EntryKind.NOOP)
    disk.records = [
        encode_record(record)
        for record in (
            IdentityRecord("b", 2),
            SnapshotRecord(9, 2, MEMBERS, state),
            EntryRecord(10, entry_of_later_term),
        )
    ]
    node = RaftNode("b", NAMES, disk, Chance(1), 0, LeaseTable())
    assert disk.quarantined == ["the log has entries of a later term than the node's term"]
    assert node.store.is_blank
    assert node.machine.leases == {}
    assert node.machine.amounts_held == {}
    assert node.machine.last_token == 0


def test_an_unreadable_disk_is_read_again_and_nothing_is_sent_before():
    disk, read = written_disk(vote=("c", 3)), Disk.read
    disk.read = lambda: Disk.sync(disk)
    disk.fails = "input/output error"
    node = RaftNode("b", NAMES, disk, Chance(1), 0, LeaseTable())
    assert "reading the disk failed" in node.storage_failure
    assert node.hear(0, "a", RequestVote(1, 1, 1, 0, False)) == []
    disk.read, disk.fails = lambda: read(disk), None
    node.tick(node.due)
    assert not node.storage_failure
    assert node.incarnation == 2
    assert node.hear(node.storage_retry_at, "a", RequestVote(1, 1, 1, 0, False)) == [
        ("a", RequestVoteResponse(1, 2, False, False))
    ]
