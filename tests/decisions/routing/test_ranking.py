"""Ranks of hosts for a function, made only as deep as asked for, against the whole order made plainly."""

from copy import copy
from hashlib import blake2b

from helpers import SECOND, gateway, row, task
from hypothesis import given
from hypothesis import strategies as st

from gaproute import interface as face
from gaproute.decisions.routing.candidates import HASH_DECAY, UNBOUNDED, CandidateOrder
from gaproute.decisions.routing.ranking import MIN_RANKED_HOSTS
from gaproute.decisions.routing.request_attempts import RequestAttempts

MOST = 4 * MIN_RANKED_HOSTS
HOST_NUMBERS = st.integers(0, MOST - 1)
FLEETS = st.builds(  # mostly larger than what is ranked at first
    lambda size, missing: set(range(size)) - missing or {0},
    st.integers(1, MOST),
    st.sets(HOST_NUMBERS, max_size=9),
)
CHANGES = st.lists(
    st.one_of(
        st.tuples(st.just("join"), HOST_NUMBERS),
        st.tuples(st.just("leave"), HOST_NUMBERS),
        st.tuples(st.just("renew"), HOST_NUMBERS),
        st.tuples(st.just("restart"), HOST_NUMBERS),
        st.tuples(st.just("forget"), HOST_NUMBERS),
        st.tuples(st.just("ask"), st.integers(0, MOST)),
    ),
    max_size=12,
)


def name_of(number):
    return f"w{number}"


def whole(hosts, name):
    """All these hosts by their rank, in one plain sort."""
    return sorted(
        hosts, key=lambda host: (blake2b(f"{name} {host.id}".encode(), digest_size=8).digest(), host.id)
    )


def change(made, now, what, number):
    name = name_of(number)
    if what == "join":
        made.update_hosts(now, [row(name)], complete=False)
    elif what == "leave":
        made.update_hosts(now, [row(name, state=face.ListedHostState.GONE)], complete=False)
    elif what == "renew" and name in made.hosts_by_id and made.hosts_by_id[name].active:
        made.update_hosts(now, [row(name, capacity=3.0, zone=1)], complete=False)
    elif what == "restart" and name in made.hosts_by_id and made.hosts_by_id[name].active:
        made.update_hosts(now, [row(name, started=now)], complete=False)
    elif what == "forget":
        made.forget_departed_hosts()


def fleet_of(numbers):
    return gateway(*[row(name_of(number)) for number in sorted(numbers)])


@given(FLEETS, CHANGES, st.sampled_from(["f", "other", "ü-1"]))
def test_ranks_are_those_of_the_whole_order_at_any_depth_and_after_any_change(fleet, changes, name):
    made = fleet_of(fleet)
    function = made.functions.find_or_add(name, 4)
    for now, (what, number) in enumerate(changes, 1):
        change(made, now, what, number)
        depth = number if what == "ask" else MIN_RANKED_HOSTS
        ranks, order = made.ranking.ranks(name, function, depth), whole(made.active_hosts, name)
        assert len(ranks) >= min(depth, len(order))
        assert function.ranked_hosts == order[: len(ranks)]
        assert ranks == {host.id: rank for rank, host in enumerate(function.ranked_hosts)}


def test_few_hosts_of_a_large_fleet_are_ranked():
    made = fleet_of(range(MOST))
    function = made.functions.find_or_add("f", 4)
    assert len(made.ranking.ranks("f", function)) == MIN_RANKED_HOSTS < len(made.active_hosts)


def test_a_change_of_a_line_that_leaves_the_fleet_as_it_is_keeps_the_ranks():
    made = fleet_of(range(MOST))
    function = made.functions.find_or_add("f", 4)
    order = made.ranking.ranks("f", function) and function.ranked_hosts
    made.update_hosts(1, [row("w1", capacity=3.0), row("w2", started=1)], complete=False)
    assert made.ranking.ranks("f", function)
    assert function.ranked_hosts is order
    made.update_hosts(2, [row("w3", state=face.ListedHostState.DRAINING)], complete=False)
    assert made.ranking.ranks("f", function)
    assert function.ranked_hosts is not order


class PlainOrder(CandidateOrder):
    """Yields the same candidates by the whole order, made anew each time."""

    def candidates(self, now, name, function, able, hash_points, width):
        order = whole(self.hosts.active, name)
        ranks, warm = {host: rank for rank, host in enumerate(order)}, []
        for seen in function.last_used:
            host = self.hosts.by_id[seen]
            warmth = self.functions.warmth(function, host, now)
            if host in able and warmth > 0:
                warm.append(host)
                yield host, warmth, ranks[host], UNBOUNDED
        for host in order:
            if host in able and host not in warm:
                yield host, 0.0, ranks[host], hash_points * HASH_DECAY ** (ranks[host] // width)


def plain_order(made):
    """The plain order of what the gateway knows."""
    return PlainOrder(made.tables)


def plain_selector(made):
    """Chooses as the gateway does, over the plain order."""
    selector, selector.scorer = copy(made.selector), copy(made.scorer)
    selector.scorer.order = plain_order(made)
    return selector


@given(
    FLEETS, st.sets(HOST_NUMBERS), st.sets(HOST_NUMBERS), st.integers(1, MOST), st.sampled_from(["f", "g"])
)
def test_contenders_are_those_of_the_whole_order(fleet, seen, barred, width, name):
    made = fleet_of(fleet)
    function = made.functions.find_or_add(name, 4)
    function.last_used = {name_of(number): number for number in sorted(seen & fleet)}
    able = (
        [host for host in made.active_hosts if int(host.id[1:]) not in barred]
        if barred
        else made.active_hosts
    )
    asked = SECOND, name, function, able, 2.0, width
    assert list(made.scorer.order.candidates(*asked)) == list(plain_order(made).candidates(*asked))


LOADS = st.dictionaries(HOST_NUMBERS, st.integers(0, 60), max_size=MOST)


@given(FLEETS, st.sets(HOST_NUMBERS, max_size=6), LOADS, st.integers(0, 256), st.sampled_from([0.0, 0.9]))
def test_choices_are_those_of_the_whole_order(fleet, seen, loads, share, memory):
    made = fleet_of(fleet)
    function = made.functions.find_or_add("f", 4)
    function.last_used = {name_of(number): 1 for number in sorted(seen & fleet)}
    made.function_mix.recent.extend(["f"] * share + ["g"] * (256 - share))
    for number in sorted(loads.keys() & fleet):
        made.host_loads.record(
            made.hosts_by_id[name_of(number)],
            1,
            face.HostLoadReport(in_hand=loads[number], memory_busy=memory),
        )
    plain, state = plain_selector(made), made.random.state
    for _ in range(4):
        made.random.state = state
        chosen = made.selector.choose(SECOND, task(), RequestAttempts())
        made.random.state = state
        assert plain.choose(SECOND, task(), RequestAttempts()) is chosen
        state = made.random.state
        chosen.in_flight["x", len(chosen.in_flight)] = SECOND
        function.last_used[chosen.id] = SECOND
