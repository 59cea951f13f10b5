"""What each fault does to a message, decided without I/O."""

import pytest

from gaproute.cluster import addresses
from gaproute.cluster.links.conditions import AGAIN, HELD, QUEUE, SECOND, NetworkConditions
from gaproute.cluster.links.faults import MILLI
from gaproute.cluster.links.invariants import weather as breaches
from gaproute.decisions.chance import Chance

A, B, C, H = 16, 17, 18, 40
SEATS = {
    A: {"name": "g0", "kind": "gateway", "zone": "z0"},
    B: {"name": "g1", "kind": "gateway", "zone": "z0"},
    C: {"name": "g2", "kind": "gateway", "zone": "z1"},
    H: {"name": "h0", "kind": "host", "zone": "z1"},
}


def made(seed=1, **faults):
    weather = NetworkConditions(seed, Chance)
    weather.seated(SEATS)
    for name, told in faults.items():
        weather.begin(name, told)
    assert not list(breaches(weather))
    return weather


def lands(weather, a, b, now=0, size=100):
    return weather.datagram(a, b, size, now)


def test_addresses_tell_who_calls_whom():
    for a, b in ((16, 16), (16, 4000), (4000, 16), (255, 256), (4000, 4000)):
        assert addresses.of(addresses.between(a, b)) == (a, b)
    assert addresses.between(16, 17) == "127.1.0.17"
    for ip in ("127.0.0.1", "127.0.15.20", "128.1.0.17", "127.1.0.1", "127.255.255.255"):
        with pytest.raises(ValueError):
            addresses.of(ip)
    for a, b in ((15, 20), (20, 15), (4001, 20)):
        with pytest.raises(ValueError):
            addresses.between(a, b)


def test_without_faults_all_passes_at_once():
    weather = made()
    assert lands(weather, A, B, 5) == (5,) and weather.stream(A, B, 9, 5, 0) == 5 and weather.opens(A, B)


def test_a_one_way_cut_is_one_way():
    weather = made(x={"kind": "cut", "from": ["g0"], "to": ["g1"]})
    assert lands(weather, A, B) == () and lands(weather, B, A) == (0,) and lands(weather, A, C) == (0,)
    assert weather.stream(A, B, 9, 0, 0) is HELD and weather.stream(B, A, 9, 0, 0) == 0
    assert not weather.opens(A, B) and not weather.opens(B, A), "a handshake needs both ways"
    weather.end("x")
    assert lands(weather, A, B) == (0,) and weather.stream(A, B, 9, 0, 0) == 0 and weather.opens(A, B)


def test_a_zone_and_a_set_are_cut_off_both_ways():
    weather = made(x={"kind": "cut", "from": ["zone:z0"], "to": ["not:zone:z0"], "both": True})
    cut = {(a, b) for a in SEATS for b in SEATS if a != b and lands(weather, a, b) == ()}
    assert cut == {(A, C), (A, H), (B, C), (B, H), (C, A), (H, A), (C, B), (H, B)}
    weather = made(x={"kind": "cut", "from": ["g1", "hosts"], "to": ["g0", "g2"]})
    cut = {(a, b) for a in SEATS for b in SEATS if lands(weather, a, b) == ()}
    assert cut == {(B, A), (B, C), (H, A), (H, C)}


def test_what_a_fault_lies_on():
    weather = made(x={"kind": "cut", "what": "datagrams"})
    assert lands(weather, A, B) == () and weather.stream(A, B, 9, 0, 0) == 0
    weather = made(x={"kind": "cut", "what": "streams"})
    assert lands(weather, A, B) == (0,) and weather.stream(A, B, 9, 0, 0) is HELD


def test_delay_with_jitter_keeps_the_order():
    weather = made(x={"kind": "delay", "delay_ms": 20, "jitter_ms": 30})
    dues, last = [], 0
    for now in range(0, 200 * MILLI, MILLI):
        last = weather.stream(A, B, 9, now, last)
        dues.append(last)
        assert now + 20 * MILLI <= last
    assert dues == sorted(dues) and dues[-1] < 250 * MILLI and len(set(dues)) > 20
    told = [lands(weather, A, B, now)[0] for now in range(0, 200 * MILLI, MILLI)]
    assert told == sorted(told) and told[0] >= 20 * MILLI


def test_order_outlasts_the_delay():
    weather = made(x={"kind": "delay", "delay_ms": 20})
    assert lands(weather, A, B, 0) == (20 * MILLI,)
    weather.end("x")
    assert lands(weather, A, B, 1) == (20 * MILLI,) and lands(weather, A, B, 20 * MILLI) == (20 * MILLI,)
    assert weather.stream(A, B, 9, 1, 20 * MILLI) == 20 * MILLI


def test_a_limited_pace_queues_and_is_full_after_a_second():
    weather = made(x={"kind": "delay", "bytes_per_s": 1000})
    assert lands(weather, A, B, 0, 500) == (SECOND // 2,) and lands(weather, A, B, 0, 500) == (SECOND,)
    assert lands(weather, A, B, 0, 500) == (SECOND + QUEUE // 2,)
    assert lands(weather, A, B, 0, 500) == () and weather.counts["full"] == 1
    assert lands(weather, A, C, 0, 500) == (SECOND // 2,), "each pair has its own"
    assert weather.stream(A, B, 10_000, 0, 0) == 10 * SECOND, "a stream waits, however long"
    weather.end("x")
    assert not weather.free


def test_only_datagrams_are_reordered_and_doubled():
    weather = made(x={"kind": "reorder", "share": 0.5}, y={"kind": "double", "share": 0.25})
    got = [lands(weather, A, B, now) for now in range(0, 1000 * MILLI, MILLI)]
    dues = [due[0] for due in got]
    assert dues != sorted(dues)
    assert (
        400
        <= sum(due - now == 10 * MILLI for due, now in zip(dues, range(0, 1000 * MILLI, MILLI), strict=True))
        <= 600
    )
    assert 200 <= sum(len(due) == 2 for due in got) <= 300
    assert [weather.stream(A, B, 9, now, 0) for now in range(50)] == list(range(50))


def test_lost_shares_are_kept_and_streams_wait_for_what_is_sent_again():
    weather = made(x={"kind": "lose", "share": 0.1})
    lost = sum(lands(weather, A, B, now) == () for now in range(10_000))
    assert 900 <= lost <= 1100 and weather.counts["lost"] == lost
    waits = [weather.stream(A, B, 9, 0, 0) for _ in range(10_000)]
    assert {0, AGAIN, 3 * AGAIN} <= set(waits) <= {0, AGAIN, 3 * AGAIN, 7 * AGAIN, 15 * AGAIN, 31 * AGAIN}
    assert 900 <= sum(wait > 0 for wait in waits) <= 1100 and 60 <= sum(wait > AGAIN for wait in waits) <= 140
    weather.begin("x", {"kind": "lose"})
    assert weather.stream(A, B, 9, 0, 0) == 63 * AGAIN, "even then it ends"


def test_the_same_seed_decides_the_same_whoever_else_asks():
    def play(seed, others):
        weather = made(
            seed, x={"kind": "lose", "share": 0.3}, y={"kind": "delay", "jitter_ms": 5, "what": "datagrams"}
        )
        got = []
        for now in range(300):
            got.append(lands(weather, A, B, now * MILLI))
            if others:  # traffic of other pairs and sorts, served by the same wire
                lands(weather, B, A), lands(weather, A, H), weather.stream(A, B, 9, 0, 0)
        return got

    assert play(7, False) == play(7, True)
    assert play(7, False) != play(8, False)


def test_pairs_draw_apart():
    weather = made(x={"kind": "lose", "share": 0.5})
    drawn = [[lands(weather, a, b) == () for _ in range(200)] for a, b in ((A, B), (A, C), (B, A), (B, C))]
    for one in range(4):
        for two in range(one):
            assert 60 < sum(x == y for x, y in zip(drawn[one], drawn[two], strict=True)) < 140


def test_hold_keeps_all_and_reset_takes_standing_ones():
    weather = made(x={"kind": "hold", "from": ["hosts"]})
    assert lands(weather, H, A) is HELD and weather.stream(H, A, 9, 0, 0) is HELD
    assert lands(weather, A, H) == (0,)
    weather.end("x")
    assert lands(weather, H, A) == (0,)
    weather.begin("y", {"kind": "reset", "from": ["g0"], "to": ["h0"]})
    assert weather.resets("y", A, H) and weather.resets("y", H, A) and not weather.resets("y", B, H)
    assert lands(weather, A, H) == (0,) and weather.opens(A, H)
    weather.begin("z", {"kind": "reset", "share": 0.5})
    assert 60 < sum(weather.resets("z", A, H) for _ in range(200)) < 140


def test_a_seat_that_comes_later_is_under_the_faults_that_are_on():
    weather = made(x={"kind": "cut", "from": ["zone:z1"], "to": ["gateways"]})
    assert lands(weather, 41, A) == (0,)
    weather.seated({41: {"name": "h1", "kind": "host", "zone": "z1"}})
    assert lands(weather, 41, A) == () and lands(weather, A, 41) == (0,)


@pytest.mark.parametrize(
    "told",
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
def test_a_slip_in_a_fault_changes_nothing(told):
    weather = made()
    with pytest.raises(ValueError):
        weather.begin("x", told)
    assert not weather.faults and not weather.told and lands(weather, A, B) == (0,)


@pytest.mark.parametrize(
    "number, told",
    [
        (15, SEATS[A]),
        (4001, SEATS[A]),
        (50, {}),
        (50, []),
        (A, {"name": "g9"}),
        (50, {"name": "x", "tcp": "nowhere"}),
        (50, {"name": "x", "udp": "[::1]:5"}),
    ],
)
def test_a_slip_in_a_seat_changes_nothing(number, told):
    weather = made(x={"kind": "cut", "from": ["g0"]})
    seats = dict(weather.seats)
    with pytest.raises(ValueError):
        weather.seated({51: SEATS[B], number: told})
    assert weather.seats == seats and lands(weather, A, B) == ()
    with pytest.raises(ValueError):
        weather.end("y")
