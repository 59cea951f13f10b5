"""The merge of gossip sets: order and repetition do not matter, and a tombstone bars older sets."""

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
merge_step = st.tuples(st.just("merge"), st.sampled_from("ab"), st.integers(1, 3), entry_set)
tombstone_step = st.tuples(st.just("tombstone"), st.sampled_from("ab"), st.integers(1, 2), st.none())
step_lists = st.lists(st.one_of(merge_step, merge_step, merge_step, tombstone_step), max_size=10)


def merge_all(*lists):
    """The version and observation time of each stored set after all steps of the lists in their order."""
    table = GossipTable()
    for action, origin, incarnation, received in (step for steps in lists for step in steps):
        if action == "merge":
            table.merge(0, origin, incarnation, received)
        else:
            table.add_tombstone(0, origin, incarnation)
    return {
        (origin, set_key): (stored.version, stored.observed_at)
        for origin, sets in table.received_sets.items()
        for set_key, stored in sets.items()
    }


@given(step_lists.flatmap(lambda steps: st.tuples(st.just(steps), st.permutations(steps))))
def test_the_order_of_merges_and_tombstones_does_not_matter(orders):
    assert merge_all(orders[0]) == merge_all(orders[1])


@given(step_lists, step_lists, step_lists)
def test_merge_is_associative_commutative_and_idempotent(one, two, three):
    assert merge_all(one, two, three) == merge_all(two, three, one) == merge_all(three, two, one, one, two)


@given(step_lists, st.permutations(range(3)))
def test_no_barred_set_is_stored_whatever_the_order(steps, order):
    lists = [
        steps,
        [("tombstone", "a", 2, None)],
        [("merge", "a", 2, EntrySet(IN_FLIGHT, 0, 9, 0, 0.0, ()))],
    ]
    stored = merge_all(*[lists[position] for position in order])
    assert all(version[0] > 2 for (origin, _), (version, _) in stored.items() if origin == "a")


def test_of_one_version_the_greatest_age_is_stored():
    table = GossipTable()
    for age in (3, 5, 1):
        table.merge(10, "a", 1, EntrySet(IN_FLIGHT, 0, 1, age, 0.0, ()))
    expected = GossipTable()
    expected.merge(10, "a", 1, EntrySet(IN_FLIGHT, 0, 1, 5, 0.0, ()))
    stored, stored_once = (each.received_sets["a"][IN_FLIGHT, 0] for each in (table, expected))
    assert stored.observed_at == stored_once.observed_at
