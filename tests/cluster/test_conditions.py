"""What each fault does to a message, decided without I/O."""

import pytest

from gaproute.cluster.addresses import Link, LinkAddressError, link_address, link_of_address
from gaproute.cluster.links.codec import decode_fault, decode_slots
from gaproute.cluster.links.conditions import RETRANSMISSION_TIMEOUT, NetworkConditions
from gaproute.cluster.links.errors import LinkCommandError
from gaproute.cluster.links.invariants import check_conditions
from gaproute.cluster.links.rate_queues import MAX_QUEUE_TIME
from gaproute.decisions.chance import RandomGenerator
from gaproute.units import MILLI, SECOND

A, B, C, H = 16, 17, 18, 40
SLOTS = {
    A: {"name": "g0", "kind": "gateway", "zone": "z0"},
    B: {"name": "g1", "kind": "gateway", "zone": "z0"},
    C: {"name": "g2", "kind": "gateway", "zone": "z1"},
    H: {"name": "h0", "kind": "host", "zone": "z1"},
}


def place_slots(conditions, slots):
    conditions.place_slots(decode_slots(slots))


def begin(conditions, fault_id, fault):
    conditions.begin_fault(fault_id, decode_fault(fault))


def made(seed=1, **faults):
    conditions = NetworkConditions(seed, RandomGenerator)
    place_slots(conditions, SLOTS)
    for fault_id, fault in faults.items():
        begin(conditions, fault_id, fault)
    assert not list(check_conditions(conditions))
    return conditions


def datagram(conditions, a, b, now=0, size=100):
    """When each copy of a datagram is due; None while it is held back."""
    return conditions.datagram_dues(Link(a, b), size, now)


def stream(conditions, a, b, size, now, not_before):
    """When bytes of a stream are due; None while they are held back."""
    return conditions.stream_due(Link(a, b), size, now=now, not_before=not_before)


def test_addresses_show_who_calls_whom():
    for link in ((16, 16), (16, 4000), (4000, 16), (255, 256), (4000, 4000)):
        assert link_of_address(link_address(*link)) == link
    assert link_address(16, 17) == "127.1.0.17"
    for ip in ("127.0.0.1", "127.0.15.20", "128.1.0.17", "127.1.0.1", "127.255.255.255"):
        with pytest.raises(LinkAddressError):
            link_of_address(ip)
    for a, b in ((15, 20), (20, 15), (4001, 20)):
        with pytest.raises(LinkAddressError):
            link_address(a, b)


def test_without_faults_all_passes_at_once():
    conditions = made()
    assert datagram(conditions, A, B, 5) == (5,)
    assert stream(conditions, A, B, 9, 5, 0) == 5
    assert conditions.can_connect(Link(A, B))


def test_a_one_way_cut_is_one_way():
    conditions = made(x={"kind": "cut", "from": ["g0"], "to": ["g1"]})
    assert datagram(conditions, A, B) == ()
    assert datagram(conditions, B, A) == (0,)
    assert datagram(conditions, A, C) == (0,)
    assert stream(conditions, A, B, 9, 0, 0) is None
    assert stream(conditions, B, A, 9, 0, 0) == 0
    assert not conditions.can_connect(Link(A, B))
    assert not conditions.can_connect(Link(B, A)), "a handshake needs both ways"
    conditions.end_fault("x")
    assert datagram(conditions, A, B) == (0,)
    assert stream(conditions, A, B, 9, 0, 0) == 0
    assert conditions.can_connect(Link(A, B))


def test_a_zone_and_a_set_are_cut_off_both_ways():
    conditions = made(x={"kind": "cut", "from": ["zone:z0"], "to": ["not:zone:z0"], "both": True})
    cut = {(a, b) for a in SLOTS for b in SLOTS if a != b and datagram(conditions, a, b) == ()}
    assert cut == {(A, C), (A, H), (B, C), (B, H), (C, A), (H, A), (C, B), (H, B)}
    conditions = made(x={"kind": "cut", "from": ["g1", "hosts"], "to": ["g0", "g2"]})
    cut = {(a, b) for a in SLOTS for b in SLOTS if datagram(conditions, a, b) == ()}
    assert cut == {(B, A), (B, C), (H, A), (H, C)}


def test_what_a_fault_lies_on():
    conditions = made(x={"kind": "cut", "what": "datagrams"})
    assert datagram(conditions, A, B) == ()
    assert stream(conditions, A, B, 9, 0, 0) == 0
    conditions = made(x={"kind": "cut", "what": "streams"})
    assert datagram(conditions, A, B) == (0,)
    assert stream(conditions, A, B, 9, 0, 0) is None


def test_delay_with_jitter_keeps_the_order():
    conditions = made(x={"kind": "delay", "delay_ms": 20, "jitter_ms": 30})
    dues, last = [], 0
    for now in range(0, 200 * MILLI, MILLI):
        last = stream(conditions, A, B, 9, now, last)
        dues.append(last)
        assert now + 20 * MILLI <= last
    assert dues == sorted(dues)
    assert dues[-1] < 250 * MILLI
    assert len(set(dues)) > 20
    datagrams = [datagram(conditions, A, B, now)[0] for now in range(0, 200 * MILLI, MILLI)]
    assert datagrams == sorted(datagrams)
    assert datagrams[0] >= 20 * MILLI


def test_order_outlasts_the_delay():
    conditions = made(x={"kind": "delay", "delay_ms": 20})
    assert datagram(conditions, A, B, 0) == (20 * MILLI,)
    conditions.end_fault("x")
    assert datagram(conditions, A, B, 1) == (20 * MILLI,)
    assert datagram(conditions, A, B, 20 * MILLI) == (20 * MILLI,)
    assert stream(conditions, A, B, 9, 1, 20 * MILLI) == 20 * MILLI


def test_a_limited_rate_queues_and_is_full_after_a_second():
    conditions = made(x={"kind": "delay", "bytes_per_s": 1000})
    assert datagram(conditions, A, B, 0, 500) == (SECOND // 2,)
    assert datagram(conditions, A, B, 0, 500) == (SECOND,)
    assert datagram(conditions, A, B, 0, 500) == (SECOND + MAX_QUEUE_TIME // 2,)
    assert datagram(conditions, A, B, 0, 500) == ()
    assert conditions.counts["full"] == 1
    assert datagram(conditions, A, C, 0, 500) == (SECOND // 2,), "each link has its own"
    assert stream(conditions, A, B, 10_000, 0, 0) == 10 * SECOND, "a stream waits, however long"
    conditions.end_fault("x")
    assert not conditions.rate_queues.free_at


def test_only_datagrams_are_reordered_and_doubled():
    conditions = made(x={"kind": "reorder", "share": 0.5}, y={"kind": "double", "share": 0.25})
    times = range(0, 1000 * MILLI, MILLI)
    got = [datagram(conditions, A, B, now) for now in times]
    dues = [due[0] for due in got]
    assert dues != sorted(dues)
    assert 400 <= sum(due - now == 10 * MILLI for due, now in zip(dues, times, strict=True)) <= 600
    assert 200 <= sum(len(due) == 2 for due in got) <= 300
    assert [stream(conditions, A, B, 9, now, 0) for now in range(50)] == list(range(50))


def test_the_share_of_lost_messages_is_as_set_and_streams_wait_for_retransmissions():
    again = RETRANSMISSION_TIMEOUT
    conditions = made(x={"kind": "lose", "share": 0.1})
    lost = sum(datagram(conditions, A, B, now) == () for now in range(10_000))
    assert 900 <= lost <= 1100
    assert conditions.counts["lost"] == lost
    waits = [stream(conditions, A, B, 9, 0, 0) for _ in range(10_000)]
    assert {0, again, 3 * again} <= set(waits) <= {0, again, 3 * again, 7 * again, 15 * again, 31 * again}
    assert 900 <= sum(wait > 0 for wait in waits) <= 1100
    assert 60 <= sum(wait > again for wait in waits) <= 140
    begin(conditions, "x", {"kind": "lose"})
    assert stream(conditions, A, B, 9, 0, 0) == 63 * again, "even then it ends"


def test_the_same_seed_decides_the_same_whoever_else_asks():
    def play(seed, others):
        conditions = made(
            seed, x={"kind": "lose", "share": 0.3}, y={"kind": "delay", "jitter_ms": 5, "what": "datagrams"}
        )
        got = []
        for now in range(300):
            got.append(datagram(conditions, A, B, now * MILLI))
            if others:  # traffic of other links and sorts, served by the same emulator
                datagram(conditions, B, A)
                datagram(conditions, A, H)
                stream(conditions, A, B, 9, 0, 0)
        return got

    assert play(7, False) == play(7, True)
    assert play(7, False) != play(8, False)


def test_links_draw_apart():
    conditions = made(x={"kind": "lose", "share": 0.5})
    drawn = [
        [datagram(conditions, a, b) == () for _ in range(200)] for a, b in ((A, B), (A, C), (B, A), (B, C))
    ]
    for one in range(4):
        for two in range(one):
            assert 60 < sum(x == y for x, y in zip(drawn[one], drawn[two], strict=True)) < 140


def test_hold_keeps_all_back_and_reset_takes_standing_connections():
    conditions = made(x={"kind": "hold", "from": ["hosts"]})
    assert datagram(conditions, H, A) is None
    assert stream(conditions, H, A, 9, 0, 0) is None
    assert datagram(conditions, A, H) == (0,)
    conditions.end_fault("x")
    assert datagram(conditions, H, A) == (0,)
    begin(conditions, "y", {"kind": "reset", "from": ["g0"], "to": ["h0"]})
    assert conditions.resets("y", Link(A, H))
    assert conditions.resets("y", Link(H, A))
    assert not conditions.resets("y", Link(B, H))
    assert datagram(conditions, A, H) == (0,)
    assert conditions.can_connect(Link(A, H))
    begin(conditions, "z", {"kind": "reset", "share": 0.5})
    assert 60 < sum(conditions.resets("z", Link(A, H)) for _ in range(200)) < 140


def test_a_slot_that_comes_later_is_under_the_faults_that_are_on():
    conditions = made(x={"kind": "cut", "from": ["zone:z1"], "to": ["gateways"]})
    assert datagram(conditions, 41, A) == (0,)
    place_slots(conditions, {41: {"name": "h1", "kind": "host", "zone": "z1"}})
    assert datagram(conditions, 41, A) == ()
    assert datagram(conditions, A, 41) == (0,)


@pytest.mark.parametrize(
    "fault",
    [
        {},
        [],
        {"kind": "rain"},
        {"kind": "cut", "what": "x"},
        {"kind": "cut", "share": 2},
        {"kind": "lose", "share": -1},
        {"kind": "delay", "delay_ms": "5"},
        {"kind": "cut", "from": "g0"},
        {"kind": "cut", "from": ["g9"]},
        {"kind": "cut", "to": ["zone:z9"]},
        {"kind": "cut", "too": ["g0"]},
        {"kind": "delay", "jitter_ms": float("nan")},
    ],
)
def test_a_slip_in_a_fault_changes_nothing(fault):
    conditions = made()
    with pytest.raises(LinkCommandError):
        begin(conditions, "x", fault)
    assert not conditions.faults
    assert not conditions.specs
    assert datagram(conditions, A, B) == (0,)


@pytest.mark.parametrize(
    ("number", "slot"),
    [
        (15, SLOTS[A]),
        (4001, SLOTS[A]),
        (50, {}),
        (50, []),
        (A, {"name": "g9"}),
        (50, {"name": "x", "tcp": "nowhere"}),
        (50, {"name": "x", "udp": "[::1]:5"}),
    ],
)
def test_a_slip_in_a_slot_changes_nothing(number, slot):
    conditions = made(x={"kind": "cut", "from": ["g0"]})
    slots = dict(conditions.slots)
    with pytest.raises(LinkCommandError):
        place_slots(conditions, {51: SLOTS[B], number: slot})
    assert conditions.slots == slots
    assert datagram(conditions, A, B) == ()
    with pytest.raises(LinkCommandError):
        conditions.end_fault("y")
