"""Membership at one gateway: updates as a lattice, messages and their encoding, bounds, state transfer."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gaproute.decisions.chance import RandomGenerator
from gaproute.peers.membership_wire import decode_message, encode_message
from gaproute.shared.membership import Membership, MembershipMessage, MemberState, MemberUpdate, MessageKind
from gaproute.shared.membership.invariants import check
from gaproute.shared.membership.message_builder import MAX_MESSAGE_BYTES
from gaproute.shared.membership.messages import ENTRY_BYTES, MAX_INCARNATION
from gaproute.shared.membership.prober import MAX_INDIRECT_PROBES
from gaproute.shared.membership.table import MAX_MEMBERS

SECOND = 1_000_000_000


def membership(*names, now=0):
    made = Membership("me", "me", RandomGenerator(1), now)
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


def test_a_dead_member_that_nobody_configured_is_forgotten_and_a_configured_one_stays():
    made = membership("configured")
    for name in ("configured", "unconfigured"):
        made.apply(0, MemberUpdate(name, "w", MemberState.ALIVE, 1))
        made.apply(0, MemberUpdate(name, "w", MemberState.DEAD, 1))
    now = 0
    while now < 700 * SECOND:
        now = max(made.due, now + 1)
        made.tick(now)
    assert set(made.members) == {"configured"}


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
    assert len(encode_message(message)) <= MAX_MESSAGE_BYTES


def test_messages_survive_encoding_and_invalid_bytes_decode_to_none():
    message = MembershipMessage(
        MessageKind.PING_REQUEST,
        3,
        MemberUpdate("a", "unix:/x", MemberState.ALIVE, 2),
        "b",
        (MemberUpdate("b", "1.2.3.4:5", MemberState.SUSPECT, 9),),
    )
    assert decode_message(encode_message(message)) == message
    assert decode_message(b"\xff\xff") is None
    assert decode_message(b"") is None
    future = bytearray(encode_message(message))
    future[1] = 9  # its version
    assert decode_message(bytes(future)) is None


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
    made = Membership("me", "me", RandomGenerator(1), 0)
    made.apply(0, MemberUpdate("a", "old", MemberState.ALIVE, 9))
    back = Membership("a", "new", RandomGenerator(2), 0)
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
