"""The merge laws, and the bytes: strict and compact."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gaproute.peers.gossip import decode, encode
from gaproute.peers.gossip.wire import code
from gaproute.peers.membership_wire import decode as decode_word
from gaproute.shared.gossip import EntrySet, GossipMessage
from gaproute.shared.gossip.messages import DEMAND, HANDS, LIFE, MOST, ROOM, SCALE, WARM
from gaproute.shared.gossip.table import Store

page = st.builds(
    EntrySet,
    st.sampled_from((HANDS, ROOM)),
    st.just(0),
    st.integers(0, 3),
    st.integers(0, 5),
    st.just(0.0),
    st.just(()),
)
told = st.tuples(st.just("take"), st.sampled_from("ab"), st.integers(1, 3), page)
tomb = st.tuples(st.just("bury"), st.sampled_from("ab"), st.integers(1, 2), st.none())
facts = st.lists(st.one_of(told, told, told, tomb), max_size=10)


def merged(*lists):
    store = Store()
    for what, teller, incarnation, page in (step for steps in lists for step in steps):
        if what == "take":
            store.take(0, teller, incarnation, page)
        else:
            store.bury(0, teller, incarnation)
    return {
        (teller, name): (held.version, held.seen)
        for teller, pages in store.tellers.items()
        for name, held in pages.items()
    }


@given(facts.flatmap(lambda steps: st.tuples(st.just(steps), st.permutations(steps))))
def test_any_order_gives_the_same(orders):
    assert merged(orders[0]) == merged(orders[1])


@given(facts, facts, facts)
def test_merge_is_associative_commutative_and_idempotent(one, two, three):
    assert merged(one, two, three) == merged(two, three, one) == merged(three, two, one, one, two)


@given(facts, st.permutations(range(3)))
def test_no_fact_stands_after_its_tombstone_in_any_order(steps, order):
    parts = [steps, [("bury", "a", 2, None)], [("take", "a", 2, EntrySet(HANDS, 0, 9, 0, 0.0, ()))]]
    found = merged(*[parts[place] for place in order])
    assert all(version[0] > 2 for (teller, _), (version, _) in found.items() if teller == "a")


def test_of_one_version_the_greater_age_holds():
    store = Store()
    for age in (3, 5, 1):
        store.take(10, "a", 1, EntrySet(HANDS, 0, 1, age, 0.0, ()))
    young = Store()
    young.take(10, "a", 1, EntrySet(HANDS, 0, 1, 5, 0.0, ()))
    assert store.tellers["a"][HANDS, 0].seen == young.tellers["a"][HANDS, 0].seen


figure = st.floats(0, 1e6)
number = st.integers(0, 2**32 - 1)
pages = st.one_of(
    st.builds(
        EntrySet,
        st.sampled_from((HANDS, ROOM)),
        st.just(0),
        number,
        st.integers(0, LIFE[HANDS]),
        figure,
        st.lists(st.tuples(number, figure), max_size=MOST[HANDS]).map(tuple),
    ),
    st.builds(
        EntrySet,
        st.just(DEMAND),
        st.just(0),
        number,
        st.integers(0, LIFE[DEMAND]),
        st.floats(0, 1e4),
        st.lists(
            st.tuples(number, st.integers(0, 255), st.floats(0, 1e4), st.floats(0, 1e4)),
            max_size=MOST[DEMAND],
        ).map(tuple),
    ),
    st.builds(
        EntrySet,
        st.just(WARM),
        st.integers(0, 7),
        number,
        st.integers(0, LIFE[WARM]),
        st.just(0.0),
        st.lists(st.tuples(number, number, st.integers(0, LIFE[WARM])), max_size=MOST[WARM]).map(tuple),
    ),
)


@given(st.integers(1, 1 << 48), st.lists(pages, max_size=2))
def test_words_come_back_within_the_scale_and_ages_never_younger(incarnation, told):
    data = encode(GossipMessage(incarnation, tuple(told)))
    back = decode(data)
    assert len(data) <= 1100 and back.incarnation == incarnation
    for one, other in zip(told, back.pages, strict=True):
        assert one[:3] == other[:3] and one.age <= other.age <= one.age + 10_000_000
        for before, after in zip(one.entries, other.entries, strict=True):
            if one.kind == WARM:
                assert before[:2] == after[:2] and before[2] <= after[2] <= before[2] + 10_000_000
            else:
                place = 2 if one.kind == DEMAND else 1
                assert before[:place] == after[:place]
                # half a step of the scale, which counts from 1 task, of demand from a hundredth a second
                unit = 0.01 if one.kind == DEMAND else 1.0
                assert abs(after[place] - before[place]) <= 0.04 * (before[place] + unit)


@given(st.binary(max_size=300))
def test_noise_is_none_or_a_word(data):
    word = decode(data)
    assert word is None or encode(word)


@pytest.mark.parametrize(
    "break_it",
    [
        lambda data: data[:-1],
        lambda data: data + b"x",
        lambda data: b"\x02" + data[1:],
        lambda data: b"",
        lambda data: data[:9] + b"\xff" + data[10:],
        lambda data: data[:10] + b"\x09" + data[11:],
        lambda data: b"\0" * 65536,
        lambda data: data[:19] + b"\xff\xff" + data[21:],
    ],
)
def test_what_is_not_wholly_a_word_is_none(break_it):
    data = encode(GossipMessage(1, (EntrySet(HANDS, 0, 1, 0, 0.0, ((1, 1.0),)),)))
    assert decode(data) is not None and decode(break_it(data)) is None


def test_whole_tasks_in_hand_stay_nearly_whole():
    assert all(abs(SCALE[code(tasks)] - tasks) <= 0.03 * (tasks + 1) for tasks in range(2000))
    assert SCALE[code(0)] == 0 and SCALE[code(1)] == 1


def test_a_membership_that_knows_no_weak_word_passes_it_over():
    from gaproute.peers import word_pb2

    assert decode_word(word_pb2.Word(version=1, kind=6, weak=b"x").SerializeToString()) is None
