"""The bytes of gossip: strict and compact."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gaproute.peers import word_pb2
from gaproute.peers.gossip import decode, encode
from gaproute.peers.gossip.wire import amount_code
from gaproute.peers.membership_wire import decode_message as decode_membership
from gaproute.shared.gossip import EntryKind, EntrySet, GossipMessage
from gaproute.shared.gossip.messages import (
    AMOUNT_SCALE,
    LIMITS,
    WARM_PARTITIONS,
    DemandEntry,
    HostEntry,
    WarmInstanceEntry,
)

IN_FLIGHT, DEMAND, WARM = EntryKind.IN_FLIGHT, EntryKind.DEMAND, EntryKind.WARM_INSTANCES
HOST_KINDS = (EntryKind.IN_FLIGHT, EntryKind.AVAILABLE_CAPACITY)
HOST_LIMITS, DEMAND_LIMITS, WARM_LIMITS = LIMITS[IN_FLIGHT], LIMITS[DEMAND], LIMITS[WARM]

figure = st.floats(0, 1e6)
number = st.integers(0, 2**32 - 1)
entry_sets = st.one_of(
    st.builds(
        EntrySet,
        st.sampled_from(HOST_KINDS),
        st.just(0),
        number,
        st.integers(0, HOST_LIMITS.max_age),
        figure,
        st.lists(st.builds(HostEntry, number, figure), max_size=HOST_LIMITS.max_entries).map(tuple),
    ),
    st.builds(
        EntrySet,
        st.just(DEMAND),
        st.just(0),
        number,
        st.integers(0, DEMAND_LIMITS.max_age),
        st.floats(0, 1e4),
        st.lists(
            st.builds(DemandEntry, number, st.integers(0, 255), st.floats(0, 1e4), st.floats(0, 1e4)),
            max_size=DEMAND_LIMITS.max_entries,
        ).map(tuple),
    ),
    st.builds(
        EntrySet,
        st.just(WARM),
        st.integers(0, WARM_PARTITIONS - 1),
        number,
        st.integers(0, WARM_LIMITS.max_age),
        st.just(0.0),
        st.lists(
            st.builds(WarmInstanceEntry, number, number, st.integers(0, WARM_LIMITS.max_age)),
            max_size=WARM_LIMITS.max_entries,
        ).map(tuple),
    ),
)


@given(st.integers(1, 1 << 48), st.lists(entry_sets, max_size=2))
def test_messages_come_back_within_the_scale_and_ages_never_younger(incarnation, sets):
    data = encode(GossipMessage(incarnation, tuple(sets)))
    back = decode(data)
    assert len(data) <= 1100
    assert back.incarnation == incarnation
    for one, other in zip(sets, back.sets, strict=True):
        assert one[:3] == other[:3]
        assert one.age <= other.age <= one.age + 10_000_000
        for before, after in zip(one.entries, other.entries, strict=True):
            if one.kind == WARM:
                assert before[:2] == after[:2]
                assert before[2] <= after[2] <= before[2] + 10_000_000
            else:
                position = 2 if one.kind == DEMAND else 1
                assert before[:position] == after[:position]
                # half a step of the scale, which counts from 1 request, of demand from a hundredth a second
                unit = 0.01 if one.kind == DEMAND else 1.0
                assert abs(after[position] - before[position]) <= 0.04 * (before[position] + unit)


@given(st.binary(max_size=300))
def test_noise_is_none_or_a_message(data):
    message = decode(data)
    assert message is None or encode(message)


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
def test_what_is_not_wholly_a_message_is_none(break_it):
    data = encode(GossipMessage(1, (EntrySet(IN_FLIGHT, 0, 1, 0, 0.0, (HostEntry(1, 1.0),)),)))
    assert decode(data) is not None
    assert decode(break_it(data)) is None


def test_whole_requests_in_flight_stay_nearly_whole():
    for requests in range(2000):
        decoded = AMOUNT_SCALE[amount_code(requests)]
        assert abs(decoded - requests) <= 0.03 * (requests + 1)
    assert AMOUNT_SCALE[amount_code(0)] == 0
    assert AMOUNT_SCALE[amount_code(1)] == 1


def test_a_membership_that_knows_no_gossip_passes_it_over():
    assert decode_membership(word_pb2.Word(version=1, kind=6, weak=b"x").SerializeToString()) is None
