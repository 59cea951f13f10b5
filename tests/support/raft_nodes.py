"""Single nodes of a Raft group of three, on in-memory disks, for tests that send one message at a time."""

from msgspec.msgpack import encode
from raft_net import Chance, Disk

from gaproute.shared.leases import LeaseTable
from gaproute.shared.raft import RaftNode
from gaproute.shared.raft.messages import (
    Entry,
    EntryKind,
    Member,
    Membership,
    RequestVoteResponse,
)
from gaproute.shared.raft.records import EntryRecord, IdentityRecord, VoteRecord
from gaproute.shared.raft.records import encode as encode_record

NAMES = ("a", "b", "c")
MEMBERS = tuple(Member(name, number) for number, name in enumerate(NAMES, 1))
FIRST_ENTRY = Entry(0, EntryKind.MEMBERSHIP, body=encode(Membership(MEMBERS)))


def written_disk(name="b", term=1, vote=("", 0), entries=()):
    disk = Disk()
    disk.replace(
        [
            encode_record(record)
            for record in (
                IdentityRecord(name, NAMES.index(name) + 1),
                VoteRecord(term, *vote),
                EntryRecord(1, FIRST_ENTRY),
                *(EntryRecord(index, entry) for index, entry in enumerate(entries, 2)),
            )
        ]
    )
    return disk


def make_node(*entries, now=0, **options):
    disk = written_disk(entries=entries, **options)
    return RaftNode(options.get("name", "b"), NAMES, disk, Chance(1), now, LeaseTable()), disk


def noop_entry(term):
    return Entry(term, EntryKind.NOOP)


def make_leader(*entries):
    node, disk = make_node(*entries)
    node.tick(node.due)
    node.hear(node.election_due, "a", RequestVoteResponse(1, 1, True, True))
    node.hear(node.election_due, "a", RequestVoteResponse(2, 1, False, True))
    assert node.is_leader
    return node, disk
