"""Who the members are: one joins or leaves at a time, and a lost disk makes another node."""

import pytest
from raft_net import MILLI, SECOND, Disk, Net

from gaproute.shared.raft.membership import next_membership
from gaproute.shared.raft.messages import AppendEntriesResponse, EntryKind, Member
from gaproute.shared.raft.node_state import MAX_UNCOMMITTED_ENTRIES

A, B, C = (Member(name, number) for number, name in enumerate("abc", 1))
ALL = (A, B, C)


def step(members=ALL, configured=("a", "b", "c"), incarnations=None, matches=None, commit_index=9):
    incarnations = {"a": 1, "b": 2, "c": 3} if incarnations is None else incarnations
    return next_membership(members, configured, incarnations, matches or {}, commit_index)


def test_one_step_at_a_time_and_none_that_would_stop_all():
    assert step() is None
    assert step(incarnations={"a": 1, "b": 2, "c": 4}) == (A, B)
    assert step(incarnations={"a": 1, "c": 4}) is None  # a alone could not agree
    assert step((A, B), incarnations={"a": 1, "b": 2, "c": 4}, matches={"c": (4, 9)}) == (
        A,
        B,
        Member("c", 4),
    )
    assert step((A, B), incarnations={"a": 1, "b": 2, "c": 4}, matches={"c": (4, 8)}) is None  # not caught up
    assert (
        step((A, B), incarnations={"a": 1, "b": 2, "c": 5}, matches={"c": (4, 9)}) is None
    )  # of an incarnation before
    assert step(configured=("a", "b", "d"), matches={"d": (4, 9)}, incarnations={"a": 1, "b": 2, "d": 4}) == (
        *ALL,
        Member("d", 4),
    )
    assert step(configured=("a", "b", "d")) is None  # d has not joined: c stays meanwhile
    assert step((*ALL, Member("d", 4)), configured=("a", "b", "d")) == (A, B, Member("d", 4))
    assert step(configured=("a", "b")) == (A, B)


@pytest.mark.parametrize("size", [1, 3, 5])
def test_new_disks_bootstrap_a_log_and_elect_a_leader(size):
    net = Net(1, size)
    net.run(10 * SECOND)
    assert [each.is_leader for each in net.nodes.values()].count(True) == 1
    assert {each.commit_index for each in net.nodes.values()} == {2}


def settled(size=3):
    net = Net(5, size)
    net.run(6 * SECOND)
    return net


def test_a_node_without_its_disk_votes_for_nobodys_past_and_is_a_member_again():
    net = settled()
    name = next(each for each in net.names if not net.nodes[each].is_leader)
    incarnation, lead = net.nodes[name].incarnation, net.leader
    net.crash(name, lost=True)
    net.run(SECOND)
    net.start(name)
    assert net.nodes[name].incarnation != incarnation
    assert not net.nodes[name].is_member
    before = lead.commit_index
    third = next(each for each in net.names if each not in (name, lead.name))
    net.cut = {(third, lead.name)}  # only the one without memory answers
    net.run(500 * MILLI)
    lead.propose(0)
    net.run(SECOND)
    assert lead.commit_index == before
    net.cut.clear()
    net.run(15 * SECOND)
    assert net.nodes[name].is_member
    assert all(each.members == net.leader.members for each in net.nodes.values())


def test_the_first_node_without_its_disk_bootstraps_nothing_while_others_remember():
    net = settled()
    agreed = net.leader.log.entry_at(1)
    net.crash("k0", lost=True)
    net.run(5 * SECOND)
    net.start("k0")
    net.run(20 * SECOND)
    assert net.nodes["k0"].is_member
    assert net.nodes["k0"].log.entry_at(1) == agreed


def test_two_of_three_without_their_disks_commit_nothing():
    net = settled()
    left = net.leader.name
    for name in net.names:
        if name != left:
            net.crash(name, lost=True)
    for name in net.names:
        if name != left:
            net.start(name)
    before = net.nodes[left].commit_index
    net.run(30 * SECOND)
    assert net.leader is None
    assert net.nodes[left].commit_index == before


def test_the_configuration_names_others_and_the_members_follow():
    net = settled()
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
    net = settled()
    lead = net.leader
    other = next(each for each in net.names if each != lead.name)
    lead.leader_state.first_index_of_term = lead.log.last_index + 1  # as if it had just been elected
    lead.set_configured_members(net.now, [lead.name, other])
    now = net.now + 60 * SECOND
    for name in lead.peer_names():
        lead.hear(
            now,
            name,
            AppendEntriesResponse(lead.term, net.nodes[name].incarnation, True, lead.log.last_index),
        )
    last = lead.log.last_index
    lead.tick(now)
    assert lead.log.last_index == last
    lead.leader_state.first_index_of_term = last
    lead.tick(now + SECOND)
    assert lead.log.last_index == last + 1
    assert len(lead.members) == 2


def test_a_group_whose_members_all_restart_with_a_long_log_agrees_again():
    made = Net(seed=1)
    made.run(3 * SECOND)
    for _ in range(MAX_UNCOMMITTED_ENTRIES // 50 + 2):
        for _ in range(50):
            assert made.leader.propose(EntryKind.NOOP)
        made.run(SECOND)
    entries = made.leader.commit_index
    assert entries > MAX_UNCOMMITTED_ENTRIES
    for name in made.names:
        made.crash(name)
    made.flying.clear()  # else what the old leader had sent would still show how far all agreed
    for name in made.names:
        made.start(name)
    made.run(10 * SECOND)
    assert made.leader.commit_index == made.leader.log.last_index > entries
