"""Builders and hypothesis strategies of shared observations, and the hints that are selected of them."""

from hypothesis import strategies as st

from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.reports.hint_selector import HintSelector
from gaproute.decisions.reports.observation_kinds import SharedObservation
from gaproute.decisions.reports.shared_observations import SharedObservations
from gaproute.units import SECOND

NOW = 1000 * SECOND
KEEP_ALIVE = 10 * SECOND
subjects = st.one_of(
    st.tuples(st.just("warm"), st.sampled_from("xy"), st.sampled_from("fg")),
    st.tuples(st.just("listed"), st.sampled_from("xy")),
    st.tuples(st.just("pace"), st.sampled_from("xy")),
)
VALUES_BY_KIND = {
    "warm": st.tuples(st.integers(1, 2), st.integers(0, 2)),
    "listed": st.tuples(st.sampled_from(["active", "draining", "gone"]), st.integers(0, 2)),
    "pace": st.tuples(st.floats(1, 3)),
}
observation_pairs = subjects.flatmap(
    lambda subject: st.tuples(
        st.just(subject),
        st.builds(
            SharedObservation,
            st.integers(0, 5),
            st.sampled_from("ab"),
            st.integers(0, 1),
            VALUES_BY_KIND[subject[0]],
        ),
    )
)
observation_lists = st.lists(observation_pairs, max_size=8)


def store_of(*observations):
    store = SharedObservations()
    for subject, observation in observations:
        store.add(subject, observation)
    return store


def hint_selector(observations, chance, request_classes=()):
    return HintSelector(observations, KEEP_ALIVE, dict(request_classes), chance)


def warm_instance(host="x", function="f", at=NOW, lanes=4, started=0, origin="a"):
    return ("warm", host, function), SharedObservation(at, origin, 1, (lanes, started))


def listed_state(host, state, at, origin="b"):
    return ("listed", host), SharedObservation(at, origin, 1, (state, 0))


def merged(*parts):
    store = SharedObservations()
    for part in parts:
        store.merge(part)
    return store


def warm_hints(store, start_times, now=NOW):
    return hint_selector(store, RandomGenerator(1)).warm_hints(now, start_times)


def ranked_hosts(gateway, name):
    gateway.ranking.ranks(name, gateway.functions.find_or_add(name, 4))
    return gateway.functions_by_name[name].ranked_hosts
