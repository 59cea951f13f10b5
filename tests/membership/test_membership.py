"""Membership: updates as a lattice, and whole fleets of gateways on a simulated clock and network."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gaproute.decisions.chance import Chance
from gaproute.peers.membership_wire import decode, encode
from gaproute.shared.membership import Membership, MembershipMessage, MemberState, MemberUpdate, MessageKind
from gaproute.shared.membership.invariants import check
from gaproute.shared.membership.message_builder import MAX_MESSAGE_BYTES
from gaproute.shared.membership.messages import ENTRY_BYTES, MAX_INCARNATION
from gaproute.shared.membership.prober import MAX_INDIRECT_PROBES
from gaproute.shared.membership.table import MAX_MEMBERS
from gaproute.standins.membership_network import MembershipNetwork

SECOND = 1_000_000_000


def membership(*names, now=0):
    made = Membership("me", "me", Chance(1), now)
    made.configure(now, {name: name for name in names})
    return made


updates = st.builds(MemberUpdate, st.sampled_from("ab"), st.just("w"), st.integers(0, 3), st.integers(0, 3))


@given(
    st.lists(updates, max_size=8).flatmap(
        lambda ordered: st.tuples(st.just(ordered), st.permutations(ordered))
    )
)
def test_updates_may_come_in_any_order_and_twice(orders):
    ordered, other = orders
    one, two = membership("a", "b"), membership("a", "b")
    for update in ordered:
        one.apply(1, update)
    for update in [*other, *ordered]:
        two.apply(2, update)
    assert {name: member.update[2:] for name, member in one.members.items()} == {
        name: member.update[2:] for name, member in two.members.items()
    }


@pytest.mark.parametrize("size", [2, 3, 8, 40])
def test_a_gateway_that_dies_is_dead_to_all_and_no_other_is(size):
    net = MembershipNetwork(size)
    net.run(3 * SECOND)
    net.down.add("g1")
    net.run((size + 3 * 6 + 12) * SECOND)
    assert net.states_of("g1") == {MemberState.DEAD}
    assert all(net.states_of(name) == {MemberState.ALIVE} for name in net.nodes if name != "g1" and size > 2)
    assert net.nodes["g0"].live_count() == size - 1
    assert max(net.sizes) <= MAX_MESSAGE_BYTES


def test_lost_messages_make_suspects_that_refute_and_none_dead():
    net = MembershipNetwork(8, seed=3)
    chance = Chance(5)
    net.is_lost = lambda sender, to: chance.below(100) < 25
    net.run(120 * SECOND)
    assert sum(node.suspicions for node in net.nodes.values()) > 0
    assert sum(node.refutations for node in net.nodes.values()) > 0
    net.is_lost = lambda sender, to: False
    net.run(20 * SECOND)
    assert all(net.states_of(name) == {MemberState.ALIVE} for name in net.nodes)


def test_one_bad_path_between_two_makes_no_suspect_thanks_to_indirect_probes():
    net = MembershipNetwork(5)
    net.is_lost = lambda sender, to: {sender, to} == {"g0", "g1"}
    net.run(60 * SECOND)
    assert sum(node.suspicions for node in net.nodes.values()) == 0


def test_without_indirect_probes_that_path_makes_suspects():
    net = MembershipNetwork(5)
    net.is_lost = lambda sender, to: {sender, to} == {"g0", "g1"}
    for node in net.nodes.values():
        node.prober.retry = lambda now: []
    net.run(60 * SECOND)
    assert sum(node.suspicions for node in net.nodes.values()) > 0


def test_a_partition_is_seen_on_both_sides_and_heals():
    net = MembershipNetwork(6)
    half = {"g0", "g1", "g2"}
    net.is_lost = lambda sender, to: (sender in half) != (to in half)
    net.run(60 * SECOND)
    assert {net.nodes["g0"].members[name].state for name in ("g3", "g4", "g5")} == {MemberState.DEAD}
    assert net.nodes["g0"].live_count() == net.nodes["g5"].live_count() == 3
    net.is_lost = lambda sender, to: False
    net.run(40 * SECOND)
    assert all(net.states_of(name) == {MemberState.ALIVE} for name in net.nodes)
    assert net.nodes["g0"].live_count() == 6


def test_a_restarted_gateway_refutes_what_is_held_of_its_earlier_incarnation():
    net = MembershipNetwork(4)
    net.run(3 * SECOND)
    net.down.add("g2")
    net.run(40 * SECOND)
    assert net.states_of("g2") == {MemberState.DEAD}
    net.start("g2", 9, {f"g{number}": f"g{number}" for number in range(4)})
    net.run(15 * SECOND)
    assert net.states_of("g2") == {MemberState.ALIVE}
    assert net.nodes["g2"].incarnation > 1


def test_a_stalled_gateway_suspects_nobody_for_that_time():
    net = MembershipNetwork(5)
    net.run(5 * SECOND)
    net.stopped.add("g0")
    net.run(40 * SECOND)
    assert net.states_of("g0") == {MemberState.DEAD}
    net.stopped.clear()
    net.run(20 * SECOND)
    assert net.nodes["g0"].suspicions == 0
    assert all(net.states_of(name) == {MemberState.ALIVE} for name in net.nodes)


def test_a_newcomer_that_knows_one_gateway_is_known_to_all_and_knows_all():
    net = MembershipNetwork(10)
    net.run(5 * SECOND)
    net.start("new", 77, {"g4": "g4"})
    net.run(15 * SECOND)
    assert net.states_of("new") == {MemberState.ALIVE}
    assert net.nodes["new"].live_count() == 11


def test_a_member_that_leaves_is_held_as_left_at_once_and_can_come_back():
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


def test_a_dead_member_that_nobody_configured_is_forgotten_and_a_configured_one_kept():
    made = membership("kept")
    for name in ("kept", "stray"):
        made.apply(0, MemberUpdate(name, "w", MemberState.ALIVE, 1))
        made.apply(0, MemberUpdate(name, "w", MemberState.DEAD, 1))
    now = 0
    while now < 700 * SECOND:
        now = max(made.due, now + 1)
        made.tick(now)
    assert set(made.members) == {"kept"}


def test_an_unknown_dead_member_is_not_added_and_unknown_members_are_bounded():
    made = membership("a")
    made.apply(0, MemberUpdate("ghost", "w", MemberState.DEAD, 5))
    assert "ghost" not in made.members
    for number in range(2 * MAX_MEMBERS):
        made.apply(0, MemberUpdate(f"n{number}", "w", MemberState.ALIVE, 1))
    assert len(made.members) == MAX_MEMBERS
    assert made.rejected == MAX_MEMBERS + 1


@pytest.mark.parametrize(
    "sender",
    [
        MemberUpdate("", "w", MemberState.ALIVE, 1),
        MemberUpdate("x" * 300, "w", MemberState.ALIVE, 1),
        MemberUpdate("a", "", MemberState.ALIVE, 1),
        MemberUpdate("a", "w", 9, 1),
        MemberUpdate("a", "w", MemberState.ALIVE, MAX_INCARNATION + 1),
        MemberUpdate("a", "w", MemberState.DEAD, 1),
        MemberUpdate("me", "w", MemberState.ALIVE, 1),
    ],
)
def test_a_message_with_an_invalid_sender_is_rejected(sender):
    made = membership("a")
    assert made.receive(1, MembershipMessage(MessageKind.PING, 1, sender)) == []
    assert made.rejected == 1
    assert made.members["a"].last_heard is None


def test_a_false_update_about_this_gateway_is_refuted_and_an_invalid_one_rejected():
    made = membership("a")
    made.apply(0, MemberUpdate("me", "me", MemberState.DEAD, 7))
    assert made.incarnation == 8
    made.apply(0, MemberUpdate("me", "me", MemberState.DEAD, MAX_INCARNATION + 1))
    assert made.incarnation == 8
    assert made.rejected == 1


def test_indirect_probes_are_bounded():
    made = membership("a", "b")
    for number in range(2 * MAX_INDIRECT_PROBES):
        made.receive(
            0,
            MembershipMessage(
                MessageKind.PING_REQUEST, number, MemberUpdate("a", "a", MemberState.ALIVE, 1), "b"
            ),
        )
    assert len(made.prober.indirect_probes) == MAX_INDIRECT_PROBES


def test_a_message_holds_what_its_receiver_must_refute_and_no_more_than_fits():
    made = membership("a")
    for number in range(200):
        made.apply(0, MemberUpdate(f"gateway-with-a-long-name-{number}", "w" * 60, MemberState.ALIVE, 1))
    made.apply(0, MemberUpdate("a", "a", MemberState.SUSPECT, 3))
    ((_, message),) = made.receive(
        1, MembershipMessage(MessageKind.PING, 4, MemberUpdate("a", "a", MemberState.ALIVE, 1))
    )
    assert message.updates[0] == MemberUpdate("a", "a", MemberState.SUSPECT, 3)
    assert message.sequence == 4
    assert 3 < len(message.updates) < MAX_MESSAGE_BYTES / ENTRY_BYTES
    assert len(encode(message)) <= MAX_MESSAGE_BYTES


def test_messages_survive_encoding_and_invalid_bytes_decode_to_none():
    message = MembershipMessage(
        MessageKind.PING_REQUEST,
        3,
        MemberUpdate("a", "unix:/x", MemberState.ALIVE, 2),
        "b",
        (MemberUpdate("b", "1.2.3.4:5", MemberState.SUSPECT, 9),),
    )
    assert decode(encode(message)) == message
    assert decode(b"\xff\xff") is None
    assert decode(b"") is None
    future = bytearray(encode(message))
    future[1] = 9  # its version
    assert decode(bytes(future)) is None


@given(
    st.lists(
        st.builds(
            MemberUpdate, st.sampled_from("ab"), st.sampled_from("vw"), st.integers(0, 3), st.integers(0, 3)
        ),
        max_size=8,
    ).flatmap(lambda ordered: st.tuples(st.just(ordered), st.permutations(ordered)))
)
def test_updates_of_members_nobody_configured_end_in_one_address_in_any_order(orders):
    one, two = membership(), membership()
    alive = [MemberUpdate(name, "u", MemberState.ALIVE, 0) for name in "ab"]  # nobody dead is learnt of
    for updates, made in zip(orders, (one, two), strict=True):
        for update in [*alive, *updates]:
            made.apply(1, update)
    assert {name: member.update for name, member in one.members.items()} == {
        name: member.update for name, member in two.members.items()
    }
    assert check(one, thorough=True) == check(two, thorough=True) == []


def test_a_newcomer_that_knows_one_of_three_hundred_knows_all_within_seconds():
    net = MembershipNetwork(300)
    net.run(SECOND)
    net.start("new", 77, {"g4": "g4"})
    net.run(4 * SECOND)
    assert len(net.nodes["new"].members) == 300
    assert net.nodes["new"].state_transfer.completed == 1
    assert max(net.sizes) <= MAX_MESSAGE_BYTES


def test_lost_chunks_are_requested_again():
    net, chance = MembershipNetwork(150), Chance(3)
    net.is_lost = lambda sender, to: "new" in (sender, to) and chance.below(10) < 3
    net.start("new", 77, {"g4": "g4"})
    net.run(25 * SECOND)
    assert len(net.nodes["new"].members) == 150


def test_only_the_next_chunk_from_the_source_leads_to_another_request():
    made = membership("a", "b")
    made.state_transfer.start(0, "a")
    a, b = (MemberUpdate(name, name, MemberState.ALIVE, 1) for name in "ab")
    assert made.receive(1, MembershipMessage(MessageKind.CHUNK, 5, b)) == []
    ((address, message),) = made.receive(2, MembershipMessage(MessageKind.CHUNK, 5, a))
    assert (address, message.kind, message.sequence) == ("a", MessageKind.PULL, 5)
    assert made.receive(3, MembershipMessage(MessageKind.CHUNK, 5, a)) == []
    assert made.receive(4, MembershipMessage(MessageKind.CHUNK, 0, a)) == []
    assert made.state_transfer.completed == 1


def test_chunks_are_sent_at_a_bounded_rate():
    made = membership("a")
    asked = [
        made.receive(1, MembershipMessage(MessageKind.PULL, 0, MemberUpdate("a", "a", MemberState.ALIVE, 1)))
        for _ in range(200)
    ]
    assert sum(map(len, asked)) == 64


def test_a_member_back_at_another_address_with_an_older_incarnation_is_answered_there_and_outbids():
    made = Membership("me", "me", Chance(1), 0)
    made.apply(0, MemberUpdate("a", "old", MemberState.ALIVE, 9))
    back = Membership("a", "new", Chance(2), 0)
    back.configure(0, {"me": "me"})
    ((address, message),) = made.receive(1, back.tick(SECOND)[0][1])
    assert address == "new"
    assert made.members["a"].address == "old"
    back.receive(2, message)
    assert back.incarnation == 10
    made.receive(
        3,
        MembershipMessage(MessageKind.PING, 5, MemberUpdate("a", "new", MemberState.ALIVE, back.incarnation)),
    )
    assert made.members["a"].address == "new"


def test_halves_that_held_each_other_dead_hold_all_alive_soon_after_healing():
    net = MembershipNetwork(60)
    half = {f"g{number}" for number in range(30)}
    net.is_lost = lambda sender, to: (sender in half) != (to in half)
    net.run(90 * SECOND)
    assert all(node.live_count() == 30 for node in net.nodes.values())
    net.is_lost = lambda sender, to: False
    net.run(40 * SECOND)
    assert all(
        len(node.table.alive) == 59 and check(node, thorough=True) == [] for node in net.nodes.values()
    )


def test_seven_tenths_back_with_an_empty_memory_are_alive_to_all():
    net = MembershipNetwork(40)
    net.run(5 * SECOND)
    killed = [f"g{number}" for number in range(28)]
    net.down.update(killed)
    net.run(60 * SECOND)
    for name in killed:
        net.start(name, 7 + len(name), {f"g{number}": f"g{number}" for number in range(40)})
    net.run(40 * SECOND)
    assert all(len(node.table.alive) == 39 for node in net.nodes.values())


@given(
    st.lists(
        st.tuples(
            st.sampled_from(
                (
                    MessageKind.PING,
                    MessageKind.ACK,
                    MessageKind.PING_REQUEST,
                    MessageKind.PULL,
                    MessageKind.CHUNK,
                    "tick",
                    "list",
                )
            ),
            st.builds(
                MemberUpdate,
                st.sampled_from(("a", "b", "c", "me", "")),
                st.sampled_from("vw"),
                st.integers(-1, 5),
                st.integers(-1, 9),
            ),
            st.integers(0, 9),
            st.lists(st.sampled_from("abc")),
        ),
        max_size=40,
    )
)
def test_the_lists_match_the_states_after_any_messages(steps):
    made, now = membership("a"), 0
    for kind, sender, number, names in steps:
        now += SECOND // 3
        if kind == "tick":
            made.tick(now)
        elif kind == "list":
            made.configure(now, {name: name for name in names})
        else:
            made.receive(now, MembershipMessage(kind, number, sender, "".join(names[:1]), (sender,)))
        assert check(made, thorough=True) == []


def test_a_violation_is_reported():
    made = membership("a")
    made.members["a"].state = MemberState.DEAD
    made.prober.indirect_probes = {number: ("a", 1, "a") for number in range(MAX_INDIRECT_PROBES + 1)}
    assert len(check(made, thorough=True)) == 2
