"""Gossip between gateways on a simulated clock, and the rejection of invalid messages."""

import random

import pytest

from gaproute.decisions.chance import RandomGenerator
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
    node = GossipNode(name, 1, RandomGenerator(7), 0)
    node.set_peers(0, peers)
    node.set_hosts(0, dict.fromkeys(hosts, 1))
    return node


def make_fleet(names):
    return {name: make_node(name, [other for other in names if other != name]) for name in names}


def run(nodes, now, until, is_lost=lambda sender, receiver: False):
    """Runs all nodes until that time, each with ten arrivals per second.

    Returns (sender, receiver, message) for each sent message.
    """
    messages, time_checks = [], {name: ObservationTimesNeverRise() for name in nodes}
    while now < until:
        now += SECOND // 50
        for name, node in nodes.items():
            if now % (SECOND // 10) == 0:
                node.record_arrival(now, "f", 1)
            for receiver, message in node.tick(now) if now >= node.due else ():
                assert not list(message_has_only_local_observations(node, message))
                messages.append((name, receiver, message))
                if receiver in nodes and not is_lost(name, receiver):
                    nodes[receiver].receive(now, name, message)
        for name, node in nodes.items():
            assert check(node, thorough=True) == []
            assert not list(time_checks[name](node))
    return messages


def in_flight(sequence, *entries, age=0, remainder=0.0, incarnation=1):
    entries = tuple(HostEntry(*entry) for entry in entries)
    return GossipMessage(incarnation, (EntrySet(IN_FLIGHT, 0, sequence, age, remainder, entries),))


def test_each_gateway_estimates_from_the_observations_of_all_gateways():
    nodes = make_fleet("abcd")
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


def test_a_sum_of_received_sets_is_scaled_up_to_all_peers():
    node = make_node()
    node.receive(0, "a", in_flight(1, (name_key("h1"), 4.0)))
    assert node.in_flight(SECOND, "h1").total == 12
    assert node.in_flight(SECOND, "h1").origin_count == 1


def test_without_received_sets_estimates_are_the_local_observations():
    node = make_node()
    node.record_in_flight("h1", 3)
    assert node.in_flight(0, "h1").total == 3
    assert node.available_capacity(0, "h1") is None
    assert node.warm_instances(0, "f") == {}


def test_a_received_set_expires():
    node = make_node()
    node.receive(0, "a", in_flight(1, (name_key("h1"), 4.0)))
    assert node.in_flight(KIND_LIMITS[IN_FLIGHT].max_age - SECOND, "h1").received == 4
    assert node.in_flight(KIND_LIMITS[IN_FLIGHT].max_age + SECOND, "h1").origin_count == 0


def test_the_age_in_a_message_counts_towards_expiry_and_shows_in_the_estimate():
    node = make_node()
    node.receive(0, "a", in_flight(1, (name_key("h1"), 4.0), age=10 * SECOND))
    assert node.in_flight(0, "h1").age >= 10 * SECOND
    assert node.in_flight(6 * SECOND, "h1").origin_count == 0


def test_sets_of_a_peer_that_left_count_again_only_with_a_higher_incarnation():
    node = make_node()
    node.receive(0, "a", in_flight(5, (name_key("h1"), 4.0)))
    node.set_peers(1, ["b", "c"])
    assert node.receive(2, "a", in_flight(6, (name_key("h1"), 4.0))) == 0
    assert node.table.rejections["stranger"] == 1
    node.set_peers(3, ["a", "b", "c"])
    assert node.receive(4, "a", in_flight(7, (name_key("h1"), 4.0))) == 0
    assert node.table.rejections["buried"] == 1
    assert node.receive(5, "a", in_flight(1, (name_key("h1"), 4.0), incarnation=2)) == 1
    assert check(node, thorough=True) == []


def test_observations_from_before_the_restart_of_a_host_are_invalid():
    node = make_node()
    node.receive(0, "a", in_flight(1, (name_key("h1"), 4.0)))
    entries = (WarmInstanceEntry(name_key("h1"), name_key("f"), 0),)
    instances = EntrySet(WARM, name_key("f") % WARM_PARTITIONS, 1, 0, 0.0, entries)
    node.receive(0, "b", GossipMessage(1, (instances,)))
    node.record_warm_instance(0, "h1", "f")
    assert node.warm_instances(0, "f")["h1"][1] == ("me", "b")
    node.set_hosts(SECOND, {"h1": 2, "h2": 1})
    assert node.in_flight(2 * SECOND, "h1").received == 0
    assert node.warm_instances(2 * SECOND, "f") == {}
    node.receive(3 * SECOND, "a", in_flight(2, (name_key("h1"), 5.0)))
    assert node.in_flight(4 * SECOND, "h1").received == 5


def test_requests_in_flight_at_an_unlisted_host_do_not_count():
    node = make_node()
    node.receive(0, "a", in_flight(1, (name_key("ghost"), 4.0)))
    assert node.in_flight(0, "ghost").received == 0


@pytest.mark.parametrize("faulty_count", [1, 2])
def test_the_influence_of_gateways_with_absurd_amounts_is_bounded(faulty_count):
    node = make_node(peers=[f"p{number}" for number in range(10)])
    for number in range(10):
        amount = 1e6 if number < faulty_count else 5.0
        node.receive(0, f"p{number}", in_flight(1, (name_key("h1"), amount)))
    assert 50 - 5 * faulty_count <= node.in_flight(0, "h1").total <= 50 + faulty_count * 20
    assert node.status(0)["clipped"] == faulty_count


def test_one_faulty_gateway_of_three_does_not_raise_the_bound():
    node = make_node(peers=["a", "b"])
    node.record_in_flight("h1", 10)
    node.receive(0, "a", in_flight(1, (name_key("h1"), 1e6)))
    node.receive(0, "b", in_flight(1, (name_key("h1"), 10.0)))
    assert node.in_flight(0, "h1").total <= 60


@pytest.mark.parametrize(
    ("entry_set", "reason"),
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
def test_an_invalid_set_is_rejected_and_counted_by_its_reason(entry_set, reason):
    node = make_node()
    assert node.receive(0, "a", GossipMessage(1, (entry_set,))) == 0
    assert node.table.rejections == {reason: 1}
    assert node.table.received_sets.get("a", {}) == {}


@pytest.mark.parametrize("incarnation", [0, -3, MAX_INCARNATION + 1])
def test_an_invalid_incarnation_is_rejected(incarnation):
    node = make_node()
    node.receive(0, "a", in_flight(1, incarnation=incarnation))
    assert node.table.rejections["absurd"] == 1


def test_messages_above_the_rate_of_their_sender_are_not_decoded():
    node, decoded = make_node(), []
    for number in range(1000):
        node.receive_encoded(
            0, "a", lambda number=number: decoded.append(number) or in_flight(number + 1, (1, 1.0))
        )
    assert len(decoded) == SENDER_BURST_MESSAGES
    assert node.table.rejections["flood"] == 1000 - SENDER_BURST_MESSAGES
    assert node.receive(0, "b", in_flight(1, (1, 1.0))) == 1
    node.receive_encoded(0, "stranger", lambda: decoded.append("stranger"))
    assert "stranger" not in decoded
    assert node.table.rejections["stranger"] == 1
    assert node.receive_encoded(0, "b", lambda: None) == 0
    assert node.table.rejections["nonsense"] == 1


def test_many_functions_and_hosts_leave_all_maps_bounded():
    node = make_node()
    for number in range(20_000):
        node.record_arrival(number * SECOND // 4000, f"f{number}", 0)
        node.record_in_flight(f"x{number}", 1)
        node.record_warm_instance(0, "h1", f"f{number}")
    assert check(node) == []
    assert node.local_observations.arrivals.total_rate() == pytest.approx(4000, rel=0.2)
    assert [len(bucket.counts) for bucket in node.local_observations.arrivals.buckets] == [4096, 4096]
    demand = node.local_entry_sets.get(6 * SECOND, DEMAND)
    assert node.local_entry_sets.get(6 * SECOND + 7, DEMAND) == demand._replace(age=7)
    assert len(demand.entries) == KIND_LIMITS[DEMAND].max_entries
    assert demand.remainder > 1000
    in_flight_set = node.local_entry_sets.get(0, IN_FLIGHT)
    assert len(in_flight_set.entries) == KIND_LIMITS[IN_FLIGHT].max_entries
    assert in_flight_set.remainder > 1000


def test_sent_bytes_do_not_grow_with_the_fleet():
    for size in (50, 400):
        node, now = make_node(peers=[f"p{number}" for number in range(size)]), 0
        for number in range(600):
            node.record_in_flight(f"h{number}", 1)
            node.record_warm_instance(0, f"h{number % 80}", f"f{number}")
        reached = set()
        while now < 30 * SECOND:
            now = node.due
            reached.update(receiver for receiver, _ in node.tick(now))
        assert node.scheduler.sent_bytes / 30 <= DEFAULT_BYTES_PER_SECOND * 1.05
        assert len(reached) == min(size, len(reached))
        assert len(reached) == 50 if size == 50 else len(reached) > 150


def test_the_deviation_of_demand_is_that_of_the_bucket_rates():
    node = make_node()
    for step in range(10):
        node.record_arrival(step * 2 * SECOND, "f", 0, 10 if step % 2 else 30)
    estimate = node.demand(20 * SECOND, "f", 0)
    assert estimate.local == 10
    assert estimate.deviation == pytest.approx(5.27, abs=0.01)


def test_lost_repeated_and_late_messages_leave_the_newest_sets():
    chance, nodes = random.Random(3), make_fleet("abc")
    for node in nodes.values():
        node.record_in_flight("h1", 2)
    messages = run(nodes, 0, 10 * SECOND, lambda sender, receiver: chance.random() < 0.5)
    late_node = make_node()
    messages_of_a = [message for sender, _, message in messages if sender == "a"] * 2
    chance.shuffle(messages_of_a)
    for number, message in enumerate(messages_of_a):
        late_node.receive(number * SECOND, "a", message)
    newest = max(
        each.sequence for message in messages_of_a for each in message.sets if each.kind == IN_FLIGHT
    )
    assert late_node.table.received_sets["a"][IN_FLIGHT, 0].version == (1, newest)


def test_each_violation_of_the_invariants_is_reported():
    node = make_node()
    node.receive(0, "a", in_flight(3, (name_key("h1"), 1.0)))
    node.table.tombstones["a"] = Tombstone(1, 0)
    node.table.received_sets["me"] = {
        (EntryKind.AVAILABLE_CAPACITY, 3): node.table.received_sets["a"][IN_FLIGHT, 0]
    }
    node.sender_limits.update({f"x{number}": TokenBucket(1, 1, 0) for number in range(9)})
    assert len(check(node, thorough=True)) == 5
    assert list(message_has_only_local_observations(node, in_flight(1, (name_key("h1"), 1.0))))
