"""Membership at one gateway: merging of updates, messages and their encoding, bounds, state transfer."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gaproute.decisions.chance import RandomGenerator
from gaproute.peers.membership_wire import decode, encode
from gaproute.shared.membership import Membership, MembershipMessage, MemberState, MemberUpdate, MessageKind
from gaproute.shared.membership.invariants import check_membership
from gaproute.shared.membership.message_builder import MAX_MESSAGE_BYTES
from gaproute.shared.membership.messages import MAX_INCARNATION, UPDATE_OVERHEAD_BYTES
from gaproute.shared.membership.prober import MAX_INDIRECT_PROBES
from gaproute.shared.membership.table import MAX_MEMBERS

SECOND = 1_000_000_000


def make_membership(*names, now=0):
    membership = Membership("me", "me", RandomGenerator(1), now)
    membership.set_configured_members(now, {name: name for name in names})
    return membership


updates = st.builds(MemberUpdate, st.sampled_from("ab"), st.just("w"), st.integers(0, 3), st.integers(0, 3))


@given(
    st.lists(updates, max_size=8).flatmap(
        lambda ordered: st.tuples(st.just(ordered), st.permutations(ordered))
    )
)
def test_updates_have_the_same_result_in_any_order_and_when_repeated(orders):
    ordered, permuted = orders
    first, second = make_membership("a", "b"), make_membership("a", "b")
    for update in ordered:
        first.apply_update(1, update)
    for update in [*permuted, *ordered]:
        second.apply_update(2, update)
    assert {name: member.update[2:] for name, member in first.members.items()} == {
        name: member.update[2:] for name, member in second.members.items()
    }


def test_a_dead_member_is_removed_unless_it_is_configured():
    membership = make_membership("configured")
    for name in ("configured", "unconfigured"):
        membership.apply_update(0, MemberUpdate(name, "w", MemberState.ALIVE, 1))
        membership.apply_update(0, MemberUpdate(name, "w", MemberState.DEAD, 1))
    now = 0
    while now < 700 * SECOND:
        now = max(membership.due, now + 1)
        membership.tick(now)
    assert set(membership.members) == {"configured"}


def test_an_unknown_dead_member_is_not_added_and_the_number_of_unknown_members_is_limited():
    membership = make_membership("a")
    membership.apply_update(0, MemberUpdate("ghost", "w", MemberState.DEAD, 5))
    assert "ghost" not in membership.members
    for number in range(2 * MAX_MEMBERS):
        membership.apply_update(0, MemberUpdate(f"n{number}", "w", MemberState.ALIVE, 1))
    assert len(membership.members) == MAX_MEMBERS
    assert membership.rejected_count == MAX_MEMBERS + 1


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
    membership = make_membership("a")
    assert membership.receive(1, MembershipMessage(MessageKind.PING, 1, sender)) == []
    assert membership.rejected_count == 1
    assert membership.members["a"].last_heard is None


def test_a_false_update_about_this_gateway_is_refuted_and_an_invalid_one_rejected():
    membership = make_membership("a")
    membership.apply_update(0, MemberUpdate("me", "me", MemberState.DEAD, 7))
    assert membership.incarnation == 8
    membership.apply_update(0, MemberUpdate("me", "me", MemberState.DEAD, MAX_INCARNATION + 1))
    assert membership.incarnation == 8
    assert membership.rejected_count == 1


def test_indirect_probes_are_bounded():
    membership = make_membership("a", "b")
    for number in range(2 * MAX_INDIRECT_PROBES):
        membership.receive(
            0,
            MembershipMessage(
                MessageKind.PING_REQUEST, number, MemberUpdate("a", "a", MemberState.ALIVE, 1), "b"
            ),
        )
    assert len(membership.prober.indirect_probes) == MAX_INDIRECT_PROBES


def test_a_message_contains_the_update_that_its_receiver_must_refute_and_fits_the_size_limit():
    membership = make_membership("a")
    for number in range(200):
        membership.apply_update(
            0, MemberUpdate(f"gateway-with-a-long-name-{number}", "w" * 60, MemberState.ALIVE, 1)
        )
    membership.apply_update(0, MemberUpdate("a", "a", MemberState.SUSPECT, 3))
    ((_, message),) = membership.receive(
        1, MembershipMessage(MessageKind.PING, 4, MemberUpdate("a", "a", MemberState.ALIVE, 1))
    )
    assert message.updates[0] == MemberUpdate("a", "a", MemberState.SUSPECT, 3)
    assert message.sequence == 4
    assert 3 < len(message.updates) < MAX_MESSAGE_BYTES / UPDATE_OVERHEAD_BYTES
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
    future[1] = 9  # the version
    assert decode(bytes(future)) is None


@given(
    st.lists(
        st.builds(
            MemberUpdate, st.sampled_from("ab"), st.sampled_from("vw"), st.integers(0, 3), st.integers(0, 3)
        ),
        max_size=8,
    ).flatmap(lambda ordered: st.tuples(st.just(ordered), st.permutations(ordered)))
)
def test_updates_about_unconfigured_members_give_the_same_address_in_any_order(orders):
    first, second = make_membership(), make_membership()
    # Makes both members known, as an unknown member that is dead is not added
    alive = [MemberUpdate(name, "u", MemberState.ALIVE, 0) for name in "ab"]
    for updates, membership in zip(orders, (first, second), strict=True):
        for update in [*alive, *updates]:
            membership.apply_update(1, update)
    assert {name: member.update for name, member in first.members.items()} == {
        name: member.update for name, member in second.members.items()
    }
    assert check_membership(first, thorough=True) == check_membership(second, thorough=True) == []


def test_only_the_next_chunk_from_the_source_causes_another_request():
    membership = make_membership("a", "b")
    membership.state_transfer.start(0, "a")
    a, b = (MemberUpdate(name, name, MemberState.ALIVE, 1) for name in "ab")
    assert membership.receive(1, MembershipMessage(MessageKind.CHUNK, 5, b)) == []
    ((address, message),) = membership.receive(2, MembershipMessage(MessageKind.CHUNK, 5, a))
    assert (address, message.kind, message.sequence) == ("a", MessageKind.PULL, 5)
    assert membership.receive(3, MembershipMessage(MessageKind.CHUNK, 5, a)) == []
    assert membership.receive(4, MembershipMessage(MessageKind.CHUNK, 0, a)) == []
    assert membership.state_transfer.completed_count == 1


def test_chunks_are_sent_at_a_bounded_rate():
    membership = make_membership("a")
    answers = [
        membership.receive(
            1, MembershipMessage(MessageKind.PULL, 0, MemberUpdate("a", "a", MemberState.ALIVE, 1))
        )
        for _ in range(200)
    ]
    assert sum(map(len, answers)) == 64


def test_a_member_restarted_at_another_address_is_answered_there_and_raises_its_incarnation():
    membership = Membership("me", "me", RandomGenerator(1), 0)
    membership.apply_update(0, MemberUpdate("a", "old", MemberState.ALIVE, 9))
    restarted = Membership("a", "new", RandomGenerator(2), 0)
    restarted.set_configured_members(0, {"me": "me"})
    ((address, message),) = membership.receive(1, restarted.tick(SECOND)[0][1])
    assert address == "new"
    assert membership.members["a"].address == "old"
    restarted.receive(2, message)
    assert restarted.incarnation == 10
    membership.receive(
        3,
        MembershipMessage(
            MessageKind.PING, 5, MemberUpdate("a", "new", MemberState.ALIVE, restarted.incarnation)
        ),
    )
    assert membership.members["a"].address == "new"


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
def test_the_lists_match_the_states_after_any_sequence_of_messages(steps):
    membership, now = make_membership("a"), 0
    for kind, sender, number, names in steps:
        now += SECOND // 3
        if kind == "tick":
            membership.tick(now)
        elif kind == "list":
            membership.set_configured_members(now, {name: name for name in names})
        else:
            membership.receive(now, MembershipMessage(kind, number, sender, "".join(names[:1]), (sender,)))
        assert check_membership(membership, thorough=True) == []


def test_each_violation_is_reported():
    membership = make_membership("a")
    membership.members["a"].state = MemberState.DEAD
    membership.prober.indirect_probes = {number: ("a", 1, "a") for number in range(MAX_INDIRECT_PROBES + 1)}
    assert len(check_membership(membership, thorough=True)) == 2
