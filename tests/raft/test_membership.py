"""Changes of a Raft group's members: one joins or leaves at a time, and a lost disk makes a new node."""

import pytest
from raft_net import MILLI, SECOND, Disk, Net

from gaproute.shared.raft.membership import next_membership
from gaproute.shared.raft.messages import AppendEntriesResponse, EntryKind, Member
from gaproute.shared.raft.node_state import MAX_UNCOMMITTED_ENTRIES

A, B, C = (Member(name, number) for number, name in enumerate("abc", 1))
ALL_MEMBERS = (A, B, C)


def next_members(
    members=ALL_MEMBERS, configured=("a", "b", "c"), incarnations=None, matches=None, commit_index=9
):
    incarnations = {"a": 1, "b": 2, "c": 3} if incarnations is None else incarnations
    return next_membership(members, configured, incarnations, matches or {}, commit_index)


def test_members_change_one_at_a_time_and_keep_a_responsive_majority():
    assert next_members() is None
    assert next_members(incarnations={"a": 1, "b": 2, "c": 4}) == (A, B)
    assert next_members(incarnations={"a": 1, "c": 4}) is None  # a alone has no majority
    assert next_members((A, B), incarnations={"a": 1, "b": 2, "c": 4}, matches={"c": (4, 9)}) == (
        A,
        B,
        Member("c", 4),
    )
    # c lacks an entry
    assert next_members((A, B), incarnations={"a": 1, "b": 2, "c": 4}, matches={"c": (4, 8)}) is None
    # the matching log is that of an earlier incarnation of c
    assert next_members((A, B), incarnations={"a": 1, "b": 2, "c": 5}, matches={"c": (4, 9)}) is None
    assert next_members(
        configured=("a", "b", "d"), matches={"d": (4, 9)}, incarnations={"a": 1, "b": 2, "d": 4}
    ) == (
        *ALL_MEMBERS,
        Member("d", 4),
    )
    assert next_members(configured=("a", "b", "d")) is None  # c stays until d has joined
    assert next_members((*ALL_MEMBERS, Member("d", 4)), configured=("a", "b", "d")) == (A, B, Member("d", 4))
    assert next_members(configured=("a", "b")) == (A, B)


@pytest.mark.parametrize("size", [1, 3, 5])
def test_new_disks_bootstrap_a_log_and_elect_a_leader(size):
    net = Net(1, size)
    net.run(10 * SECOND)
    assert [node.is_leader for node in net.nodes.values()].count(True) == 1
    assert {node.commit_index for node in net.nodes.values()} == {2}


def settled_network(size=3):
    net = Net(5, size)
    net.run(6 * SECOND)
    return net


def test_a_node_with_a_lost_disk_does_not_count_until_it_is_a_member_again():
    net = settled_network()
    name = next(name for name in net.names if not net.nodes[name].is_leader)
    incarnation, leader = net.nodes[name].incarnation, net.leader
    net.crash(name, lost=True)
    net.run(SECOND)
    net.start(name)
    assert net.nodes[name].incarnation != incarnation
    assert not net.nodes[name].is_member
    before = leader.commit_index
    third = next(other for other in net.names if other not in (name, leader.name))
    net.cut_links = {(third, leader.name)}  # only the node with the lost disk answers
    net.run(500 * MILLI)
    leader.propose(0)
    net.run(SECOND)
    assert leader.commit_index == before
    net.cut_links.clear()
    net.run(15 * SECOND)
    assert net.nodes[name].is_member
    assert all(node.members == net.leader.members for node in net.nodes.values())


def test_the_first_node_with_a_lost_disk_starts_no_new_log_while_others_have_state():
    net = settled_network()
    first_entry = net.leader.log.entry_at(1)
    net.crash("k0", lost=True)
    net.run(5 * SECOND)
    net.start("k0")
    net.run(20 * SECOND)
    assert net.nodes["k0"].is_member
    assert net.nodes["k0"].log.entry_at(1) == first_entry


def test_a_group_with_two_of_three_disks_lost_commits_nothing():
    net = settled_network()
    survivor = net.leader.name
    for name in net.names:
        if name != survivor:
            net.crash(name, lost=True)
    for name in net.names:
        if name != survivor:
            net.start(name)
    before = net.nodes[survivor].commit_index
    net.run(30 * SECOND)
    assert net.leader is None
    assert net.nodes[survivor].commit_index == before


def test_the_members_follow_a_changed_configuration():
    net = settled_network()
    net.names = ["k0", "k1", "k3"]
    net.disks["k3"] = Disk()
    net.start("k3")
    for name in ("k0", "k1", "k2"):
        net.nodes[name].set_configured_members(net.now, net.names)
    net.run(20 * SECOND)
    assert [member.name for member in net.leader.members] == net.names
    assert net.leader.name != "k2"
    assert not net.nodes["k2"].is_leader
    sizes = [len(members) for _, members in net.leader.log.membership_history]
    assert sizes == [0, 3, 4, 3]


def test_no_membership_change_before_an_entry_of_the_own_term_is_committed():
    net = settled_network()
    leader = net.leader
    other = next(name for name in net.names if name != leader.name)
    leader.leader_state.first_index_of_term = leader.log.last_index + 1  # as if it had just been elected
    leader.set_configured_members(net.now, [leader.name, other])
    now = net.now + 60 * SECOND
    for name in leader.peer_names():
        leader.hear(
            now,
            name,
            AppendEntriesResponse(leader.term, net.nodes[name].incarnation, True, leader.log.last_index),
        )
    last = leader.log.last_index
    leader.tick(now)
    assert leader.log.last_index == last
    leader.leader_state.first_index_of_term = last
    leader.tick(now + SECOND)
    assert leader.log.last_index == last + 1
    assert len(leader.members) == 2


def test_a_group_that_restarts_with_a_long_log_commits_it_again():
    net = Net(seed=1)
    net.run(3 * SECOND)
    for _ in range(MAX_UNCOMMITTED_ENTRIES // 50 + 2):
        for _ in range(50):
            assert net.leader.propose(EntryKind.NOOP)
        net.run(SECOND)
    committed = net.leader.commit_index
    assert committed > MAX_UNCOMMITTED_ENTRIES
    for name in net.names:
        net.crash(name)
    net.messages_in_flight.clear()  # messages of the old leader would still tell the commit index
    for name in net.names:
        net.start(name)
    net.run(10 * SECOND)
    assert net.leader.commit_index == net.leader.log.last_index > committed
