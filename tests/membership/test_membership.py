"""Who is up: claims as a lattice, and whole fleets of gateways on a clock and a network of the test's own."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gaproute.decisions.chance import Chance
from gaproute.peers.membership import decode, encode
from gaproute.shared.membership import Membership, MembershipMessage, MemberState, MemberUpdate, MessageKind
from gaproute.shared.membership.dissemination import MAX_MESSAGE_BYTES
from gaproute.shared.membership.invariants import check
from gaproute.shared.membership.membership import INDIRECT_PROBES
from gaproute.shared.membership.messages import ENTRY_BYTES, MAX_INCARNATION
from gaproute.shared.membership.table import MAX_MEMBERS
from gaproute.standins.net import Net

SECOND = 1_000_000_000


def members(*names, now=0):
    made = Membership("me", "me", Chance(1), now)
    made.configure(now, {name: name for name in names})
    return made


news = st.builds(MemberUpdate, st.sampled_from("ab"), st.just("w"), st.integers(0, 3), st.integers(0, 3))


@given(st.lists(news, max_size=8).flatmap(lambda told: st.tuples(st.just(told), st.permutations(told))))
def test_claims_may_come_in_any_order_and_twice(orders):
    told, other = orders
    one, two = members("a", "b"), members("a", "b")
    for claim in told:
        one.apply(1, claim)
    for claim in [*other, *told]:
        two.apply(2, claim)
    assert {name: member.update[2:] for name, member in one.members.items()} == {
        name: member.update[2:] for name, member in two.members.items()
    }


@pytest.mark.parametrize("size", [2, 3, 8, 40])
def test_a_gateway_that_dies_is_dead_to_all_and_no_other_is(size):
    net = Net(size)
    net.run(3 * SECOND)
    net.down.add("g1")
    net.run((size + 3 * 6 + 12) * SECOND)
    assert net.views("g1") == {MemberState.DEAD}
    assert all(net.views(name) == {MemberState.ALIVE} for name in net.nodes if name != "g1" and size > 2)
    assert net.nodes["g0"].live_count() == size - 1
    assert max(net.sizes) <= MAX_MESSAGE_BYTES


def test_lost_messages_make_suspects_that_refute_and_none_dead():
    net = Net(8, seed=3)
    chance = Chance(5)
    net.lost = lambda sender, to: chance.below(100) < 25
    net.run(120 * SECOND)
    assert sum(node.suspicions for node in net.nodes.values()) > 0
    assert sum(node.refutations for node in net.nodes.values()) > 0
    net.lost = lambda sender, to: False
    net.run(20 * SECOND)
    assert all(net.views(name) == {MemberState.ALIVE} for name in net.nodes)


def test_one_bad_path_between_two_makes_no_suspect_as_others_probe_for_them():
    net = Net(5)
    net.lost = lambda sender, to: {sender, to} == {"g0", "g1"}
    net.run(60 * SECOND)
    assert sum(node.suspicions for node in net.nodes.values()) == 0


def test_without_helpers_that_path_makes_suspects():
    net = Net(5)
    net.lost = lambda sender, to: {sender, to} == {"g0", "g1"}
    for node in net.nodes.values():
        node._through_others = lambda node=node: setattr(node, "asked", True) or []
    net.run(60 * SECOND)
    assert sum(node.suspicions for node in net.nodes.values()) > 0


def test_a_partition_is_seen_on_both_sides_and_heals():
    net = Net(6)
    half = {"g0", "g1", "g2"}
    net.lost = lambda sender, to: (sender in half) != (to in half)
    net.run(60 * SECOND)
    assert {net.nodes["g0"].members[name].state for name in ("g3", "g4", "g5")} == {MemberState.DEAD}
    assert net.nodes["g0"].live_count() == net.nodes["g5"].live_count() == 3
    net.lost = lambda sender, to: False
    net.run(40 * SECOND)
    assert (
        all(net.views(name) == {MemberState.ALIVE} for name in net.nodes)
        and net.nodes["g0"].live_count() == 6
    )


def test_a_gateway_that_restarts_refutes_what_is_held_of_its_past_life():
    net = Net(4)
    net.run(3 * SECOND)
    net.down.add("g2")
    net.run(40 * SECOND)
    assert net.views("g2") == {MemberState.DEAD}
    net.start("g2", 9, {f"g{number}": f"g{number}" for number in range(4)})
    net.run(15 * SECOND)
    assert net.views("g2") == {MemberState.ALIVE} and net.nodes["g2"].incarnation > 1


def test_a_gateway_that_was_stopped_judges_nobody_by_that_time():
    net = Net(5)
    net.run(5 * SECOND)
    net.stopped.add("g0")
    net.run(40 * SECOND)
    assert net.views("g0") == {MemberState.DEAD}
    net.stopped.clear()
    net.run(20 * SECOND)
    assert net.nodes["g0"].suspicions == 0
    assert all(net.views(name) == {MemberState.ALIVE} for name in net.nodes)


def test_a_newcomer_that_knows_one_gateway_is_known_to_all_and_knows_all():
    net = Net(10)
    net.run(5 * SECOND)
    net.start("new", 77, {"g4": "g4"})
    net.run(15 * SECOND)
    assert net.views("new") == {MemberState.ALIVE} and net.nodes["new"].live_count() == 11


def test_one_that_leaves_is_held_as_left_at_once_and_can_come_back():
    net = Net(4)
    net.run(3 * SECOND)
    net.send("g3", net.nodes["g3"].leave())
    net.down.add("g3")
    net.run(5 * SECOND)
    assert net.views("g3") == {MemberState.LEFT} and net.nodes["g0"].live_count() == 3
    net.start("g3", 5, {"g0": "g0"})
    net.run(20 * SECOND)
    assert net.views("g3") == {MemberState.ALIVE}


def test_a_dead_one_that_nobody_configured_is_forgotten_and_a_configured_one_kept():
    made = members("kept")
    for name in ("kept", "stray"):
        made.apply(0, MemberUpdate(name, "w", MemberState.ALIVE, 1))
        made.apply(0, MemberUpdate(name, "w", MemberState.DEAD, 1))
    now = 0
    while now < 700 * SECOND:
        now = max(made.due, now + 1)
        made.tick(now)
    assert set(made.members) == {"kept"}


def test_nobody_dead_is_learnt_of_and_strangers_are_bounded():
    made = members("a")
    made.apply(0, MemberUpdate("ghost", "w", MemberState.DEAD, 5))
    assert "ghost" not in made.members
    for number in range(2 * MAX_MEMBERS):
        made.apply(0, MemberUpdate(f"n{number}", "w", MemberState.ALIVE, 1))
    assert len(made.members) == MAX_MEMBERS and made.rejected == MAX_MEMBERS + 1


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
def test_a_message_whose_sender_cannot_be_is_refused(sender):
    made = members("a")
    assert made.receive(1, MembershipMessage(MessageKind.PING, 1, sender)) == [] and made.rejected == 1
    assert made.members["a"].last_heard is None


def test_a_lie_about_this_gateway_is_refuted_and_an_absurd_one_refused():
    made = members("a")
    made.apply(0, MemberUpdate("me", "me", MemberState.DEAD, 7))
    assert made.incarnation == 8
    made.apply(0, MemberUpdate("me", "me", MemberState.DEAD, MAX_INCARNATION + 1))
    assert made.incarnation == 8 and made.rejected == 1


def test_probes_for_others_are_bounded():
    made = members("a", "b")
    for number in range(2 * INDIRECT_PROBES):
        made.receive(
            0,
            MembershipMessage(
                MessageKind.PING_REQUEST, number, MemberUpdate("a", "a", MemberState.ALIVE, 1), "b"
            ),
        )
    assert len(made.indirect_probes) == INDIRECT_PROBES


def test_a_message_holds_what_its_receiver_must_refute_and_no_more_than_fits():
    made = members("a")
    for number in range(200):
        made.apply(0, MemberUpdate(f"gateway-with-a-long-name-{number}", "w" * 60, MemberState.ALIVE, 1))
    made.apply(0, MemberUpdate("a", "a", MemberState.SUSPECT, 3))
    ((_, word),) = made.receive(
        1, MembershipMessage(MessageKind.PING, 4, MemberUpdate("a", "a", MemberState.ALIVE, 1))
    )
    assert word.updates[0] == MemberUpdate("a", "a", MemberState.SUSPECT, 3) and word.sequence == 4
    assert 3 < len(word.updates) < MAX_MESSAGE_BYTES / ENTRY_BYTES and len(encode(word)) <= MAX_MESSAGE_BYTES


def test_words_come_back_as_they_were_and_nonsense_as_nothing():
    word = MembershipMessage(
        MessageKind.PING_REQUEST,
        3,
        MemberUpdate("a", "unix:/x", MemberState.ALIVE, 2),
        "b",
        (MemberUpdate("b", "1.2.3.4:5", MemberState.SUSPECT, 9),),
    )
    assert decode(encode(word)) == word
    assert decode(b"\xff\xff") is None and decode(b"") is None
    future = bytearray(encode(word))
    future[1] = 9  # its version
    assert decode(bytes(future)) is None


@given(
    st.lists(
        st.builds(
            MemberUpdate, st.sampled_from("ab"), st.sampled_from("vw"), st.integers(0, 3), st.integers(0, 3)
        ),
        max_size=8,
    ).flatmap(lambda told: st.tuples(st.just(told), st.permutations(told)))
)
def test_claims_of_members_nobody_configured_end_in_one_address_in_any_order(orders):
    one, two = members(), members()
    alive = [MemberUpdate(name, "u", MemberState.ALIVE, 0) for name in "ab"]  # nobody dead is learnt of
    for claims, made in zip(orders, (one, two), strict=True):
        for claim in [*alive, *claims]:
            made.apply(1, claim)
    assert {name: member.update for name, member in one.members.items()} == {
        name: member.update for name, member in two.members.items()
    }
    assert check(one, True) == check(two, True) == []


def test_a_newcomer_that_knows_one_of_three_hundred_knows_all_within_seconds():
    net = Net(300)
    net.run(SECOND)
    net.start("new", 77, {"g4": "g4"})
    net.run(4 * SECOND)
    assert len(net.nodes["new"].members) == 300 and net.nodes["new"].state_transfer.completed == 1
    assert max(net.sizes) <= MAX_MESSAGE_BYTES


def test_lost_chunks_are_asked_for_again():
    net, chance = Net(150), Chance(3)
    net.lost = lambda sender, to: "new" in (sender, to) and chance.below(10) < 3
    net.start("new", 77, {"g4": "g4"})
    net.run(25 * SECOND)
    assert len(net.nodes["new"].members) == 150


def test_only_the_next_chunk_of_who_was_asked_is_followed_by_another():
    made = members("a", "b")
    made.state_transfer.begin(0, "a")
    a, b = (MemberUpdate(name, name, MemberState.ALIVE, 1) for name in "ab")
    assert made.receive(1, MembershipMessage(MessageKind.CHUNK, 5, b)) == []
    ((where, word),) = made.receive(2, MembershipMessage(MessageKind.CHUNK, 5, a))
    assert (where, word.kind, word.sequence) == ("a", MessageKind.PULL, 5) and made.receive(
        3, MembershipMessage(MessageKind.CHUNK, 5, a)
    ) == []
    assert (
        made.receive(4, MembershipMessage(MessageKind.CHUNK, 0, a)) == []
        and made.state_transfer.completed == 1
    )


def test_chunks_are_given_at_a_bounded_rate():
    made = members("a")
    asked = [
        made.receive(1, MembershipMessage(MessageKind.PULL, 0, MemberUpdate("a", "a", MemberState.ALIVE, 1)))
        for _ in range(200)
    ]
    assert sum(map(len, asked)) == 64


def test_one_back_at_another_address_with_an_older_word_of_itself_is_answered_there_and_outbids():
    made = Membership("me", "me", Chance(1), 0)
    made.apply(0, MemberUpdate("a", "old", MemberState.ALIVE, 9))
    back = Membership("a", "new", Chance(2), 0)
    back.configure(0, {"me": "me"})
    ((where, word),) = made.receive(1, back.tick(SECOND)[0][1])
    assert where == "new" and made.members["a"].address == "old"
    back.receive(2, word)
    assert back.incarnation == 10
    made.receive(
        3,
        MembershipMessage(MessageKind.PING, 5, MemberUpdate("a", "new", MemberState.ALIVE, back.incarnation)),
    )
    assert made.members["a"].address == "new"


def test_halves_that_held_each_other_dead_hold_all_alive_soon_after_healing():
    net = Net(60)
    half = {f"g{number}" for number in range(30)}
    net.lost = lambda sender, to: (sender in half) != (to in half)
    net.run(90 * SECOND)
    assert all(node.live_count() == 30 for node in net.nodes.values())
    net.lost = lambda sender, to: False
    net.run(40 * SECOND)
    assert all(len(node.table.alive) == 59 and check(node, True) == [] for node in net.nodes.values())


def test_seven_tenths_back_with_an_empty_memory_are_alive_to_all():
    net = Net(40)
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
def test_whatever_comes_the_lists_agree(steps):
    made, now = members("a"), 0
    for kind, sender, number, names in steps:
        now += SECOND // 3
        if kind == "tick":
            made.tick(now)
        elif kind == "list":
            made.configure(now, {name: name for name in names})
        else:
            made.receive(now, MembershipMessage(kind, number, sender, "".join(names[:1]), (sender,)))
        assert check(made, True) == []


def test_a_breach_is_told():
    made = members("a")
    made.members["a"].state = MemberState.DEAD
    made.indirect_probes = {number: ("a", 1, "a") for number in range(INDIRECT_PROBES + 1)}
    assert len(check(made, True)) == 2
