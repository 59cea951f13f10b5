"""What the judge makes of notifications of single gateways, and of load orders that bear no name."""

import pytest

from gaproute.judge import judge
from tests.judge.test_judge import MILLI, TERMS, UP, end, task


def judged(hosts, clients, run):
    hosts = {name: [[dict(UP, warm=True), *events]] for name, events in hosts.items()}
    return [violation.rule for violation in judge(TERMS, hosts, clients, run)]


def notified(at, gateway, state="draining"):
    return {"at": at * MILLI, "what": "told", "host": "h1", "state": state, "gateway": gateway}


def of(event, gateway):
    return dict(event, gateway=gateway)


@pytest.mark.parametrize(
    ("gateway", "at", "rules"),
    [
        (0, 1500, [3]),  # notified at 0, may send for 0.5 s
        (1, 1500, []),  # notified at 1000
        (1, 1700, [3]),
    ],
)
def test_rule_3_counts_from_when_this_gateway_was_notified(gateway, at, rules):
    run = [notified(0, 0), notified(1000, 1)]
    assert judged({"h1": [task(at)]}, [of(end(at + 10, asked=at * MILLI), gateway)], run) == rules


def test_rule_3_of_an_unknown_sender_is_broken_once_all_were_notified():
    run = [notified(0, 0), notified(1000, 1)]
    assert judged({"h1": [task(1500)]}, [], run) == []
    assert judged({"h1": [task(1700)]}, [], run) == [3]


def test_a_host_notified_active_again_is_open_to_that_gateway_alone():
    run = [notified(0, 0), notified(0, 1), notified(900, 0, "active")]
    ends = [of(end(1510, name=name, asked=1500 * MILLI), gateway) for gateway, name in enumerate("ab")]
    assert judged({"h1": [task(1500, "a")]}, ends, run) == []
    assert judged({"h1": [task(1500, "b")]}, ends, run) == [3]


def order(at, link, gateway=""):
    return {"at": at * MILLI, "what": "order", "model": "m", "count": 1, "gateway": gateway, "link": link}


def test_load_orders_without_a_name_count_for_the_gateway_whose_requests_their_connection_carried():
    started = [{"at": 0, "what": "started", "gateway": number, "name": f"g{number}"} for number in (0, 1)]
    tasks = [dict(task(1, "a"), link=5), dict(task(1, "b"), link=6)]
    ends = [of(end(9, name="a"), 0), of(end(9, name="b"), 1)]
    two_each = [order(20 + number, 5 + number % 2) for number in range(4)]  # 2.5 are allowed each
    assert judged({"h1": tasks + two_each}, ends, started) == []
    assert judged({"h1": tasks + two_each + [order(30, 5)]}, ends, started) == [5]
    assert judged({"h1": tasks + two_each + [order(30, 7, "g1")]}, ends, started) == [5]
    assert judged({"h1": tasks + two_each + [order(30, 7)] * 3}, ends, started) == []
