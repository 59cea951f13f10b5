"""What the platform's gateway logs: its status, traced requests, and no more than its limit of lines."""

import json
import os

from gaproute.discovery.changelog import events
from gaproute.platform.log import Log
from gaproute.standins.platform import event
from gaproute.telemetry.record import GatewayRecord


def test_a_status_line_tells_of_hosts_in_use_and_does_not_grow_with_the_list(gate):
    made = gate()
    made.process.host_list.apply(
        events.decode_initial_events(
            {
                "seq": 2,
                "results": [
                    event(
                        2,
                        *[(f"far-{number}", "127.0.0.1:9", "Ready") for number in range(1000)],
                        complete=True,
                    )
                ],
            }
        )[1][0]
    )
    made.lines.clear()
    made.process.status.write()
    status = dict(made.lines)["status"]
    assert len(made.process.host_client.hosts) >= 1000
    assert len(status["host_estimates"]) + len(status["host_connections"]) <= 1


def test_the_log_drops_what_comes_too_fast_and_says_how_much():
    reader, writer = os.pipe()
    clock = [10.0]
    log = Log(writer, monotonic_clock=lambda: clock[0])
    for number in range(250):
        log.info("x", number=number)
    clock[0] = 11.0
    log.info("y")
    os.close(writer)
    with os.fdopen(reader) as file:
        lines = [json.loads(line) for line in file]
    assert len(lines) == 201
    assert lines[-1]["dropped_lines"] == 50


def test_one_task_is_followed_by_its_id_through_every_step(gate):
    made = gate(followed=1)
    client = made.client()
    client.ask(1)
    made.until(lambda: client.answers)
    steps = [fields for what, fields in made.lines if what == "request_step"]
    assert [fields["step"] for fields in steps] == [
        "received",
        "attempt_started",
        "delivered",
        "attempt_ended",
    ]
    assert len({fields["request_id"] for fields in steps}) == 1
    assert steps[1]["host"] == "s-0"


def test_of_many_tasks_few_are_followed_and_the_same_ones_everywhere():
    marks = [f"{number:016x}" for number in range(6400)]
    followed = [mark for mark in marks if GatewayRecord(None, ()).is_traced(mark)]
    again = [mark for mark in marks if GatewayRecord(None, ()).is_traced(mark)]
    assert 100 < len(followed) < 400
    assert followed == again
    assert not any(GatewayRecord(None, (), 0).is_traced(mark) for mark in marks)
