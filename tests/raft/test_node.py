"""A single Raft node, one message at a time: its votes, its log, and what it stores before it sends."""

import pytest
from msgspec.msgpack import encode
from raft_net import SECOND, Chance, Disk
from raft_nodes import MEMBERS, NAMES, make_leader, make_node, noop_entry

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


def test_a_node_votes_once_per_term_and_stores_the_vote_before_it_answers():
    node, disk = make_node()
    assert node.hear(0, "a", RequestVote(2, 1, 1, 0, False)) == [
        ("a", RequestVoteResponse(2, 2, False, True))
    ]
    assert decode(disk.records[-1]) == VoteRecord(2, "a", 1)
    assert disk.synced == len(disk.records)
    assert node.hear(0, "c", RequestVote(2, 3, 9, 1, False)) == [
        ("c", RequestVoteResponse(2, 2, False, False))
    ]
    restarted = RaftNode("b", NAMES, disk, Chance(1), 0, LeaseTable())
    assert restarted.hear(0, "c", RequestVote(2, 3, 9, 1, False)) == [
        ("c", RequestVoteResponse(2, 2, False, False))
    ]
    assert restarted.hear(0, "a", RequestVote(2, 1, 1, 0, False)) == [
        ("a", RequestVoteResponse(2, 2, False, True))
    ]
    assert restarted.hear(0, "a", RequestVote(2, 77, 1, 0, False)) == [
        ("a", RequestVoteResponse(2, 2, False, False))
    ]  # another incarnation


@pytest.mark.parametrize(
    ("last_index", "last_term", "granted"),
    [(3, 1, True), (4, 1, True), (2, 1, False), (2, 2, True), (9, 0, False)],
)
def test_a_vote_requires_a_log_that_is_at_least_as_up_to_date(last_index, last_term, granted):
    node, _ = make_node(noop_entry(1), noop_entry(1))
    assert node.hear(0, "a", RequestVote(2, 1, last_index, last_term, False)) == [
        ("a", RequestVoteResponse(2, 2, False, granted))
    ]


def test_a_node_that_gets_messages_from_a_leader_ignores_vote_requests():
    node, _ = make_node()
    node.hear(0, "a", AppendEntries(1, 1, 1, 0, 0))
    assert node.hear(SECOND // 2, "c", RequestVote(9, 3, 9, 9, False)) == []
    assert node.term == 1
    assert node.hear(SECOND, "c", RequestVote(9, 3, 9, 9, False)) == [
        ("c", RequestVoteResponse(9, 2, False, True))
    ]


def test_a_pre_vote_raises_no_term_and_a_minority_of_votes_elects_no_leader():
    node, disk = make_node()
    before = list(disk.records)
    sent = node.tick(node.due)
    assert sent == [(name, RequestVote(2, 2, 1, 0, True)) for name in "ac"]
    assert disk.records == before
    sent = node.hear(0, "a", RequestVoteResponse(1, 1, True, True))
    assert sent == [(name, RequestVote(2, 2, 1, 0, False)) for name in "ac"]
    assert node.term == 2
    node.hear(0, "a", RequestVoteResponse(2, 1, False, False))
    node.hear(0, "c", RequestVoteResponse(2, 3, False, False))
    assert not node.is_leader
    node.hear(0, "c", RequestVoteResponse(1, 3, False, True))  # a vote of an earlier term
    assert not node.is_leader
    # not a member's incarnation, as the voter lost its disk
    node.hear(0, "c", RequestVoteResponse(2, 33, False, True))
    assert not node.is_leader
    node.hear(0, "c", RequestVoteResponse(2, 3, False, True))
    assert node.is_leader
    assert node.log.last_term == 2


def test_conflicting_entries_are_overwritten_but_committed_entries_are_not():
    node, disk = make_node(noop_entry(1), noop_entry(1), noop_entry(1))
    assert node.hear(0, "a", AppendEntries(3, 1, 5, 2, 1)) == [("a", AppendEntriesResponse(3, 2, False, 4))]
    assert node.hear(0, "a", AppendEntries(3, 1, 4, 2, 1)) == [("a", AppendEntriesResponse(3, 2, False, 1))]
    assert node.hear(0, "a", AppendEntries(3, 1, 1, 0, 2, (noop_entry(2), noop_entry(3)))) == [
        ("a", AppendEntriesResponse(3, 2, True, 3))
    ]
    assert [entry.term for entry in node.log.entries] == [0, 2, 3]
    assert node.commit_index == 2
    restarted = RaftNode("b", NAMES, disk, Chance(1), 0, LeaseTable())
    assert restarted.log.entries == node.log.entries
    assert node.hear(0, "a", AppendEntries(3, 1, 1, 0, 2, (noop_entry(1),))) == []
    assert "a committed entry never changes" in node.violations[0]
    assert node.log.entry_at(2).term == 2


def test_a_delayed_append_of_present_entries_removes_no_later_entries():
    node, _ = make_node(noop_entry(1), noop_entry(1))
    assert node.hear(0, "a", AppendEntries(1, 1, 1, 0, 0, (noop_entry(1),))) == [
        ("a", AppendEntriesResponse(1, 2, True, 2))
    ]
    assert node.log.last_index == 3


def test_entries_of_earlier_terms_are_committed_only_with_an_entry_of_the_current_term():
    node, _ = make_leader(noop_entry(1))
    node.hear(0, "a", AppendEntriesResponse(2, 1, True, 2))
    assert node.commit_index == 0
    # not a member's incarnation, so the answer does not count
    node.hear(0, "c", AppendEntriesResponse(2, 33, True, 3))
    assert node.commit_index == 0
    node.hear(0, "a", AppendEntriesResponse(2, 1, True, 3))
    assert node.commit_index == 3


def test_a_member_with_an_uncommitted_removal_campaigns_without_counting_its_own_vote():
    node, _ = make_node(Entry(1, EntryKind.MEMBERSHIP, body=encode(Membership((MEMBERS[0], MEMBERS[2])))))
    assert not node.is_member
    assert len(node.tick(node.due)) == 2
    node.hear(node.election_due, "a", RequestVoteResponse(1, 1, True, True))
    assert node.role is Role.PRE_CANDIDATE
    node.hear(node.election_due, "c", RequestVoteResponse(1, 3, True, True))
    assert node.role is Role.CANDIDATE
    node.hear(node.election_due, "a", AppendEntries(3, 1, 2, 1, 2))
    assert node.tick(node.due) == []


def test_a_stale_leader_is_rejected_and_a_leader_without_answers_steps_down():
    node, _ = make_leader()
    now = node.election_due
    assert node.hear(now, "a", AppendEntries(1, 1, 1, 0, 0)) == [("a", AppendEntriesResponse(2, 2, False, 0))]
    while node.is_leader and now < node.election_due + 10 * SECOND:
        now = node.due
        node.tick(now)
    assert now - node.leader_message_at >= 2 * SECOND
    assert not node.is_leader
    other_leader, _ = make_leader()
    other_leader.hear(0, "a", AppendEntriesResponse(5, 1, False, 0))
    assert other_leader.term == 5
    assert not other_leader.is_leader


def test_a_bootstrap_requires_blank_answers_of_all_peers_to_the_nodes_incarnation():
    node = RaftNode("a", NAMES, Disk(), Chance(1), 0, LeaseTable())
    assert node.tick(node.due) == [(name, BootstrapProbe(node.incarnation, 0, True)) for name in "bc"]
    node.hear(0, "b", BootstrapProbe(2, node.incarnation, True))
    node.hear(0, "c", BootstrapProbe(3, node.incarnation + 1, True))  # an answer to another incarnation
    node.hear(0, "c", BootstrapProbe(3, node.incarnation, False))  # a node that is not blank
    assert node.log.last_index == 0
    node.hear(0, "c", BootstrapProbe(3, node.incarnation, True))
    assert node.members == (Member("a", node.incarnation), Member("b", 2), Member("c", 3))
    assert node.due == 0
    voter, _ = make_node()
    assert voter.hear(0, "a", BootstrapProbe(9, 0, True)) == [("a", BootstrapProbe(2, 9, False))]


def test_a_snapshot_replaces_older_entries_and_keeps_later_ones():
    leader, _ = make_leader(noop_entry(1))
    leader.hear(0, "a", AppendEntriesResponse(2, 1, True, 3))
    leader.store.compact(3, leader.sessions.pack())
    sent = dict(leader.tick(leader.due))
    leader.hear(leader.due, "c", AppendEntriesResponse(2, 3, False, 0))
    sent = [
        message for to, message in leader.hear(leader.due, "c", AppendEntriesResponse(2, 3, False, 0))
    ] or [sent["c"]]
    snapshot = InstallSnapshot(2, 2, 3, 2, MEMBERS, leader.store.snapshot)
    assert all(isinstance(message, (InstallSnapshot, AppendEntries)) for message in sent)
    node, disk = make_node(name="c")
    assert node.hear(0, "b", snapshot) == [("b", AppendEntriesResponse(2, 3, True, 3))]
    assert node.commit_index == node.last_applied == 3
    assert node.hear(0, "b", AppendEntries(2, 2, 1, 0, 3, (noop_entry(1), noop_entry(2), noop_entry(2)))) == [
        ("b", AppendEntriesResponse(2, 3, True, 4))
    ]
    restarted = RaftNode("c", NAMES, disk, Chance(1), 0, LeaseTable())
    assert (
        restarted.log.snapshot_index,
        restarted.log.last_index,
        restarted.commit_index,
        restarted.members,
    ) == (
        3,
        4,
        3,
        MEMBERS,
    )
    assert node.hear(0, "b", snapshot) == [("b", AppendEntriesResponse(2, 3, True, 3))]
    assert node.log.last_index == 4


def test_messages_of_unknown_senders_types_or_far_terms_are_counted_and_ignored():
    node, disk = make_node()
    before = list(disk.records)
    assert node.hear(0, "z", AppendEntries(9, 1, 1, 0, 0)) == []
    assert node.hear(0, "a", AppendEntries(1 << 47, 1, 1, 0, 0)) == []
    assert node.hear(0, "a", "noise") == []
    assert node.rejections == {"stranger": 1, "term from far future": 1, "not a message of the group": 1}
    assert disk.records == before
    assert node.term == 1
