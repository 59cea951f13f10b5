"""The laws of the merge: any order, twice or late, and what a tombstone bars."""

from hypothesis import given
from hypothesis import strategies as st

from gaproute.shared.gossip import EntryKind, EntrySet
from gaproute.shared.gossip.table import GossipTable

IN_FLIGHT = EntryKind.IN_FLIGHT
HOST_KINDS = (EntryKind.IN_FLIGHT, EntryKind.AVAILABLE_CAPACITY)

entry_set = st.builds(
    EntrySet,
    st.sampled_from(HOST_KINDS),
    st.just(0),
    st.integers(0, 3),
    st.integers(0, 5),
    st.just(0.0),
    st.just(()),
)
merge = st.tuples(st.just("merge"), st.sampled_from("ab"), st.integers(1, 3), entry_set)
tombstone = st.tuples(st.just("tombstone"), st.sampled_from("ab"), st.integers(1, 2), st.none())
steps_of_origins = st.lists(st.one_of(merge, merge, merge, tombstone), max_size=10)


def merged(*lists):
    table = GossipTable()
    for what, origin, incarnation, entries in (step for steps in lists for step in steps):
        if what == "merge":
            table.merge(0, origin, incarnation, entries)
        else:
            table.add_tombstone(0, origin, incarnation)
    return {
        (origin, name): (held.version, held.observed_at)
        for origin, sets in table.received_sets.items()
        for name, held in sets.items()
    }


@given(steps_of_origins.flatmap(lambda steps: st.tuples(st.just(steps), st.permutations(steps))))
def test_any_order_gives_the_same(orders):
    assert merged(orders[0]) == merged(orders[1])


@given(steps_of_origins, steps_of_origins, steps_of_origins)
def test_merge_is_associative_commutative_and_idempotent(one, two, three):
    assert merged(one, two, three) == merged(two, three, one) == merged(three, two, one, one, two)


@given(steps_of_origins, st.permutations(range(3)))
def test_no_set_stands_after_its_tombstone_in_any_order(steps, order):
    parts = [
        steps,
        [("tombstone", "a", 2, None)],
        [("merge", "a", 2, EntrySet(IN_FLIGHT, 0, 9, 0, 0.0, ()))],
    ]
    found = merged(*[parts[position] for position in order])
    assert all(version[0] > 2 for (origin, _), (version, _) in found.items() if origin == "a")


def test_of_one_version_the_greater_age_holds():
    table = GossipTable()
    for age in (3, 5, 1):
        table.merge(10, "a", 1, EntrySet(IN_FLIGHT, 0, 1, age, 0.0, ()))
    once = GossipTable()
    once.merge(10, "a", 1, EntrySet(IN_FLIGHT, 0, 1, 5, 0.0, ()))
    held, held_once = (each.received_sets["a"][IN_FLIGHT, 0] for each in (table, once))
    assert held.observed_at == held_once.observed_at
