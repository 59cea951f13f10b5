"""One keeper, message by message: who gets a vote, and what is on disk before it is told."""

import pytest
from msgspec.msgpack import encode
from raft_net import SECOND, Chance, Disk

from gaproute.shared.leases import LeaseTable, commands
from gaproute.shared.raft import RaftNode, UnusableDiskError
from gaproute.shared.raft.messages import (
    AppendEntries,
    AppendEntriesResponse,
    BootstrapProbe,
    Entry,
    EntryKind,
    InstallSnapshot,
    Member,
    Membership,
    RequestVote,
    RequestVoteResponse,
)
from gaproute.shared.raft.records import EntryRecord, IdentityRecord, SnapshotRecord, VoteRecord, decode
from gaproute.shared.raft.records import encode as record
from gaproute.shared.raft.role import Role
from gaproute.shared.raft.sessions import Sessions

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


def node(*entries, now=0, **words):
    made = disk(entries=entries, **words)
    return RaftNode(words.get("name", "b"), NAMES, made, Chance(1), now, LeaseTable()), made


def note(term):
    return Entry(term, EntryKind.NOOP)


def kinds(told):
    return [(to, type(message)) for to, message in told]


def test_a_vote_goes_to_one_a_term_and_is_on_disk_before_it_is_told():
    one, kept = node()
    assert one.hear(0, "a", RequestVote(2, 1, 1, 0, False)) == [("a", RequestVoteResponse(2, 2, False, True))]
    assert decode(kept.records[-1]) == VoteRecord(2, "a", 1)
    assert kept.synced == len(kept.records)
    assert one.hear(0, "c", RequestVote(2, 3, 9, 1, False)) == [
        ("c", RequestVoteResponse(2, 2, False, False))
    ]
    again = RaftNode("b", NAMES, kept, Chance(1), 0, LeaseTable())
    assert again.hear(0, "c", RequestVote(2, 3, 9, 1, False)) == [
        ("c", RequestVoteResponse(2, 2, False, False))
    ]
    assert again.hear(0, "a", RequestVote(2, 1, 1, 0, False)) == [
        ("a", RequestVoteResponse(2, 2, False, True))
    ]
    assert again.hear(0, "a", RequestVote(2, 77, 1, 0, False)) == [
        ("a", RequestVoteResponse(2, 2, False, False))
    ]  # another life


@pytest.mark.parametrize(
    ("index", "last", "given"), [(3, 1, True), (4, 1, True), (2, 1, False), (2, 2, True), (9, 0, False)]
)
def test_only_a_log_that_knows_as_much_gets_a_vote(index, last, given):
    one, _ = node(note(1), note(1))
    assert one.hear(0, "a", RequestVote(2, 1, index, last, False)) == [
        ("a", RequestVoteResponse(2, 2, False, given))
    ]


def test_whoever_hears_a_leader_votes_for_nobody_and_keeps_its_term():
    one, _ = node()
    one.hear(0, "a", AppendEntries(1, 1, 1, 0, 0))
    assert one.hear(SECOND // 2, "c", RequestVote(9, 3, 9, 9, False)) == []
    assert one.term == 1
    assert one.hear(SECOND, "c", RequestVote(9, 3, 9, 9, False)) == [
        ("c", RequestVoteResponse(9, 2, False, True))
    ]


def test_asking_first_raises_no_term_and_a_split_vote_elects_nobody():
    one, kept = node()
    before = list(kept.records)
    told = one.tick(one.due)
    assert told == [(name, RequestVote(2, 2, 1, 0, True)) for name in "ac"]
    assert kept.records == before
    told = one.hear(0, "a", RequestVoteResponse(1, 1, True, True))
    assert told == [(name, RequestVote(2, 2, 1, 0, False)) for name in "ac"]
    assert one.term == 2
    one.hear(0, "a", RequestVoteResponse(2, 1, False, False))
    one.hear(0, "c", RequestVoteResponse(2, 3, False, False))
    assert not one.is_leader
    one.hear(0, "c", RequestVoteResponse(1, 3, False, True))  # of a term that is over
    assert not one.is_leader
    one.hear(0, "c", RequestVoteResponse(2, 33, False, True))  # a life that is no member: it lost its disk
    assert not one.is_leader
    one.hear(0, "c", RequestVoteResponse(2, 3, False, True))
    assert one.is_leader
    assert one.log.last_term == 2


def test_a_conflict_in_the_log_is_overwritten_but_never_what_was_agreed():
    one, kept = node(note(1), note(1), note(1))
    assert one.hear(0, "a", AppendEntries(3, 1, 5, 2, 1)) == [("a", AppendEntriesResponse(3, 2, False, 4))]
    assert one.hear(0, "a", AppendEntries(3, 1, 4, 2, 1)) == [("a", AppendEntriesResponse(3, 2, False, 1))]
    assert one.hear(0, "a", AppendEntries(3, 1, 1, 0, 2, (note(2), note(3)))) == [
        ("a", AppendEntriesResponse(3, 2, True, 3))
    ]
    assert [entry.term for entry in one.log.entries] == [0, 2, 3]
    assert one.commit_index == 2
    again = RaftNode("b", NAMES, kept, Chance(1), 0, LeaseTable())
    assert again.log.entries == one.log.entries
    assert one.hear(0, "a", AppendEntries(3, 1, 1, 0, 2, (note(1),))) == []
    assert "never unsaid" in one.breaches[0]
    assert one.log.entry_at(2).term == 2


def test_a_late_heartbeat_cuts_nothing_off():
    one, _ = node(note(1), note(1))
    assert one.hear(0, "a", AppendEntries(1, 1, 1, 0, 0, (note(1),))) == [
        ("a", AppendEntriesResponse(1, 2, True, 2))
    ]
    assert one.log.last_index == 3


def lead(*entries):
    one, kept = node(*entries)
    one.tick(one.due)
    one.hear(one.election_due, "a", RequestVoteResponse(1, 1, True, True))
    one.hear(one.election_due, "a", RequestVoteResponse(2, 1, False, True))
    assert one.is_leader
    return one, kept


def test_entries_of_past_terms_are_agreed_on_with_one_of_the_own_only():
    one, _ = lead(note(1))
    one.hear(0, "a", AppendEntriesResponse(2, 1, True, 2))
    assert one.commit_index == 0
    one.hear(0, "c", AppendEntriesResponse(2, 33, True, 3))  # a life that is no member counts for nothing
    assert one.commit_index == 0
    one.hear(0, "a", AppendEntriesResponse(2, 1, True, 3))
    assert one.commit_index == 3


def test_one_whose_leaving_is_not_agreed_on_still_stands_without_a_vote_of_its_own():
    one, _ = node(Entry(1, EntryKind.MEMBERSHIP, body=encode(Membership((MEMBERS[0], MEMBERS[2])))))
    assert not one.is_member
    assert len(one.tick(one.due)) == 2
    one.hear(one.election_due, "a", RequestVoteResponse(1, 1, True, True))
    assert one.role is Role.PRE_CANDIDATE
    one.hear(one.election_due, "c", RequestVoteResponse(1, 3, True, True))
    assert one.role is Role.CANDIDATE
    one.hear(one.election_due, "a", AppendEntries(3, 1, 2, 1, 2))
    assert one.tick(one.due) == []


def test_a_stale_leader_is_told_so_and_one_that_is_not_heard_steps_down():
    one, _ = lead()
    now = one.election_due
    assert one.hear(now, "a", AppendEntries(1, 1, 1, 0, 0)) == [("a", AppendEntriesResponse(2, 2, False, 0))]
    while one.is_leader and now < one.election_due + 10 * SECOND:
        now = one.due
        one.tick(now)
    assert now - one.leader_heard_at >= 2 * SECOND
    assert not one.is_leader
    other, _ = lead()
    other.hear(0, "a", AppendEntriesResponse(5, 1, False, 0))
    assert other.term == 5
    assert not other.is_leader


def test_a_disk_that_fails_makes_it_silent_until_it_is_written_anew():
    one, kept = node()
    kept.fails = "no space left"
    assert one.hear(0, "a", RequestVote(2, 1, 1, 0, False)) == []
    assert "no space" in one.storage_failure
    assert one.hear(0, "a", AppendEntries(2, 1, 1, 0, 0)) == []
    assert one.tick(one.due) == []
    assert one.storage_failure
    kept.fails = None
    assert one.hear(one.due, "a", AppendEntries(2, 1, 1, 0, 0)) == []
    one.tick(one.due)
    assert not one.storage_failure
    assert decode(kept.records[1]) == VoteRecord(2, "a", 1)
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
        [record(IdentityRecord("b", 2)), record(EntryRecord(5, note(1)))],
        [record(IdentityRecord("b", 2)), record(VoteRecord(3, "", 0)), record(VoteRecord(2, "", 0))],
        [
            record(IdentityRecord("b", 2)),
            record(VoteRecord(3, "", 0)),
            record(SnapshotRecord(9, 2, MEMBERS, b"noise")),
        ],
    ],
)
def test_a_disk_that_cannot_be_trusted_is_put_aside_and_the_keeper_is_another(came):
    kept = disk()

    def read():
        if isinstance(came, UnusableDiskError):
            raise came
        return came

    kept.read = read
    one = RaftNode("b", NAMES, kept, Chance(1), 0, LeaseTable())
    assert kept.put_aside == [one.store.discard_reason]
    assert one.incarnation not in (0, 2)
    assert one.store.is_blank
    assert [decode(each) for each in kept.records] == [IdentityRecord("b", one.incarnation)]
    assert one.tick(one.due) == []
    assert not one.is_member


def test_nothing_of_a_disk_that_cannot_be_used_comes_into_force():
    """Its snapshot is understood, its entries are of a term that it never entered."""
    taken = LeaseTable(initial_wait=False)
    taken.apply(1, commands.encode(commands.AcquireLease("host-7", "h", 1, SECOND)), "h")
    state = Sessions(taken).pack()
    kept = disk()
    late = Entry(7, EntryKind.NOOP)
    kept.records = [
        record(each)
        for each in (IdentityRecord("b", 2), SnapshotRecord(9, 2, MEMBERS, state), EntryRecord(10, late))
    ]
    one = RaftNode("b", NAMES, kept, Chance(1), 0, LeaseTable())
    assert kept.put_aside == ["entries of terms that it never entered"]
    assert one.store.is_blank
    assert one.machine.leases == {}
    assert one.machine.amounts_held == {}
    assert one.machine.last_token == 0


def test_a_disk_that_cannot_be_read_is_tried_again_and_nothing_is_said_meanwhile():
    kept, good = disk(vote=("c", 3)), Disk.read
    kept.read = lambda: Disk.sync(kept)
    kept.fails = "input/output error"
    one = RaftNode("b", NAMES, kept, Chance(1), 0, LeaseTable())
    assert "not read" in one.storage_failure
    assert one.hear(0, "a", RequestVote(1, 1, 1, 0, False)) == []
    kept.read, kept.fails = lambda: good(kept), None
    one.tick(one.due)
    assert not one.storage_failure
    assert one.incarnation == 2
    assert one.hear(one.storage_retry_at, "a", RequestVote(1, 1, 1, 0, False)) == [
        ("a", RequestVoteResponse(1, 2, False, False))
    ]


def test_a_founder_needs_all_others_blank_in_answer_to_its_own_life():
    one = RaftNode("a", NAMES, Disk(), Chance(1), 0, LeaseTable())
    assert one.tick(one.due) == [(name, BootstrapProbe(one.incarnation, 0, True)) for name in "bc"]
    one.hear(0, "b", BootstrapProbe(2, one.incarnation, True))
    one.hear(0, "c", BootstrapProbe(3, one.incarnation + 1, True))  # in answer to a life before
    one.hear(0, "c", BootstrapProbe(3, one.incarnation, False))  # remembers something
    assert one.log.last_index == 0
    one.hear(0, "c", BootstrapProbe(3, one.incarnation, True))
    assert one.members == (Member("a", one.incarnation), Member("b", 2), Member("c", 3))
    assert one.due == 0
    used, _ = node()
    assert used.hear(0, "a", BootstrapProbe(9, 0, True)) == [("a", BootstrapProbe(2, 9, False))]


def test_a_snapshot_takes_the_place_of_what_is_behind_and_keeps_what_follows():
    giver, _ = lead(note(1))
    giver.hear(0, "a", AppendEntriesResponse(2, 1, True, 3))
    giver.store.compact(3, giver.sessions.pack())
    told = dict(giver.tick(giver.due))
    giver.hear(giver.due, "c", AppendEntriesResponse(2, 3, False, 0))
    sent = [message for to, message in giver.hear(giver.due, "c", AppendEntriesResponse(2, 3, False, 0))] or [
        told["c"]
    ]
    state = InstallSnapshot(2, 2, 3, 2, MEMBERS, giver.store.snapshot)
    assert all(isinstance(message, (InstallSnapshot, AppendEntries)) for message in sent)
    one, kept = node(name="c")
    assert one.hear(0, "b", state) == [("b", AppendEntriesResponse(2, 3, True, 3))]
    assert one.commit_index == one.last_applied == 3
    assert one.hear(0, "b", AppendEntries(2, 2, 1, 0, 3, (note(1), note(2), note(2)))) == [
        ("b", AppendEntriesResponse(2, 3, True, 4))
    ]
    again = RaftNode("c", NAMES, kept, Chance(1), 0, LeaseTable())
    assert (again.log.snapshot_index, again.log.last_index, again.commit_index, again.members) == (
        3,
        4,
        3,
        MEMBERS,
    )
    assert one.hear(0, "b", state) == [("b", AppendEntriesResponse(2, 3, True, 3))]
    assert one.log.last_index == 4


def test_strangers_and_terms_from_the_far_future_are_counted_and_change_nothing():
    one, kept = node()
    before = list(kept.records)
    assert one.hear(0, "z", AppendEntries(9, 1, 1, 0, 0)) == []
    assert one.hear(0, "a", AppendEntries(1 << 47, 1, 1, 0, 0)) == []
    assert one.hear(0, "a", "noise") == []
    assert one.rejections == {"stranger": 1, "term from far future": 1, "not a message of the group": 1}
    assert kept.records == before
    assert one.term == 1
