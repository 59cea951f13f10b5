"""The judge catches each rule when it is broken, and only then."""

import pytest

from gaproute.judge import DayTerms, HostPlace, RequestClassTerms, judge

MILLI, SECOND = 1_000_000, 1_000_000_000
TERMS = DayTerms(
    request_classes={
        "p": RequestClassTerms.from_track("pure", "all", 0),
        "r": RequestClassTerms.from_track("receipted", "rack", 2 * SECOND),
        "e": RequestClassTerms.from_track("effectful", "all", 0),
    },
    places={"h1": HostPlace("z1", "r1"), "h2": HostPlace("z1", "r2"), "h3": HostPlace("z2", "r1")},
    load_orders_free=2,
    load_order_share=0.5,
    load_order_window=SECOND,
)
UP = {
    "at": 0,
    "what": "up",
    "warm": False,
    "cores": 2,
    "speed": 1.0,
    "cold_share": 0.5,
    "cold_time": 10 * SECOND,
    "fall_multiple": 2.0,
    "tip": SECOND,
}


def task(at, name="t", track="p", mark="k", work=MILLI):
    return {"at": at * MILLI, "what": "task", "id": name, "track": track, "mark": mark, "work": work}


def answered(at, status, name="t"):
    return {"at": at * MILLI, "what": "said", "id": name, "status": status}


def end(at, what="answer", outcome="delivered", name="t", track="p", asked=0, status=200):
    return {
        "at": at * MILLI,
        "what": what,
        "id": name,
        "track": track,
        "outcome": outcome,
        "status": status,
        "asked": asked,
        "patience": SECOND,
        "gateway": 0,
        "text": "x",
    }


def rules(hosts=None, clients=(), run=()):
    hosts = {name: [[dict(UP, warm=True), *events]] for name, events in (hosts or {}).items()}
    return [violation.rule for violation in judge(TERMS, hosts, list(clients), list(run))]


def test_a_day_on_which_all_goes_well_breaks_nothing():
    assert rules({"h1": [task(1), answered(5, 200)]}, [end(6)]) == []


@pytest.mark.parametrize(
    ("hosts", "clients"),
    [
        ({}, [end(900, "overdue")]),
        ({}, [end(900, "broken")]),
        ({}, [end(10), end(20)]),
        ({}, [{"at": 5, "what": "stray", "gateway": 0}]),
        ({"h1": [task(200)]}, [end(10, outcome="declined", status=503)]),
        ({"h1": [task(200)]}, [end(10, "left")]),
        ({}, [end(10, outcome="", status=500)]),
    ],
)
def test_rule_1_is_caught(hosts, clients):
    assert rules(hosts, clients) == [1]


def test_rule_1_excuses_a_gateway_that_did_not_run():
    run = [{"at": 500 * MILLI, "what": "killed", "gateway": 0}]
    assert rules({}, [end(600, "broken")], run) == []
    assert rules({}, [end(400, "broken")], run) == [1]


def gateway_events(*events):
    return [{"at": at * MILLI, "what": what, "gateway": 0} for at, what in events]


def test_rule_1_excuses_a_gateway_from_its_first_kill_on_where_it_is_killed_again_while_it_starts():
    run = gateway_events((500, "killed"), (2000, "killed"), (3000, "started"))
    assert rules({}, [end(600, "broken")], run) == []
    assert rules({}, [end(400, "broken")], run) == [1]
    assert rules({}, [end(4200, "broken", asked=4100 * MILLI)], run) == [1]


def test_rule_1_does_not_take_a_killed_gateway_for_one_that_was_resumed():
    run = gateway_events((100, "stopped"), (500, "killed"), (600, "continued"), (3000, "started"))
    assert rules({}, [end(2200, "broken", asked=2100 * MILLI)], run) == []
    assert rules({}, [end(4200, "broken", asked=4100 * MILLI)], run) == [1]


def test_rule_1_excuses_a_gateway_in_each_span_in_which_it_did_not_run():
    run = gateway_events((100, "stopped"), (200, "continued"), (3000, "killed"), (3100, "started"))
    for at, found in ((150, []), (2500, [1]), (3050, []), (4200, [1])):
        assert rules({}, [end(at, "overdue", asked=(at - 20) * MILLI)], run) == found
    # a paused one closes no connection
    assert rules({}, [end(150, "broken", asked=130 * MILLI)], run) == [1]


def test_rule_1_excuses_no_request_that_a_gateway_closed_when_it_was_asked_to_end():
    run = gateway_events((300, "ending"), (2500, "killed"))
    assert rules({}, [end(600, "broken", asked=400 * MILLI)], run) == [1]
    assert rules({}, [end(600, "broken", asked=200 * MILLI)], run) == [1]


@pytest.mark.parametrize(
    ("hosts", "clients"),
    [
        ({"h1": [task(1, track="e")], "h2": [task(50, track="e")]}, []),
        ({"h1": [task(1, track="e"), answered(5, 500)], "h2": [task(50, track="e")]}, []),
        ({"h1": [task(1, track="e"), task(50, track="e")]}, []),
        ({"h1": [task(1, track="e")]}, [end(60, outcome="declined", track="e", status=503)]),
        ({"h1": [task(1, track="r")], "h2": [task(50, track="r")]}, []),
        ({"h1": [task(1, track="r")], "h3": [task(2500, track="r")]}, []),
        ({"h1": [task(1, track="r")], "h3": [task(50, track="r", mark="other")]}, []),
        ({"h1": [task(1, track="r")]}, [end(60, outcome="declined", track="r", status=503)]),
    ],
)
def test_rule_2_is_caught(hosts, clients):
    assert rules(hosts, clients) == [2]


@pytest.mark.parametrize(
    ("hosts", "clients"),
    [
        ({"h1": [task(1, track="e"), answered(5, 429)], "h2": [task(50, track="e")]}, []),
        (
            {"h1": [task(1, track="e"), answered(5, 429)]},
            [end(60, outcome="declined", track="e", status=503)],
        ),
        ({"h1": [task(1, track="e")]}, [end(60, outcome="scrapped", track="e", status=504)]),
        ({"h1": [task(1, track="r")], "h3": [task(50, track="r")]}, []),
        ({"h1": [task(1)], "h2": [task(50)]}, [end(60, outcome="declined", status=503)]),
    ],
)
def test_rule_2_allows_what_each_request_class_allows(hosts, clients):
    assert rules(hosts, clients) == []


def notified(at, state, host="h1"):
    return {"at": at * MILLI, "what": "told", "host": host, "state": state}


def test_rule_3_is_caught_for_requests_and_load_orders_and_runs_from_the_first_notification():
    order = {"at": 700 * MILLI, "what": "order", "gateway": "g", "count": 1, "model": "m"}
    run = [notified(0, "active"), notified(100, "draining"), notified(600, "gone")]
    assert rules({"h1": [task(700)]}, [], run) == [3]
    assert rules({"h1": [order]}, [], run) == [3]
    assert rules({"h1": [task(550), dict(order, count=0)]}, [], run) == []
    assert rules({"h1": [task(700)]}, [], [*run, notified(650, "active")]) == []
    assert rules({"h2": [task(700)]}, [], run) == []


def test_rule_4_counts_the_work_sent_within_the_window_against_what_the_host_can_do():
    def day(count, apart):
        return judge(
            TERMS,
            {
                "h1": [
                    [UP] + [task(10 + apart * place, f"t{place}", work=100 * MILLI) for place in range(count)]
                ]
            },
            [],
            [],
        )

    # 2.2 s of work within 1 s at 1 core: over 2 times
    assert [violation.rule for violation in day(22, 1)] == [4]
    assert day(19, 1) == []
    assert day(22, 200) == []


def test_rule_5_counts_load_orders_against_the_requests_taken_within_the_window():
    def orders(count, gap=1):
        return [
            {"at": (100 + gap * place) * MILLI, "what": "order", "gateway": "0", "count": 1, "model": "m"}
            for place in range(count)
        ]

    tasks = [end(90, name=f"t{place}", asked=50 * MILLI) for place in range(4)]
    assert rules({"h1": orders(5)}, tasks) == [5]
    assert rules({"h1": orders(4)}, tasks) == []
    assert rules({"h1": orders(3)}, []) == [5]
    assert rules({"h1": orders(6, gap=600)}, []) == []
