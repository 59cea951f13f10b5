"""What `gaproute trial` prints of each violation stays to the letter, as do the kinds in its JSON result."""

import pytest

from gaproute.judge import judge
from tests.judge.test_judge import MILLI, SECOND, TERMS, UP, answered, end, notified, task

ORDER = {"what": "order", "gateway": "0", "count": 1, "model": "m"}


def reported(hosts=None, clients=(), run=(), *, warm=True):
    """The violations of a day as plain data."""
    hosts = {name: [[dict(UP, warm=warm), *events]] for name, events in (hosts or {}).items()}
    return [tuple(violation) for violation in judge(TERMS, hosts, list(clients), list(run))]


@pytest.mark.parametrize(
    ("hosts", "clients", "found"),
    [
        (
            {},
            [end(1000, "overdue")],
            (1, SECOND, "task t (p): no answer within its 1000 ms", "lost"),
        ),
        (
            {},
            [end(900, "broken")],
            (1, 900 * MILLI, "task t: the connection ended without an answer: x", "lost"),
        ),
        ({}, [end(10), end(20)], (1, 20 * MILLI, "task t: 2 ends", "second answer")),
        (
            {},
            [{"at": 5, "what": "stray", "gateway": 2}],
            (1, 5, "gateway 2 sent an answer that nobody asked for", "stray answer"),
        ),
        (
            {},
            [{"at": 5, "what": "stray", "gateway": 2, "text": "why"}],
            (1, 5, "gateway 2 sent an answer that nobody asked for: why", "stray answer"),
        ),
        (
            {},
            [end(10, outcome="", status=502)],
            (1, 10 * MILLI, "task t: status 502 names no outcome", "no outcome named"),
        ),
        (
            {"h1": [task(200)]},
            [end(10)],
            (1, 200 * MILLI, "task t: sent to h1 190 ms after its end", "attempt after the final answer"),
        ),
        (
            {"h1": [task(200)]},
            [end(10, "left")],
            (1, 200 * MILLI, "task t: sent to h1 190 ms after its end", "attempt after the client had gone"),
        ),
        (
            {"h1": [dict(task(900), limit=300 * MILLI)]},
            [end(1000)],
            (1, 900 * MILLI, "task t: h1 was told 300 ms, 100 ms were left", "deadline too long"),
        ),
    ],
)
def test_the_texts_of_rule_1(hosts, clients, found):
    assert reported(hosts, clients) == [found]


@pytest.mark.parametrize(
    ("hosts", "clients", "found"),
    [
        (
            {"h1": [task(1, track="e")], "h2": [task(50, track="e")]},
            [],
            (2, 50 * MILLI, "effectful task t: sent to h2, may have run at h1", "duplicate"),
        ),
        (
            {"h1": [task(1, track="r")], "h3": [task(3000, track="r")]},
            [],
            (2, 3 * SECOND, "receipted task t: sent again after its window", "outside its window"),
        ),
        (
            {"h1": [task(1, track="r")], "h2": [task(50, track="r")]},
            [],
            (2, 50 * MILLI, "receipted task t: sent to h2, outside h1's group", "outside its group"),
        ),
        (
            {"h1": [task(1, track="r")], "h3": [task(50, track="r", mark="other")]},
            [],
            (2, 50 * MILLI, "receipted task t: its mark changed between relays", "key changed"),
        ),
        (
            {"h1": [task(1, track="e"), answered(5, 500)]},
            [end(60, outcome="declined", track="e", status=503)],
            (
                2,
                60 * MILLI,
                "effectful task t: declined, may have run at h1",
                "refused though it may have run",
            ),
        ),
        (
            {"h1": [task(1, track="r")]},
            [end(60, outcome="declined", track="r", status=503)],
            (
                2,
                60 * MILLI,
                "receipted task t: declined, may have run at h1",
                "refused though it may have run",
            ),
        ),
    ],
)
def test_the_texts_of_rule_2(hosts, clients, found):
    assert reported(hosts, clients) == [found]


def test_the_texts_of_rule_3():
    shared = [notified(0, "draining")]
    own = [{"at": 0, "what": "started", "gateway": 0, "name": "0"}, dict(shared[0], gateway=0)]
    assert reported({"h1": [task(700)]}, [], shared) == [
        (3, 700 * MILLI, "task to h1, told draining or gone before", "drain")
    ]
    assert reported({"h1": [dict(ORDER, at=700 * MILLI)]}, [], own) == [
        (3, 700 * MILLI, "order to h1, told draining or gone before, by g0", "drain")
    ]


def test_the_text_of_rule_4():
    tasks = [task(10 + place, f"t{place}", work=100 * MILLI) for place in range(22)]
    assert reported({"h1": tasks}, warm=False) == [
        (4, 30 * MILLI, "cold h1: 2.1 times what it can do", "slow start")
    ]


def test_the_text_of_rule_5():
    orders = [dict(ORDER, at=(100 + place) * MILLI) for place in range(3)]
    assert reported({"h1": orders}) == [
        (5, 102 * MILLI, "gateway 0: 3 load orders, 2.0 allowed", "load orders")
    ]
