"""One node of a group of three, on a disk in memory, for tests message by message."""

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
from gaproute.shared.raft.records import encode as record

NAMES = ("a", "b", "c")
MEMBERS = tuple(Member(name, number) for number, name in enumerate(NAMES, 1))
FIRST = Entry(0, EntryKind.MEMBERSHIP, body=encode(Membership(MEMBERS)))


def disk(name="b", term=1, vote=("", 0), entries=()):
    made = Disk()
    made.replace(
        [
            record(each)
            for each in (
                IdentityRecord(name, NAMES.index(name) + 1),
                VoteRecord(term, *vote),
                EntryRecord(1, FIRST),
                *(EntryRecord(index, entry) for index, entry in enumerate(entries, 2)),
            )
        ]
    )
    return made


def node(*entries, now=0, **options):
    made = disk(entries=entries, **options)
    return RaftNode(options.get("name", "b"), NAMES, made, Chance(1), now, LeaseTable()), made


def noop(term):
    return Entry(term, EntryKind.NOOP)


def lead(*entries):
    one, stored_log = node(*entries)
    one.tick(one.due)
    one.hear(one.election_due, "a", RequestVoteResponse(1, 1, True, True))
    one.hear(one.election_due, "a", RequestVoteResponse(2, 1, False, True))
    assert one.is_leader
    return one, stored_log
