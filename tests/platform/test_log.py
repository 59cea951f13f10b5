"""What the platform's gateway logs: its status, traced requests, and lines up to its rate limit."""

import json
import os

from gaproute.discovery.changelog import events
from gaproute.platform.log import Log
from gaproute.standins.platform import event
from gaproute.telemetry.record import GatewayRecord


def test_a_status_line_lists_only_hosts_in_use_however_long_the_host_list_is(gate):
    gateway = gate()
    gateway.process.host_list.apply(
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
    gateway.lines.clear()
    gateway.process.status.write()
    status = dict(gateway.lines)["status"]
    assert len(gateway.process.host_client.hosts) >= 1000
    assert len(status["host_estimates"]) + len(status["host_connections"]) <= 1


def test_the_log_drops_lines_over_its_rate_limit_and_reports_their_number():
    read_end, write_end = os.pipe()
    now = [10.0]
    log = Log(write_end, monotonic_clock=lambda: now[0])
    for number in range(250):
        log.info("x", number=number)
    now[0] = 11.0
    log.info("y")
    os.close(write_end)
    with os.fdopen(read_end) as file:
        lines = [json.loads(line) for line in file]
    assert len(lines) == 201
    assert lines[-1]["dropped_lines"] == 50


def test_every_step_of_a_traced_request_is_logged_under_its_id(gate):
    gateway = gate(followed=1)
    client = gateway.client()
    client.ask(1)
    gateway.until(lambda: client.answers)
    steps = [fields for event_name, fields in gateway.lines if event_name == "request_step"]
    assert [fields["step"] for fields in steps] == [
        "received",
        "attempt_started",
        "delivered",
        "attempt_ended",
    ]
    assert len({fields["request_id"] for fields in steps}) == 1
    assert steps[1]["host"] == "s-0"


def test_a_small_share_of_requests_is_traced_and_the_same_ones_by_every_record():
    request_ids = [f"{number:016x}" for number in range(6400)]
    traced = [request_id for request_id in request_ids if GatewayRecord(None, ()).is_traced(request_id)]
    traced_elsewhere = [
        request_id for request_id in request_ids if GatewayRecord(None, ()).is_traced(request_id)
    ]
    assert 100 < len(traced) < 400
    assert traced == traced_elsewhere
    assert not any(GatewayRecord(None, (), 0).is_traced(request_id) for request_id in request_ids)
