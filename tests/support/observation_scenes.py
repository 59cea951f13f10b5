"""Shared observations for tests: builders, hypothesis strategies, and the hints that are made of them."""

from hypothesis import strategies as st

from gaproute.decisions.chance import RandomGenerator
from gaproute.decisions.reports.follower import ObservationFollower
from gaproute.decisions.reports.observation_kinds import SharedObservation
from gaproute.decisions.reports.shared_observations import SharedObservations
from gaproute.units import SECOND

NOW = 1000 * SECOND
KEEP = 10 * SECOND
subject = st.one_of(
    st.tuples(st.just("warm"), st.sampled_from("xy"), st.sampled_from("fg")),
    st.tuples(st.just("listed"), st.sampled_from("xy")),
    st.tuples(st.just("pace"), st.sampled_from("xy")),
)
VALUES = {
    "warm": st.tuples(st.integers(1, 2), st.integers(0, 2)),
    "listed": st.tuples(st.sampled_from(["active", "draining", "gone"]), st.integers(0, 2)),
    "pace": st.tuples(st.floats(1, 3)),
}
told = subject.flatmap(
    lambda names: st.tuples(
        st.just(names),
        st.builds(
            SharedObservation, st.integers(0, 5), st.sampled_from("ab"), st.integers(0, 1), VALUES[names[0]]
        ),
    )
)
facts = st.lists(told, max_size=8)


def observed(*observations):
    made = SharedObservations()
    for subject, observation in observations:
        made.add(subject, observation)
    return made


def follower(observations, chance, request_classes=()):
    return ObservationFollower(observations, KEEP, dict(request_classes), chance)


def warm(worker="x", function="f", at=NOW, lanes=4, started=0, origin="a"):
    return ("warm", worker, function), SharedObservation(at, origin, 1, (lanes, started))


def listed(worker, state, at, origin="b"):
    return ("listed", worker), SharedObservation(at, origin, 1, (state, 0))


def merged(*parts):
    made = SharedObservations()
    for part in parts:
        made.merge(part)
    return made


def hints(made, lives, now=NOW):
    return follower(made, RandomGenerator(1)).warm_hints(now, lives)


def ranked(made, name):
    made.ranking.ranks(name, made.functions.find_or_add(name, 4))
    return made.functions_by_name[name].ranked_hosts
