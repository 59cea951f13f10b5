"""Gossip between gateways on a clock of the test's own, and what cannot be believed."""

import random

import pytest

from gaproute.decisions.chance import Chance
from gaproute.shared.gossip import EntryKind, EntrySet, GossipMessage, GossipNode
from gaproute.shared.gossip.invariants import (
    ObservationTimesNeverRise,
    check,
    message_has_only_local_observations,
)
from gaproute.shared.gossip.messages import (
    KIND_LIMITS,
    MAX_INCARNATION,
    WARM_PARTITIONS,
    DemandEntry,
    HostEntry,
    WarmInstanceEntry,
    name_key,
)
from gaproute.shared.gossip.node import SENDER_BURST_MESSAGES
from gaproute.shared.gossip.scheduler import DEFAULT_BYTES_PER_SECOND
from gaproute.shared.gossip.table import Tombstone
from gaproute.shared.token_bucket import TokenBucket
from gaproute.units import SECOND

IN_FLIGHT, DEMAND, WARM = EntryKind.IN_FLIGHT, EntryKind.DEMAND, EntryKind.WARM_INSTANCES


def make_node(name="me", peers=("a", "b", "c"), hosts=("h1", "h2")):
    made = GossipNode(name, 1, Chance(7), 0)
    made.set_peers(0, peers)
    made.set_hosts(0, dict.fromkeys(hosts, 1))
    return made


def fleet(names):
    return {name: make_node(name, [other for other in names if other != name]) for name in names}


def run(nodes, now, until, lost=lambda sender, to: False):
    """Turns all until then, each with ten requests a second; returns the messages sent."""
    messages, ages = [], {name: ObservationTimesNeverRise() for name in nodes}
    while now < until:
        now += SECOND // 50
        for name, node in nodes.items():
            if now % (SECOND // 10) == 0:
                node.record_arrival(now, "f", 1)
            for to, message in node.tick(now) if now >= node.due else ():
                assert not list(message_has_only_local_observations(node, message))
                messages.append((name, to, message))
                if to in nodes and not lost(name, to):
                    nodes[to].receive(now, name, message)
        for name, node in nodes.items():
            assert check(node, thorough=True) == []
            assert not list(ages[name](node))
    return messages


def in_flight(sequence, *entries, age=0, remainder=0.0, incarnation=1):
    entries = tuple(HostEntry(*entry) for entry in entries)
    return GossipMessage(incarnation, (EntrySet(IN_FLIGHT, 0, sequence, age, remainder, entries),))


def test_requests_in_flight_demand_and_warm_instances_of_all_are_read_by_each():
    nodes = fleet("abcd")
    for number, node in enumerate(nodes.values()):
        node.record_in_flight("h1", number + 1)
        node.record_available_capacity("h2", number)
        node.record_warm_instance(20 * SECOND, "h1", "f")
    run(nodes, 20 * SECOND, 40 * SECOND)
    estimate = nodes["a"].in_flight(40 * SECOND, "h1")
    assert estimate[:4] == (1, 9, 3, 3)  # local, received, origins, peers
    assert 0 < estimate.age < 2 * SECOND
    assert nodes["a"].demand(40 * SECOND, "f", 1).total == pytest.approx(40, rel=0.2)
    assert nodes["b"].available_capacity(40 * SECOND, "h2")[:2] == (1.5, 4)
    age, origins = nodes["b"].warm_instances(40 * SECOND, "f")["h1"]
    assert age >= 20 * SECOND
    assert sorted(origins) == ["a", "b", "c", "d"]


def test_a_sum_is_scaled_by_the_share_that_was_heard():
    made = make_node()
    made.receive(0, "a", in_flight(1, (name_key("h1"), 4.0)))
    assert made.in_flight(SECOND, "h1").total == 12
    assert made.in_flight(SECOND, "h1").origin_count == 1


def test_nothing_heard_leaves_what_is_seen_here():
    made = make_node()
    made.record_in_flight("h1", 3)
    assert made.in_flight(0, "h1").total == 3
    assert made.available_capacity(0, "h1") is None
    assert made.warm_instances(0, "f") == {}


def test_what_was_received_expires():
    made = make_node()
    made.receive(0, "a", in_flight(1, (name_key("h1"), 4.0)))
    assert made.in_flight(KIND_LIMITS[IN_FLIGHT].max_age - SECOND, "h1").received == 4
    assert made.in_flight(KIND_LIMITS[IN_FLIGHT].max_age + SECOND, "h1").origin_count == 0


def test_an_age_received_counts_against_the_maximum_and_is_read():
    made = make_node()
    made.receive(0, "a", in_flight(1, (name_key("h1"), 4.0), age=10 * SECOND))
    assert made.in_flight(0, "h1").age >= 10 * SECOND
    assert made.in_flight(6 * SECOND, "h1").origin_count == 0


def test_a_peer_that_went_counts_again_only_under_a_higher_incarnation():
    made = make_node()
    made.receive(0, "a", in_flight(5, (name_key("h1"), 4.0)))
    made.set_peers(1, ["b", "c"])
    assert made.receive(2, "a", in_flight(6, (name_key("h1"), 4.0))) == 0
    assert made.table.rejections["stranger"] == 1
    made.set_peers(3, ["a", "b", "c"])
    assert made.receive(4, "a", in_flight(7, (name_key("h1"), 4.0))) == 0
    assert made.table.rejections["buried"] == 1
    assert made.receive(5, "a", in_flight(1, (name_key("h1"), 4.0), incarnation=2)) == 1
    assert check(made, thorough=True) == []


def test_what_was_seen_of_a_host_before_it_restarted_is_void_here_and_from_others():
    made = make_node()
    made.receive(0, "a", in_flight(1, (name_key("h1"), 4.0)))
    entries = (WarmInstanceEntry(name_key("h1"), name_key("f"), 0),)
    instances = EntrySet(WARM, name_key("f") % WARM_PARTITIONS, 1, 0, 0.0, entries)
    made.receive(0, "b", GossipMessage(1, (instances,)))
    made.record_warm_instance(0, "h1", "f")
    assert made.warm_instances(0, "f")["h1"][1] == ("me", "b")
    made.set_hosts(SECOND, {"h1": 2, "h2": 1})
    assert made.in_flight(2 * SECOND, "h1").received == 0
    assert made.warm_instances(2 * SECOND, "f") == {}
    made.receive(3 * SECOND, "a", in_flight(2, (name_key("h1"), 5.0)))
    assert made.in_flight(4 * SECOND, "h1").received == 5


def test_hosts_never_listed_are_never_read():
    made = make_node()
    made.receive(0, "a", in_flight(1, (name_key("ghost"), 4.0)))
    assert made.in_flight(0, "ghost").received == 0


@pytest.mark.parametrize("liars", [1, 2])
def test_a_gateway_that_sends_nonsense_weighs_a_bounded_share(liars):
    made = make_node(peers=[f"p{number}" for number in range(10)])
    for number in range(10):
        figure = 1e6 if number < liars else 5.0
        made.receive(0, f"p{number}", in_flight(1, (name_key("h1"), figure)))
    assert 50 - 5 * liars <= made.in_flight(0, "h1").total <= 50 + liars * 20
    assert made.status(0)["clipped"] == liars


def test_one_liar_of_three_does_not_move_the_bound():
    made = make_node(peers=["a", "b"])
    made.record_in_flight("h1", 10)
    made.receive(0, "a", in_flight(1, (name_key("h1"), 1e6)))
    made.receive(0, "b", in_flight(1, (name_key("h1"), 10.0)))
    assert made.in_flight(0, "h1").total <= 60


@pytest.mark.parametrize(
    ("entries", "reason"),
    [
        (EntrySet(IN_FLIGHT, 0, 1, 16 * SECOND, 0.0, ()), "old"),
        (EntrySet(IN_FLIGHT, 0, 1, -1, 0.0, ()), "absurd"),
        (EntrySet(IN_FLIGHT, 1, 1, 0, 0.0, ()), "absurd"),
        (EntrySet(9, 0, 1, 0, 0.0, ()), "absurd"),
        (EntrySet(IN_FLIGHT, 0, 1, 0, 0.0, (HostEntry(1, -4.0),)), "absurd"),
        (EntrySet(IN_FLIGHT, 0, 1, 0, float("nan"), ()), "absurd"),
        (EntrySet(DEMAND, 0, 1, 0, 0.0, (DemandEntry(1, 0, float("inf"), 0.0),)), "absurd"),
        (EntrySet(IN_FLIGHT, 0, -1, 0, 0.0, ()), "absurd"),
        (EntrySet(WARM, 0, 1, 0, 0.0, (WarmInstanceEntry(1, 2, -5),)), "absurd"),
        (EntrySet(IN_FLIGHT, 0, 1, 0, 0.0, (HostEntry(1, 1.0),) * 65), "large"),
    ],
)
def test_a_set_that_cannot_be_is_rejected_by_its_reason(entries, reason):
    made = make_node()
    assert made.receive(0, "a", GossipMessage(1, (entries,))) == 0
    assert made.table.rejections == {reason: 1}
    assert made.table.received_sets.get("a", {}) == {}


@pytest.mark.parametrize("incarnation", [0, -3, MAX_INCARNATION + 1])
def test_an_incarnation_that_cannot_be_is_rejected(incarnation):
    made = make_node()
    made.receive(0, "a", in_flight(1, incarnation=incarnation))
    assert made.table.rejections["absurd"] == 1


def test_a_flood_is_cut_by_sender_before_it_is_decoded():
    made, decoded = make_node(), []
    for number in range(1000):
        made.receive_encoded(
            0, "a", lambda number=number: decoded.append(number) or in_flight(number + 1, (1, 1.0))
        )
    assert len(decoded) == SENDER_BURST_MESSAGES
    assert made.table.rejections["flood"] == 1000 - SENDER_BURST_MESSAGES
    assert made.receive(0, "b", in_flight(1, (1, 1.0))) == 1
    made.receive_encoded(0, "stranger", lambda: decoded.append("stranger"))
    assert "stranger" not in decoded
    assert made.table.rejections["stranger"] == 1
    assert made.receive_encoded(0, "b", lambda: None) == 0
    assert made.table.rejections["nonsense"] == 1


def test_a_million_functions_and_many_hosts_leave_bounded_maps():
    made = make_node()
    for number in range(20_000):
        made.record_arrival(number * SECOND // 4000, f"f{number}", 0)
        made.record_in_flight(f"x{number}", 1)
        made.record_warm_instance(0, "h1", f"f{number}")
    assert check(made) == []
    assert made.local_observations.arrivals.total_rate() == pytest.approx(4000, rel=0.2)
    assert [len(bucket.counts) for bucket in made.local_observations.arrivals.buckets] == [4096, 4096]
    demand = made.local_entry_sets.get(6 * SECOND, DEMAND)
    assert made.local_entry_sets.get(6 * SECOND + 7, DEMAND) == demand._replace(age=7)
    assert len(demand.entries) == KIND_LIMITS[DEMAND].max_entries
    assert demand.remainder > 1000
    requests = made.local_entry_sets.get(0, IN_FLIGHT)
    assert len(requests.entries) == KIND_LIMITS[IN_FLIGHT].max_entries
    assert requests.remainder > 1000


def test_bytes_sent_do_not_grow_with_the_fleet():
    for size in (50, 400):
        made, now = make_node(peers=[f"p{number}" for number in range(size)]), 0
        for number in range(600):
            made.record_in_flight(f"h{number}", 1)
            made.record_warm_instance(0, f"h{number % 80}", f"f{number}")
        reached = set()
        while now < 30 * SECOND:
            now = made.due
            reached.update(to for to, _ in made.tick(now))
        assert made.scheduler.sent_bytes / 30 <= DEFAULT_BYTES_PER_SECOND * 1.05
        assert len(reached) == min(size, len(reached))
        assert len(reached) == 50 if size == 50 else len(reached) > 150


def test_the_deviation_is_that_of_the_buckets():
    made = make_node()
    for step in range(10):
        made.record_arrival(step * 2 * SECOND, "f", 0, 10 if step % 2 else 30)
    estimate = made.demand(20 * SECOND, "f", 0)
    assert estimate.local == 10
    assert estimate.deviation == pytest.approx(5.27, abs=0.01)


def test_loss_doubling_and_lateness_leave_the_same_sets():
    dice, nodes = random.Random(3), fleet("abc")
    for node in nodes.values():
        node.record_in_flight("h1", 2)
    messages = run(nodes, 0, 10 * SECOND, lambda sender, to: dice.random() < 0.5)
    late = make_node()
    of_a = [message for sender, to, message in messages if sender == "a"] * 2
    dice.shuffle(of_a)
    for number, message in enumerate(of_a):
        late.receive(number * SECOND, "a", message)
    newest = max(each.sequence for message in of_a for each in message.sets if each.kind == IN_FLIGHT)
    assert late.table.received_sets["a"][IN_FLIGHT, 0].version == (1, newest)


def test_a_violation_is_reported():
    made = make_node()
    made.receive(0, "a", in_flight(3, (name_key("h1"), 1.0)))
    made.table.tombstones["a"] = Tombstone(1, 0)
    made.table.received_sets["me"] = {
        (EntryKind.AVAILABLE_CAPACITY, 3): made.table.received_sets["a"][IN_FLIGHT, 0]
    }
    made.sender_limits.update({f"x{number}": TokenBucket(1, 1, 0) for number in range(9)})
    assert len(check(made, thorough=True)) == 5
    assert list(message_has_only_local_observations(made, in_flight(1, (name_key("h1"), 1.0))))
