"""The weak word between gateways on a clock of the test's own, and what cannot be believed."""

import random

import pytest

from gaproute.decisions.chance import Chance
from gaproute.shared.gossip import EntrySet, GossipMessage, GossipNode
from gaproute.shared.gossip.invariants import Ages, check, own_alone
from gaproute.shared.gossip.messages import DEMAND, HANDS, HIGHEST, LIFE, MOST, ROOM, SECOND, SLOTS, WARM, key
from gaproute.shared.gossip.node import BURST
from gaproute.shared.gossip.scheduler import RATE


def weak(name="me", peers=("a", "b", "c"), hosts=("h1", "h2")):
    made = GossipNode(name, 1, Chance(7), 0)
    made.peers(0, peers)
    made.listed(0, dict.fromkeys(hosts, 1))
    return made


def fleet(names):
    return {name: weak(name, [other for other in names if other != name]) for name in names}


def run(nodes, now, until, lost=lambda sender, to: False):
    """Turns all until then, each with ten tasks a second; returns the words sent."""
    words, ages = [], {name: Ages() for name in nodes}
    while now < until:
        now += SECOND // 50
        for name, node in nodes.items():
            if now % (SECOND // 10) == 0:
                node.record_arrival(now, "f", 1)
            for to, word in node.tick(now) if now >= node.due else ():
                assert not list(own_alone(node, word))
                words.append((name, to, word))
                if to in nodes and not lost(name, to):
                    nodes[to].hear(now, name, word)
        for name, node in nodes.items():
            assert check(node, True) == [] and not list(ages[name](node))
    return words


def hands(counter, *entries, age=0, rest=0.0, incarnation=1):
    return GossipMessage(incarnation, (EntrySet(HANDS, 0, counter, age, rest, entries),))


def test_tasks_in_hand_demand_and_copies_of_all_are_read_by_each():
    nodes = fleet("abcd")
    for number, node in enumerate(nodes.values()):
        node.record_in_flight(0, "h1", number + 1)
        node.record_available_capacity(0, "h2", number)
        node.record_warm_instance(20 * SECOND, "h1", "f")
    run(nodes, 20 * SECOND, 40 * SECOND)
    told = nodes["a"].hands(40 * SECOND, "h1")
    assert (told.own, told.heard, told.tellers, told.others) == (1, 9, 3, 3) and 0 < told.age < 2 * SECOND
    assert nodes["a"].demand(40 * SECOND, "f", 1).total == pytest.approx(40, rel=0.2)
    assert nodes["b"].room(40 * SECOND, "h2")[:2] == (1.5, 4)
    age, by = nodes["b"].warm(40 * SECOND, "f")["h1"]
    assert age >= 20 * SECOND and sorted(by) == ["a", "b", "c", "d"]


def test_a_sum_is_scaled_by_the_share_that_was_heard():
    made = weak()
    made.hear(0, "a", hands(1, (key("h1"), 4.0)))
    assert made.hands(SECOND, "h1").total == 12 and made.hands(SECOND, "h1").tellers == 1


def test_nothing_heard_leaves_what_is_seen_here():
    made = weak()
    made.record_in_flight(0, "h1", 3)
    assert made.hands(0, "h1").total == 3 and made.room(0, "h1") is None and made.warm(0, "f") == {}


def test_what_was_told_fades():
    made = weak()
    made.hear(0, "a", hands(1, (key("h1"), 4.0)))
    assert made.hands(LIFE[HANDS] - SECOND, "h1").heard == 4
    assert made.hands(LIFE[HANDS] + SECOND, "h1").tellers == 0


def test_an_age_told_counts_against_its_life_and_is_read():
    made = weak()
    made.hear(0, "a", hands(1, (key("h1"), 4.0), age=10 * SECOND))
    assert made.hands(0, "h1").age >= 10 * SECOND and made.hands(6 * SECOND, "h1").tellers == 0


def test_a_teller_that_went_counts_again_only_under_a_higher_incarnation():
    made = weak()
    made.hear(0, "a", hands(5, (key("h1"), 4.0)))
    made.peers(1, ["b", "c"])
    assert made.hear(2, "a", hands(6, (key("h1"), 4.0))) == 0 and made.refused["stranger"] == 1
    made.peers(3, ["a", "b", "c"])
    assert made.hear(4, "a", hands(7, (key("h1"), 4.0))) == 0 and made.store.refused["buried"] == 1
    assert made.hear(5, "a", hands(1, (key("h1"), 4.0), incarnation=2)) == 1
    assert check(made, True) == []


def test_what_was_seen_of_a_host_before_it_restarted_is_void_here_and_from_others():
    made = weak()
    made.hear(0, "a", hands(1, (key("h1"), 4.0)))
    made.hear(
        0,
        "b",
        GossipMessage(1, (EntrySet(WARM, key("f") % SLOTS[WARM], 1, 0, 0.0, ((key("h1"), key("f"), 0),)),)),
    )
    made.record_warm_instance(0, "h1", "f")
    assert made.warm(0, "f")["h1"][1] == ("me", "b")
    made.listed(SECOND, {"h1": 2, "h2": 1})
    assert made.hands(2 * SECOND, "h1").heard == 0 and made.warm(2 * SECOND, "f") == {}
    made.hear(3 * SECOND, "a", hands(2, (key("h1"), 5.0)))
    assert made.hands(4 * SECOND, "h1").heard == 5


def test_hosts_never_listed_are_never_read():
    made = weak()
    made.hear(0, "a", hands(1, (key("ghost"), 4.0)))
    assert made.hands(0, "ghost").heard == 0


@pytest.mark.parametrize("liars", [1, 2])
def test_a_gateway_that_tells_nonsense_weighs_a_bounded_share(liars):
    made = weak(peers=[f"p{number}" for number in range(10)])
    for number in range(10):
        figure = 1e6 if number < liars else 5.0
        made.hear(0, f"p{number}", hands(1, (key("h1"), figure)))
    assert 50 - 5 * liars <= made.hands(0, "h1").total <= 50 + liars * 20
    assert made.status(0)["clipped"] == liars


def test_one_liar_of_three_does_not_move_the_bound():
    made = weak(peers=["a", "b"])
    made.record_in_flight(0, "h1", 10)
    made.hear(0, "a", hands(1, (key("h1"), 1e6)))
    made.hear(0, "b", hands(1, (key("h1"), 10.0)))
    assert made.hands(0, "h1").total <= 60


@pytest.mark.parametrize(
    "page, reason",
    [
        (EntrySet(HANDS, 0, 1, 16 * SECOND, 0.0, ()), "old"),
        (EntrySet(HANDS, 0, 1, -1, 0.0, ()), "absurd"),
        (EntrySet(HANDS, 1, 1, 0, 0.0, ()), "absurd"),
        (EntrySet(9, 0, 1, 0, 0.0, ()), "absurd"),
        (EntrySet(HANDS, 0, 1, 0, 0.0, ((1, -4.0),)), "absurd"),
        (EntrySet(HANDS, 0, 1, 0, float("nan"), ()), "absurd"),
        (EntrySet(DEMAND, 0, 1, 0, 0.0, ((1, 0, float("inf"), 0.0),)), "absurd"),
        (EntrySet(HANDS, 0, -1, 0, 0.0, ()), "absurd"),
        (EntrySet(WARM, 0, 1, 0, 0.0, ((1, 2, -5),)), "absurd"),
        (EntrySet(HANDS, 0, 1, 0, 0.0, ((1, 1.0),) * 65), "large"),
    ],
)
def test_a_page_that_cannot_be_is_refused_by_its_reason(page, reason):
    made = weak()
    assert made.hear(0, "a", GossipMessage(1, (page,))) == 0
    assert made.store.refused == {reason: 1} and made.store.tellers.get("a", {}) == {}


@pytest.mark.parametrize("incarnation", [0, -3, HIGHEST + 1])
def test_an_incarnation_that_cannot_be_is_refused(incarnation):
    made = weak()
    made.hear(0, "a", hands(1, incarnation=incarnation))
    assert made.store.refused["absurd"] == 1


def test_a_flood_is_cut_by_sender_before_it_is_decoded():
    made, decoded = weak(), []
    for number in range(1000):
        made.hear(0, "a", lambda number=number: decoded.append(number) or hands(number + 1, (1, 1.0)))
    assert len(decoded) == BURST and made.refused["flood"] == 1000 - BURST
    assert made.hear(0, "b", hands(1, (1, 1.0))) == 1
    made.hear(0, "stranger", lambda: decoded.append("stranger"))
    assert "stranger" not in decoded and made.refused["stranger"] == 1
    assert made.hear(0, "b", lambda: None) == 0 and made.refused["nonsense"] == 1


def test_a_million_functions_and_many_hosts_leave_bounded_maps():
    made = weak()
    for number in range(20_000):
        made.record_arrival(number * SECOND // 4000, f"f{number}", 0)
        made.record_in_flight(0, f"x{number}", 1)
        made.record_warm_instance(0, "h1", f"f{number}")
    assert check(made) == [] and made.own.arrivals.total() == pytest.approx(4000, rel=0.2)
    assert [len(bucket.counts) for bucket in made.own.arrivals.past] == [4096, 4096]
    page = made.own.page(6 * SECOND, DEMAND)
    assert made.own.page(6 * SECOND + 7, DEMAND) == page._replace(age=7)
    assert len(page.entries) == MOST[DEMAND] and page.rest > 1000
    assert len(made.own.page(0, HANDS).entries) == MOST[HANDS] and made.own.page(0, HANDS).rest > 1000


def test_bytes_told_do_not_grow_with_the_fleet():
    for size in (50, 400):
        made, now = weak(peers=[f"p{number}" for number in range(size)]), 0
        for number in range(600):
            made.record_in_flight(0, f"h{number}", 1)
            made.record_warm_instance(0, f"h{number % 80}", f"f{number}")
        reached = set()
        while now < 30 * SECOND:
            now = made.due
            reached.update(to for to, _ in made.tick(now))
        assert made.told.bytes / 30 <= RATE * 1.05 and len(reached) == min(size, len(reached))
        assert len(reached) == 50 if size == 50 else len(reached) > 150


def test_spread_is_that_of_the_steps():
    made = weak()
    for step in range(10):
        made.record_arrival(step * 2 * SECOND, "f", 0, 10 if step % 2 else 30)
    told = made.demand(20 * SECOND, "f", 0)
    assert told.own == 10 and told.spread == pytest.approx(5.27, abs=0.01)


def test_loss_doubling_and_lateness_leave_the_same_facts():
    dice, nodes = random.Random(3), fleet("abc")
    for node in nodes.values():
        node.record_in_flight(0, "h1", 2)
    words = run(nodes, 0, 10 * SECOND, lambda sender, to: dice.random() < 0.5)
    late = weak()
    mine = [(sender, word) for sender, to, word in words if sender == "a"] * 2
    dice.shuffle(mine)
    for place, (sender, word) in enumerate(mine):
        late.hear(place * SECOND, sender, word)
    newest = max(page.counter for _, word in mine for page in word.pages if page.kind == HANDS)
    assert late.store.tellers["a"][HANDS, 0].version == (1, newest)


def test_a_breach_is_told():
    made = weak()
    made.hear(0, "a", hands(3, (key("h1"), 1.0)))
    made.store.tombs["a"] = (1, 0)
    made.store.tellers["me"] = {(ROOM, 3): made.store.tellers["a"][HANDS, 0]}
    made.purses.update({f"x{number}": (1, 0) for number in range(9)})
    assert len(check(made, True)) == 5
    assert list(own_alone(made, hands(1, (key("h1"), 1.0))))
