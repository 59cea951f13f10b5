"""Ranks of hosts for a function, computed to a limited depth, compared with a complete sort."""

from copy import copy
from hashlib import blake2b

from helpers import SECOND, row, task
from helpers import gateway as make_gateway
from hypothesis import given
from hypothesis import strategies as st

from gaproute import interface
from gaproute.decisions.routing.candidates import HASH_DECAY, UNBOUNDED, CandidateOrder
from gaproute.decisions.routing.ranking import MIN_RANKED_HOSTS
from gaproute.decisions.routing.request_attempts import RequestAttempts

MAX_FLEET_SIZE = 4 * MIN_RANKED_HOSTS
HOST_NUMBERS = st.integers(0, MAX_FLEET_SIZE - 1)
FLEETS = st.builds(  # mostly larger than the number of hosts ranked at first
    lambda size, missing: set(range(size)) - missing or {0},
    st.integers(1, MAX_FLEET_SIZE),
    st.sets(HOST_NUMBERS, max_size=9),
)
CHANGES = st.lists(
    st.one_of(
        st.tuples(st.just("join"), HOST_NUMBERS),
        st.tuples(st.just("leave"), HOST_NUMBERS),
        st.tuples(st.just("renew"), HOST_NUMBERS),
        st.tuples(st.just("restart"), HOST_NUMBERS),
        st.tuples(st.just("forget"), HOST_NUMBERS),
        st.tuples(st.just("ask"), st.integers(0, MAX_FLEET_SIZE)),
    ),
    max_size=12,
)


def host_name(number):
    return f"w{number}"


def complete_order(hosts, name):
    """Returns all these hosts by rank, in one complete sort."""
    return sorted(
        hosts, key=lambda host: (blake2b(f"{name} {host.id}".encode(), digest_size=8).digest(), host.id)
    )


def apply_change(gateway, now, kind, number):
    name = host_name(number)
    if kind == "join":
        gateway.update_hosts(now, [row(name)], complete=False)
    elif kind == "leave":
        gateway.update_hosts(now, [row(name, state=interface.ListedHostState.GONE)], complete=False)
    elif kind == "renew" and name in gateway.hosts_by_id and gateway.hosts_by_id[name].active:
        gateway.update_hosts(now, [row(name, capacity=3.0, zone=1)], complete=False)
    elif kind == "restart" and name in gateway.hosts_by_id and gateway.hosts_by_id[name].active:
        gateway.update_hosts(now, [row(name, started=now)], complete=False)
    elif kind == "forget":
        gateway.forget_departed_hosts()


def make_fleet(numbers):
    return make_gateway(*[row(host_name(number)) for number in sorted(numbers)])


@given(FLEETS, CHANGES, st.sampled_from(["f", "other", "ü-1"]))
def test_ranks_match_the_complete_order_at_any_depth_and_after_any_change(fleet, changes, name):
    gateway = make_fleet(fleet)
    function = gateway.functions.find_or_add(name, 4)
    for now, (kind, number) in enumerate(changes, 1):
        apply_change(gateway, now, kind, number)
        depth = number if kind == "ask" else MIN_RANKED_HOSTS
        ranks, order = (
            gateway.ranking.ranks(name, function, depth),
            complete_order(gateway.active_hosts, name),
        )
        assert len(ranks) >= min(depth, len(order))
        assert function.ranked_hosts == order[: len(ranks)]
        assert ranks == {host.id: rank for rank, host in enumerate(function.ranked_hosts)}


def test_few_hosts_of_a_large_fleet_are_ranked():
    gateway = make_fleet(range(MAX_FLEET_SIZE))
    function = gateway.functions.find_or_add("f", 4)
    assert len(gateway.ranking.ranks("f", function)) == MIN_RANKED_HOSTS < len(gateway.active_hosts)


def test_a_list_change_that_keeps_the_active_hosts_keeps_the_ranks():
    gateway = make_fleet(range(MAX_FLEET_SIZE))
    function = gateway.functions.find_or_add("f", 4)
    order = gateway.ranking.ranks("f", function) and function.ranked_hosts
    gateway.update_hosts(1, [row("w1", capacity=3.0), row("w2", started=1)], complete=False)
    assert gateway.ranking.ranks("f", function)
    assert function.ranked_hosts is order
    gateway.update_hosts(2, [row("w3", state=interface.ListedHostState.DRAINING)], complete=False)
    assert gateway.ranking.ranks("f", function)
    assert function.ranked_hosts is not order


class CompleteOrder(CandidateOrder):
    """Yields the same candidates from the complete order, computed at each call."""

    def candidates(self, now, name, function, eligible, hash_points, equal_ranks):
        order = complete_order(self.hosts.active, name)
        ranks, warm = {host: rank for rank, host in enumerate(order)}, []
        for host_id in function.last_used:
            host = self.hosts.by_id[host_id]
            warmth = self.functions.warmth(function, host, now)
            if host in eligible and warmth > 0:
                warm.append(host)
                yield host, warmth, ranks[host], UNBOUNDED
        for host in order:
            if host in eligible and host not in warm:
                yield host, 0.0, ranks[host], hash_points * HASH_DECAY ** (ranks[host] // equal_ranks)


def complete_order_of(gateway):
    """Returns the complete order over the tables of the gateway."""
    return CompleteOrder(gateway.tables)


def complete_order_selector(gateway):
    """Returns a selector like the gateway's that uses the complete order."""
    selector, selector.scorer = copy(gateway.selector), copy(gateway.scorer)
    selector.scorer.order = complete_order_of(gateway)
    return selector


@given(
    FLEETS,
    st.sets(HOST_NUMBERS),
    st.sets(HOST_NUMBERS),
    st.integers(1, MAX_FLEET_SIZE),
    st.sampled_from(["f", "g"]),
)
def test_candidates_match_those_of_the_complete_order(fleet, used, excluded, equal_ranks, name):
    gateway = make_fleet(fleet)
    function = gateway.functions.find_or_add(name, 4)
    function.last_used = {host_name(number): number for number in sorted(used & fleet)}
    eligible = (
        [host for host in gateway.active_hosts if int(host.id[1:]) not in excluded]
        if excluded
        else gateway.active_hosts
    )
    arguments = SECOND, name, function, eligible, 2.0, equal_ranks
    assert list(gateway.scorer.order.candidates(*arguments)) == list(
        complete_order_of(gateway).candidates(*arguments)
    )


LOADS = st.dictionaries(HOST_NUMBERS, st.integers(0, 60), max_size=MAX_FLEET_SIZE)


@given(FLEETS, st.sets(HOST_NUMBERS, max_size=6), LOADS, st.integers(0, 256), st.sampled_from([0.0, 0.9]))
def test_choices_match_those_of_the_complete_order(fleet, used, loads, function_share, memory):
    gateway = make_fleet(fleet)
    function = gateway.functions.find_or_add("f", 4)
    function.last_used = {host_name(number): 1 for number in sorted(used & fleet)}
    gateway.function_mix.recent.extend(["f"] * function_share + ["g"] * (256 - function_share))
    for number in sorted(loads.keys() & fleet):
        gateway.host_loads.record(
            gateway.hosts_by_id[host_name(number)],
            1,
            interface.HostLoadReport(in_hand=loads[number], memory_busy=memory),
        )
    reference, state = complete_order_selector(gateway), gateway.random.state
    for _ in range(4):
        gateway.random.state = state
        chosen = gateway.selector.choose(SECOND, task(), RequestAttempts())
        gateway.random.state = state
        assert reference.choose(SECOND, task(), RequestAttempts()) is chosen
        state = gateway.random.state
        chosen.in_flight["x", len(chosen.in_flight)] = SECOND
        function.last_used[chosen.id] = SECOND
