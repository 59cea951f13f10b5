"""One node, message by message: who gets a vote, and what is on disk before it is sent."""

import pytest
from msgspec.msgpack import encode
from raft_net import SECOND, Chance, Disk
from raft_nodes import MEMBERS, NAMES, lead, node, noop

from gaproute.shared.leases import LeaseTable
from gaproute.shared.raft import RaftNode
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
from gaproute.shared.raft.records import VoteRecord, decode
from gaproute.shared.raft.role import Role


def test_a_vote_goes_to_one_a_term_and_is_on_disk_before_it_is_sent():
    one, stored_log = node()
    assert one.hear(0, "a", RequestVote(2, 1, 1, 0, False)) == [("a", RequestVoteResponse(2, 2, False, True))]
    assert decode(stored_log.records[-1]) == VoteRecord(2, "a", 1)
    assert stored_log.synced == len(stored_log.records)
    assert one.hear(0, "c", RequestVote(2, 3, 9, 1, False)) == [
        ("c", RequestVoteResponse(2, 2, False, False))
    ]
    again = RaftNode("b", NAMES, stored_log, Chance(1), 0, LeaseTable())
    assert again.hear(0, "c", RequestVote(2, 3, 9, 1, False)) == [
        ("c", RequestVoteResponse(2, 2, False, False))
    ]
    assert again.hear(0, "a", RequestVote(2, 1, 1, 0, False)) == [
        ("a", RequestVoteResponse(2, 2, False, True))
    ]
    assert again.hear(0, "a", RequestVote(2, 77, 1, 0, False)) == [
        ("a", RequestVoteResponse(2, 2, False, False))
    ]  # another incarnation


@pytest.mark.parametrize(
    ("index", "last", "given"), [(3, 1, True), (4, 1, True), (2, 1, False), (2, 2, True), (9, 0, False)]
)
def test_only_a_log_that_knows_as_much_gets_a_vote(index, last, given):
    one, _ = node(noop(1), noop(1))
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


def test_a_pre_vote_raises_no_term_and_a_split_vote_elects_nobody():
    one, stored_log = node()
    before = list(stored_log.records)
    sent = one.tick(one.due)
    assert sent == [(name, RequestVote(2, 2, 1, 0, True)) for name in "ac"]
    assert stored_log.records == before
    sent = one.hear(0, "a", RequestVoteResponse(1, 1, True, True))
    assert sent == [(name, RequestVote(2, 2, 1, 0, False)) for name in "ac"]
    assert one.term == 2
    one.hear(0, "a", RequestVoteResponse(2, 1, False, False))
    one.hear(0, "c", RequestVoteResponse(2, 3, False, False))
    assert not one.is_leader
    one.hear(0, "c", RequestVoteResponse(1, 3, False, True))  # of a term that is over
    assert not one.is_leader
    one.hear(
        0, "c", RequestVoteResponse(2, 33, False, True)
    )  # an incarnation that is no member: it lost its disk
    assert not one.is_leader
    one.hear(0, "c", RequestVoteResponse(2, 3, False, True))
    assert one.is_leader
    assert one.log.last_term == 2


def test_a_conflict_in_the_log_is_overwritten_but_never_what_was_agreed():
    one, stored_log = node(noop(1), noop(1), noop(1))
    assert one.hear(0, "a", AppendEntries(3, 1, 5, 2, 1)) == [("a", AppendEntriesResponse(3, 2, False, 4))]
    assert one.hear(0, "a", AppendEntries(3, 1, 4, 2, 1)) == [("a", AppendEntriesResponse(3, 2, False, 1))]
    assert one.hear(0, "a", AppendEntries(3, 1, 1, 0, 2, (noop(2), noop(3)))) == [
        ("a", AppendEntriesResponse(3, 2, True, 3))
    ]
    assert [entry.term for entry in one.log.entries] == [0, 2, 3]
    assert one.commit_index == 2
    again = RaftNode("b", NAMES, stored_log, Chance(1), 0, LeaseTable())
    assert again.log.entries == one.log.entries
    assert one.hear(0, "a", AppendEntries(3, 1, 1, 0, 2, (noop(1),))) == []
    assert "a committed entry never changes" in one.violations[0]
    assert one.log.entry_at(2).term == 2


def test_a_late_heartbeat_cuts_nothing_off():
    one, _ = node(noop(1), noop(1))
    assert one.hear(0, "a", AppendEntries(1, 1, 1, 0, 0, (noop(1),))) == [
        ("a", AppendEntriesResponse(1, 2, True, 2))
    ]
    assert one.log.last_index == 3


def test_entries_of_past_terms_are_committed_with_one_of_the_own_only():
    one, _ = lead(noop(1))
    one.hear(0, "a", AppendEntriesResponse(2, 1, True, 2))
    assert one.commit_index == 0
    one.hear(
        0, "c", AppendEntriesResponse(2, 33, True, 3)
    )  # an incarnation that is no member counts for nothing
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


def test_a_stale_leader_is_notified_and_one_that_is_not_heard_steps_down():
    one, _ = lead()
    now = one.election_due
    assert one.hear(now, "a", AppendEntries(1, 1, 1, 0, 0)) == [("a", AppendEntriesResponse(2, 2, False, 0))]
    while one.is_leader and now < one.election_due + 10 * SECOND:
        now = one.due
        one.tick(now)
    assert now - one.leader_message_at >= 2 * SECOND
    assert not one.is_leader
    other, _ = lead()
    other.hear(0, "a", AppendEntriesResponse(5, 1, False, 0))
    assert other.term == 5
    assert not other.is_leader


def test_a_bootstrap_needs_all_others_blank_in_answer_to_its_own_incarnation():
    one = RaftNode("a", NAMES, Disk(), Chance(1), 0, LeaseTable())
    assert one.tick(one.due) == [(name, BootstrapProbe(one.incarnation, 0, True)) for name in "bc"]
    one.hear(0, "b", BootstrapProbe(2, one.incarnation, True))
    one.hear(0, "c", BootstrapProbe(3, one.incarnation + 1, True))  # in answer to an incarnation before
    one.hear(0, "c", BootstrapProbe(3, one.incarnation, False))  # remembers something
    assert one.log.last_index == 0
    one.hear(0, "c", BootstrapProbe(3, one.incarnation, True))
    assert one.members == (Member("a", one.incarnation), Member("b", 2), Member("c", 3))
    assert one.due == 0
    used, _ = node()
    assert used.hear(0, "a", BootstrapProbe(9, 0, True)) == [("a", BootstrapProbe(2, 9, False))]


def test_a_snapshot_takes_the_place_of_what_is_behind_and_keeps_what_follows():
    leader, _ = lead(noop(1))
    leader.hear(0, "a", AppendEntriesResponse(2, 1, True, 3))
    leader.store.compact(3, leader.sessions.pack())
    sent = dict(leader.tick(leader.due))
    leader.hear(leader.due, "c", AppendEntriesResponse(2, 3, False, 0))
    sent = [
        message for to, message in leader.hear(leader.due, "c", AppendEntriesResponse(2, 3, False, 0))
    ] or [sent["c"]]
    state = InstallSnapshot(2, 2, 3, 2, MEMBERS, leader.store.snapshot)
    assert all(isinstance(message, (InstallSnapshot, AppendEntries)) for message in sent)
    one, stored_log = node(name="c")
    assert one.hear(0, "b", state) == [("b", AppendEntriesResponse(2, 3, True, 3))]
    assert one.commit_index == one.last_applied == 3
    assert one.hear(0, "b", AppendEntries(2, 2, 1, 0, 3, (noop(1), noop(2), noop(2)))) == [
        ("b", AppendEntriesResponse(2, 3, True, 4))
    ]
    again = RaftNode("c", NAMES, stored_log, Chance(1), 0, LeaseTable())
    assert (again.log.snapshot_index, again.log.last_index, again.commit_index, again.members) == (
        3,
        4,
        3,
        MEMBERS,
    )
    assert one.hear(0, "b", state) == [("b", AppendEntriesResponse(2, 3, True, 3))]
    assert one.log.last_index == 4


def test_strangers_and_terms_from_the_far_future_are_counted_and_change_nothing():
    one, stored_log = node()
    before = list(stored_log.records)
    assert one.hear(0, "z", AppendEntries(9, 1, 1, 0, 0)) == []
    assert one.hear(0, "a", AppendEntries(1 << 47, 1, 1, 0, 0)) == []
    assert one.hear(0, "a", "noise") == []
    assert one.rejections == {"stranger": 1, "term from far future": 1, "not a message of the group": 1}
    assert stored_log.records == before
    assert one.term == 1
