"""Ranks of workers for a function, made only as deep as asked for, against the whole order made plainly."""

from hashlib import blake2b

from helpers import SECOND, gateway, row, task
from hypothesis import given
from hypothesis import strategies as st

from gaproute import interface as face
from gaproute.decisions.routing import Gateway
from gaproute.decisions.routing.beliefs import LONG, Trail
from gaproute.decisions.routing.measures import RANKED
from gaproute.decisions.routing.score import PRIOR_FALL

MOST = 4 * RANKED
WORKERS = st.integers(0, MOST - 1)
FLEETS = st.builds(  # mostly larger than what is ranked at first
    lambda size, missing: set(range(size)) - missing or {0},
    st.integers(1, MOST),
    st.sets(WORKERS, max_size=9),
)
CHANGES = st.lists(
    st.one_of(
        st.tuples(st.just("join"), WORKERS),
        st.tuples(st.just("leave"), WORKERS),
        st.tuples(st.just("renew"), WORKERS),
        st.tuples(st.just("restart"), WORKERS),
        st.tuples(st.just("forget"), WORKERS),
        st.tuples(st.just("ask"), st.integers(0, MOST)),
    ),
    max_size=12,
)


def name_of(number):
    return f"w{number}"


def whole(made, name):
    """All workers of the fleet by their rank, in one plain sort."""
    return sorted(
        made.fleet,
        key=lambda worker: (blake2b(f"{name} {worker.id}".encode(), digest_size=8).digest(), worker.id),
    )


def change(made, now, what, number):
    name = name_of(number)
    if what == "join":
        made.listed(now, [row(name)], False)
    elif what == "leave":
        made.listed(now, [row(name, state=face.State.GONE)], False)
    elif what == "renew" and name in made.workers and made.workers[name].active:
        made.listed(now, [row(name, capacity=3.0, zone=1)], False)
    elif what == "restart" and name in made.workers and made.workers[name].active:
        made.listed(now, [row(name, started=now)], False)
    elif what == "forget":
        made.forget()


def fleet_of(numbers):
    return gateway(*[row(name_of(number)) for number in sorted(numbers)])


@given(FLEETS, CHANGES, st.sampled_from(["f", "other", "ü-1"]))
def test_ranks_are_those_of_the_whole_order_at_any_depth_and_after_any_change(fleet, changes, name):
    made = fleet_of(fleet)
    function = made.function(name, 4)
    for now, (what, number) in enumerate(changes, 1):
        change(made, now, what, number)
        depth = number if what == "ask" else RANKED
        ranks, order = made.ranks(name, function, depth), whole(made, name)
        assert len(ranks) >= min(depth, len(order))
        assert function.order == order[: len(ranks)]
        assert ranks == {worker.id: rank for rank, worker in enumerate(function.order)}


def test_few_workers_of_a_large_fleet_are_ranked():
    made = fleet_of(range(MOST))
    function = made.function("f", 4)
    assert len(made.ranks("f", function)) == RANKED < len(made.fleet)


def test_a_change_of_a_line_that_leaves_the_fleet_as_it_is_keeps_the_ranks():
    made = fleet_of(range(MOST))
    function = made.function("f", 4)
    order = made.ranks("f", function) and function.order
    made.listed(1, [row("w1", capacity=3.0), row("w2", started=1)], False)
    assert made.ranks("f", function) and function.order is order
    made.listed(2, [row("w3", state=face.State.DRAINING)], False)
    assert made.ranks("f", function) and function.order is not order


class Plain(Gateway):
    """Yields the same contenders by the whole order, made anew each time."""

    def contenders(self, now, name, function, able, prior, width):
        order = whole(self, name)
        ranks, warm = {worker: rank for rank, worker in enumerate(order)}, []
        for seen in function.seen:
            worker = self.workers[seen]
            if worker in able and self.warmth(function, worker, now) > 0:
                warm.append(worker)
                yield worker, self.warmth(function, worker, now), ranks[worker], LONG
        for worker in order:
            if worker in able and worker not in warm:
                yield worker, 0.0, ranks[worker], prior * PRIOR_FALL ** (ranks[worker] // width)


def alike(made):
    """A plain gateway that knows the same."""
    plain = gateway()
    plain.__class__ = Plain
    plain.__dict__.update(made.__dict__)
    return plain


@given(FLEETS, st.sets(WORKERS), st.sets(WORKERS), st.integers(1, MOST), st.sampled_from(["f", "g"]))
def test_contenders_are_those_of_the_whole_order(fleet, seen, barred, width, name):
    made = fleet_of(fleet)
    plain, function = alike(made), made.function(name, 4)
    function.seen = {name_of(number): number for number in sorted(seen & fleet)}
    able = [worker for worker in made.fleet if int(worker.id[1:]) not in barred] if barred else made.fleet
    asked = SECOND, name, function, able, 2.0, width
    assert list(made.contenders(*asked)) == list(plain.contenders(*asked))


LOADS = st.dictionaries(WORKERS, st.integers(0, 60), max_size=MOST)


@given(FLEETS, st.sets(WORKERS, max_size=6), LOADS, st.integers(0, 256), st.sampled_from([0.0, 0.9]))
def test_choices_are_those_of_the_whole_order(fleet, seen, loads, share, memory):
    made = fleet_of(fleet)
    function = made.function("f", 4)
    function.seen = {name_of(number): 1 for number in sorted(seen & fleet)}
    made.mix.extend(["f"] * share + ["g"] * (256 - share))
    for number in sorted(loads.keys() & fleet):
        made.note(made.workers[name_of(number)], 1, face.Report(in_hand=loads[number], memory_busy=memory))
    plain, state = alike(made), made.chance.state
    for _ in range(4):
        made.chance.state = state
        chosen = made.choose(SECOND, task(), Trail())
        made.chance.state = state
        assert plain.choose(SECOND, task(), Trail()) is chosen
        state = made.chance.state
        chosen.out["x", len(chosen.out)] = SECOND
        function.seen[chosen.id] = SECOND
