"""Which attempts follow a failed attempt, by the idempotency of the request, as counted at the hosts."""

import json

import pytest
from gateway_answers import outcome
from helpers import MILLI


def test_a_non_idempotent_request_without_an_answer_is_not_retried_and_fails_in_time(rig):
    testbed = rig(hosts=3)
    for host in testbed.hosts:
        host.command({"trouble": "lost"})
    started_at = testbed.loop.now()
    answer = testbed.wait(testbed.ask("crew", "r1"))
    assert answer.status == 504
    assert outcome(answer) == "scrapped"
    assert "scrapped" in json.loads(answer.body)["error"]
    assert testbed.loop.now() - started_at < 1200 * MILLI
    testbed.rest(200 * MILLI)
    assert len(testbed.seen("task", id="r1")) == 1


@pytest.mark.parametrize("trouble", ["reset", "cut", "fail"])
def test_a_non_idempotent_request_that_may_have_run_is_not_retried(rig, trouble):
    testbed = rig(hosts=3)
    for host in testbed.hosts:
        host.command({"trouble": trouble})
    answer = testbed.wait(testbed.ask("crew", "r2"))
    assert outcome(answer) == "scrapped"
    assert len(testbed.seen("task", id="r2")) == 1


def test_a_non_idempotent_request_that_hosts_refused_is_retried_and_may_be_rejected(rig):
    testbed = rig(hosts=3)
    for host in testbed.hosts:
        host.command({"trouble": "refuse"})
    answer = testbed.wait(testbed.ask("crew", "r3"))
    assert answer.status == 503
    assert outcome(answer) == "declined"
    assert int(answer.headers[b"retry-after"]) >= 1
    assert int(answer.headers[b"gaproute-retry-after-ms"]) == 600
    assert {event["status"] for event in testbed.seen("said", id="r3")} == {429}


def test_an_idempotent_request_is_retried_at_another_host(rig):
    testbed = rig(hosts=3)
    first_answer = testbed.wait(testbed.ask("lamp", "a"))
    serving_host = json.loads(first_answer.body)["outputs"][0]["data"][0]
    testbed.hosts[int(serving_host[1:])].command({"trouble": "reset"})
    answer = testbed.wait(testbed.ask("lamp", "b"))
    assert outcome(answer) == "delivered"
    assert answer.headers[b"gaproute-relays"] == b"2"


def test_a_request_idempotent_with_a_key_is_retried_in_its_rack_with_the_same_key(rig):
    testbed = rig(hosts=3)  # each in a rack of its own
    for host in testbed.hosts:
        host.command({"trouble": "reset"})
    testbed.wait(testbed.ask("dim", "d"))
    attempts = testbed.seen("task", id="d")
    assert len(attempts) > 1
    assert len({event["mark"] for event in attempts}) == 1
    assert sum(any(event["what"] == "task" for event in tap.events) for tap in testbed.taps) == 1
