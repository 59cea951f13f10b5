"""Which attempts follow one that failed, by the idempotency of the request; counted at the hosts."""

import json

import pytest
from gateway_answers import outcome
from helpers import MILLI


def test_an_effectful_task_whose_answer_never_returns_goes_to_no_second_host_and_is_scrapped_in_time(rig):
    made = rig(hosts=3)
    for host in made.hosts:
        host.command({"trouble": "lost"})
    asked = made.loop.now()
    answer = made.wait(made.ask("crew", "r1"))
    assert answer.status == 504
    assert outcome(answer) == "scrapped"
    assert "scrapped" in json.loads(answer.body)["error"]
    assert made.loop.now() - asked < 1200 * MILLI
    made.rest(200 * MILLI)
    assert len(made.seen("task", id="r1")) == 1


@pytest.mark.parametrize("trouble", ["reset", "cut", "fail"])
def test_an_effectful_task_that_may_have_run_is_not_sent_again(rig, trouble):
    made = rig(hosts=3)
    for host in made.hosts:
        host.command({"trouble": trouble})
    answer = made.wait(made.ask("crew", "r2"))
    assert outcome(answer) == "scrapped"
    assert len(made.seen("task", id="r2")) == 1


def test_an_effectful_task_that_a_host_refused_may_go_on_and_be_declined(rig):
    made = rig(hosts=3)
    for host in made.hosts:
        host.command({"trouble": "refuse"})
    answer = made.wait(made.ask("crew", "r3"))
    assert answer.status == 503
    assert outcome(answer) == "declined"
    assert int(answer.headers[b"retry-after"]) >= 1
    assert int(answer.headers[b"gaproute-retry-after-ms"]) == 600
    assert {event["status"] for event in made.seen("said", id="r3")} == {429}


def test_a_pure_task_goes_to_another_host_after_a_failure(rig):
    made = rig(hosts=3)
    first = made.wait(made.ask("lamp", "a"))
    served = json.loads(first.body)["outputs"][0]["data"][0]
    made.hosts[int(served[1:])].command({"trouble": "reset"})
    answer = made.wait(made.ask("lamp", "b"))
    assert outcome(answer) == "delivered"
    assert answer.headers[b"gaproute-relays"] == b"2"


def test_a_receipted_task_stays_in_its_group_with_its_mark(rig):
    made = rig(hosts=3)  # each a rack of its own
    for host in made.hosts:
        host.command({"trouble": "reset"})
    made.wait(made.ask("dim", "d"))
    seen = made.seen("task", id="d")
    assert len(seen) > 1
    assert len({event["mark"] for event in seen}) == 1
    assert sum(any(event["what"] == "task" for event in tap.events) for tap in made.taps) == 1
