"""Any order of events before, at and after an attempt, in a world of memory (`event_world`)."""

import pytest
from event_world import ANSWERS, World
from hypothesis import Phase, given, settings
from hypothesis import strategies as st
from scripted import MILLI

SPANS = (0, MILLI, 20 * MILLI, 100 * MILLI, 700 * MILLI)
FULL = ("overload",)  # of hosts that reject all
EVENTS = (
    *["take"] * 4,
    *["up"] * 8,
    *["answer"] * 10,
    *["pass"] * 3,
    "leave",
    "fail",
    "again",
    "again",
    "stranger",
    "stranger",
    "spoil",
    "end",
    "end",
    "end",
    "change",
    "back",
    "back",
    "room",
    "room",
    "connections",
    "last",
)
MOVES = {
    "pass": lambda world, place, way: world.passes(SPANS[way % 5]),
    "room": World.takes,
    "last": World.end_by,
}
MOVES |= {name: getattr(World, name) for name in EVENTS if name not in MOVES}


@settings(max_examples=500, phases=[Phase.generate])  # with `Phase.shrink` by hand: it takes minutes
@given(
    st.lists(
        st.tuples(st.sampled_from(EVENTS), st.integers(0, 5), st.integers(0, 6), st.booleans()),
        min_size=30,
        max_size=60,
    ),
    st.tuples(
        st.booleans(), st.booleans(), st.sampled_from((1, 4)), st.sampled_from((ANSWERS, ANSWERS, FULL))
    ),
)
def test_in_any_order_each_request_has_one_answer_and_nothing_begins_that_may_not(events, site):
    with pytest.MonkeyPatch.context() as patch:
        world = World(patch, *site)
        for kind, place, way, turns in events:
            MOVES[kind](world, place, way)
            if turns:
                world.passes(0)
        world.ends()
        world.loop.close()


def test_an_answer_on_its_way_when_its_request_was_taken_back_answers_no_later_one_of_that_id(gate):
    held = []
    made = gate(lambda *arrival: arrival[1]["type"] == "go" and held.append(arrival))
    client = made.client()
    client.ask(1)
    made.until(lambda: held)
    made.hosts[0].serve(*held[0])
    client.message({"jsonrpc": "2.0", "method": "abort", "params": {"id": 1}})
    client.ask(1, i="e" * 16, arg="bmV3")
    made.until(lambda: len(held) == 2)
    assert not client.answers
    made.hosts[0].serve(*held[1])
    made.until(lambda: client.answers)
    assert client.answers[0]["result"]["arg"] == "bmV3"
    assert not made.process.front.open_request_ids
