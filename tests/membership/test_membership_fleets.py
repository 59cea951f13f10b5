"""Membership in fleets of gateways with a simulated clock and network: faults, restarts, partitions."""

import pytest

from gaproute.decisions.chance import RandomGenerator
from gaproute.shared.membership import MemberState
from gaproute.shared.membership.invariants import check_membership
from gaproute.shared.membership.message_builder import MAX_MESSAGE_BYTES
from gaproute.standins.membership_network import MembershipNetwork

SECOND = 1_000_000_000


@pytest.mark.parametrize("size", [2, 3, 8, 40])
def test_all_gateways_consider_a_gateway_that_dies_dead_and_no_other(size):
    net = MembershipNetwork(size)
    net.run(3 * SECOND)
    net.down.add("g1")
    net.run((size + 3 * 6 + 12) * SECOND)
    assert net.states_of("g1") == {MemberState.DEAD}
    assert all(net.states_of(name) == {MemberState.ALIVE} for name in net.nodes if name != "g1" and size > 2)
    assert net.nodes["g0"].live_count() == size - 1
    assert max(net.sizes) <= MAX_MESSAGE_BYTES


def test_lost_messages_cause_suspicions_that_are_refuted_and_no_dead_member():
    net = MembershipNetwork(8, seed=3)
    chance = RandomGenerator(5)
    net.is_lost = lambda sender, receiver: chance.below(100) < 25
    net.run(120 * SECOND)
    assert sum(node.suspicion_count for node in net.nodes.values()) > 0
    assert sum(node.refutation_count for node in net.nodes.values()) > 0
    net.is_lost = lambda sender, receiver: False
    net.run(20 * SECOND)
    assert all(net.states_of(name) == {MemberState.ALIVE} for name in net.nodes)


def test_indirect_probes_prevent_suspicions_when_one_path_loses_all_messages():
    net = MembershipNetwork(5)
    net.is_lost = lambda sender, receiver: {sender, receiver} == {"g0", "g1"}
    net.run(60 * SECOND)
    assert sum(node.suspicion_count for node in net.nodes.values()) == 0


def test_a_path_that_loses_all_messages_causes_suspicions_without_indirect_probes():
    net = MembershipNetwork(5)
    net.is_lost = lambda sender, receiver: {sender, receiver} == {"g0", "g1"}
    for node in net.nodes.values():
        node.prober.retry_probe = lambda now: []
    net.run(60 * SECOND)
    assert sum(node.suspicion_count for node in net.nodes.values()) > 0


def test_both_sides_detect_a_partition_and_its_end():
    net = MembershipNetwork(6)
    half = {"g0", "g1", "g2"}
    net.is_lost = lambda sender, receiver: (sender in half) != (receiver in half)
    net.run(60 * SECOND)
    assert {net.nodes["g0"].members[name].state for name in ("g3", "g4", "g5")} == {MemberState.DEAD}
    assert net.nodes["g0"].live_count() == net.nodes["g5"].live_count() == 3
    net.is_lost = lambda sender, receiver: False
    net.run(40 * SECOND)
    assert all(net.states_of(name) == {MemberState.ALIVE} for name in net.nodes)
    assert net.nodes["g0"].live_count() == 6


def test_a_restarted_gateway_refutes_updates_about_its_earlier_incarnation():
    net = MembershipNetwork(4)
    net.run(3 * SECOND)
    net.down.add("g2")
    net.run(40 * SECOND)
    assert net.states_of("g2") == {MemberState.DEAD}
    net.start("g2", 9, {f"g{number}": f"g{number}" for number in range(4)})
    net.run(15 * SECOND)
    assert net.states_of("g2") == {MemberState.ALIVE}
    assert net.nodes["g2"].incarnation > 1


def test_a_stalled_gateway_suspects_no_member_for_the_time_of_its_stall():
    net = MembershipNetwork(5)
    net.run(5 * SECOND)
    net.stopped.add("g0")
    net.run(40 * SECOND)
    assert net.states_of("g0") == {MemberState.DEAD}
    net.stopped.clear()
    net.run(20 * SECOND)
    assert net.nodes["g0"].suspicion_count == 0
    assert all(net.states_of(name) == {MemberState.ALIVE} for name in net.nodes)


def test_a_new_gateway_that_knows_one_other_learns_of_all_and_becomes_known_to_all():
    net = MembershipNetwork(10)
    net.run(5 * SECOND)
    net.start("new", 77, {"g4": "g4"})
    net.run(15 * SECOND)
    assert net.states_of("new") == {MemberState.ALIVE}
    assert net.nodes["new"].live_count() == 11


def test_a_member_that_leaves_is_in_state_left_at_once_and_can_return():
    net = MembershipNetwork(4)
    net.run(3 * SECOND)
    net.send("g3", net.nodes["g3"].leave())
    net.down.add("g3")
    net.run(5 * SECOND)
    assert net.states_of("g3") == {MemberState.LEFT}
    assert net.nodes["g0"].live_count() == 3
    net.start("g3", 5, {"g0": "g0"})
    net.run(20 * SECOND)
    assert net.states_of("g3") == {MemberState.ALIVE}


def test_a_new_gateway_that_knows_one_of_three_hundred_learns_of_all_within_seconds():
    net = MembershipNetwork(300)
    net.run(SECOND)
    net.start("new", 77, {"g4": "g4"})
    net.run(4 * SECOND)
    assert len(net.nodes["new"].members) == 300
    assert net.nodes["new"].state_transfer.completed_count == 1
    assert max(net.sizes) <= MAX_MESSAGE_BYTES


def test_lost_chunks_are_requested_again():
    net, chance = MembershipNetwork(150), RandomGenerator(3)
    net.is_lost = lambda sender, receiver: "new" in (sender, receiver) and chance.below(10) < 3
    net.start("new", 77, {"g4": "g4"})
    net.run(25 * SECOND)
    assert len(net.nodes["new"].members) == 150


def test_two_halves_consider_all_members_alive_soon_after_a_long_partition():
    net = MembershipNetwork(60)
    half = {f"g{number}" for number in range(30)}
    net.is_lost = lambda sender, receiver: (sender in half) != (receiver in half)
    net.run(90 * SECOND)
    assert all(node.live_count() == 30 for node in net.nodes.values())
    net.is_lost = lambda sender, receiver: False
    net.run(40 * SECOND)
    assert all(
        len(node.table.alive) == 59 and check_membership(node, thorough=True) == []
        for node in net.nodes.values()
    )


def test_seven_tenths_of_the_gateways_are_alive_to_all_after_a_restart_without_memory():
    net = MembershipNetwork(40)
    net.run(5 * SECOND)
    killed = [f"g{number}" for number in range(28)]
    net.down.update(killed)
    net.run(60 * SECOND)
    for name in killed:
        net.start(name, 7 + len(name), {f"g{number}": f"g{number}" for number in range(40)})
    net.run(40 * SECOND)
    assert all(len(node.table.alive) == 39 for node in net.nodes.values())
