"""The encoding of gossip messages: compact, and strict about invalid bytes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from gaproute.peers import datagram_pb2
from gaproute.peers.gossip import decode, encode
from gaproute.peers.gossip.wire import amount_code
from gaproute.peers.membership_wire import decode_message as decode_membership
from gaproute.shared.gossip import EntryKind, EntrySet, GossipMessage
from gaproute.shared.gossip.messages import (
    AMOUNT_SCALE,
    KIND_LIMITS,
    WARM_PARTITIONS,
    DemandEntry,
    HostEntry,
    WarmInstanceEntry,
)

IN_FLIGHT, DEMAND, WARM = EntryKind.IN_FLIGHT, EntryKind.DEMAND, EntryKind.WARM_INSTANCES
HOST_KINDS = (EntryKind.IN_FLIGHT, EntryKind.AVAILABLE_CAPACITY)
HOST_LIMITS, DEMAND_LIMITS, WARM_LIMITS = KIND_LIMITS[IN_FLIGHT], KIND_LIMITS[DEMAND], KIND_LIMITS[WARM]

amounts = st.floats(0, 1e6)
uint32 = st.integers(0, 2**32 - 1)
entry_sets = st.one_of(
    st.builds(
        EntrySet,
        st.sampled_from(HOST_KINDS),
        st.just(0),
        uint32,
        st.integers(0, HOST_LIMITS.max_age),
        amounts,
        st.lists(st.builds(HostEntry, uint32, amounts), max_size=HOST_LIMITS.max_entries).map(tuple),
    ),
    st.builds(
        EntrySet,
        st.just(DEMAND),
        st.just(0),
        uint32,
        st.integers(0, DEMAND_LIMITS.max_age),
        st.floats(0, 1e4),
        st.lists(
            st.builds(DemandEntry, uint32, st.integers(0, 255), st.floats(0, 1e4), st.floats(0, 1e4)),
            max_size=DEMAND_LIMITS.max_entries,
        ).map(tuple),
    ),
    st.builds(
        EntrySet,
        st.just(WARM),
        st.integers(0, WARM_PARTITIONS - 1),
        uint32,
        st.integers(0, WARM_LIMITS.max_age),
        st.just(0.0),
        st.lists(
            st.builds(WarmInstanceEntry, uint32, uint32, st.integers(0, WARM_LIMITS.max_age)),
            max_size=WARM_LIMITS.max_entries,
        ).map(tuple),
    ),
)


@given(st.integers(1, 1 << 48), st.lists(entry_sets, max_size=2))
def test_a_decoded_message_has_amounts_within_the_scale_and_no_smaller_ages(incarnation, sets):
    data = encode(GossipMessage(incarnation, tuple(sets)))
    decoded = decode(data)
    assert len(data) <= 1100
    assert decoded.incarnation == incarnation
    for sent, received in zip(sets, decoded.sets, strict=True):
        assert sent[:3] == received[:3]
        assert sent.age <= received.age <= sent.age + 10_000_000
        for before, after in zip(sent.entries, received.entries, strict=True):
            if sent.kind == WARM:
                assert before[:2] == after[:2]
                assert before[2] <= after[2] <= before[2] + 10_000_000
            else:
                position = 2 if sent.kind == DEMAND else 1
                assert before[:position] == after[:position]
                # Half a step of the scale; its unit is 1 request, or 0.01 arrivals per second of demand
                unit = 0.01 if sent.kind == DEMAND else 1.0
                assert abs(after[position] - before[position]) <= 0.04 * (before[position] + unit)


@given(st.binary(max_size=300))
def test_random_bytes_decode_to_none_or_a_message(data):
    message = decode(data)
    assert message is None or encode(message)


@pytest.mark.parametrize(
    "corrupt",
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
def test_corrupted_bytes_decode_to_none(corrupt):
    data = encode(GossipMessage(1, (EntrySet(IN_FLIGHT, 0, 1, 0, 0.0, (HostEntry(1, 1.0),)),)))
    assert decode(data) is not None
    assert decode(corrupt(data)) is None


def test_counts_of_requests_in_flight_are_decoded_within_three_percent():
    for requests in range(2000):
        decoded = AMOUNT_SCALE[amount_code(requests)]
        assert abs(decoded - requests) <= 0.03 * (requests + 1)
    assert AMOUNT_SCALE[amount_code(0)] == 0
    assert AMOUNT_SCALE[amount_code(1)] == 1


def test_the_membership_decoder_ignores_gossip_messages():
    assert decode_membership(datagram_pb2.Word(version=1, kind=6, weak=b"x").SerializeToString()) is None
