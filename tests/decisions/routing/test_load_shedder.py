"""Requests that are rejected early."""

from helpers import (
    IDEMPOTENT,
    MILLI,
    SECOND,
    Drive,
    row,
    task,
)
from helpers import gateway as make_gateway
from routing_scenes import end_attempt, report_load

from gaproute import interface
from gaproute.decisions.routing.attempt_tracker import InFlightAttempt
from gaproute.decisions.routing.parameters import (
    EVIDENCE_LIFETIME,
    MAX_SAMPLES,
    USUAL_CONCURRENCY,
)
from gaproute.decisions.routing.throughput import REFUSAL_LIFETIME
from gaproute.interface import Result


def report_loads(gateway, count):
    """Reports so many requests at each host, after drain times of 100 ms."""
    gateway.throughput.drain_times.extend([(0, 100 * MILLI)] * MAX_SAMPLES)
    for name in ("a", "b", "c"):
        report_load(gateway, name, count, SECOND)


def test_the_shortest_latency_objective_limits_the_wait_and_low_weights_are_rejected_first():
    short_objective = IDEMPOTENT._replace(latency_objective=SECOND // 2, priority_weight=3.0)
    gateway = make_gateway()
    gateway.answer_times.shortest_objective, gateway.shedder.max_priority_weight = (
        short_objective.latency_objective,
        3.0,
    )
    gateway.throughput.answered_at.extend(range(0, 640 * MILLI, 10 * MILLI))
    gateway.tracker.in_flight = {(str(n), 0): InFlightAttempt("a", "f", 0, n, True) for n in range(75)}
    assert gateway.shedder.is_overloaded(640 * MILLI, task(), IDEMPOTENT)
    assert not gateway.shedder.is_overloaded(640 * MILLI, task(), short_objective)
    gateway.tracker.in_flight = {(str(n), 0): InFlightAttempt("a", "f", 0, n, True) for n in range(70)}
    assert gateway.shedder.is_overloaded(SECOND, task(), short_objective)


def test_a_full_fleet_rejects_at_once():
    gateway = make_gateway()
    gateway.throughput.refusals.extend([(0, True)] * 5 + [(0, False)] * 3)
    assert Drive(gateway, task()).wishes == [interface.Reject(SECOND, interface.RejectReason.OVERLOADED)]
    assert Drive(gateway, task("u"), REFUSAL_LIFETIME).sent  # refusals expire, although no outcome follows
    gateway.throughput.refusals.append((1, False))
    assert Drive(gateway, task("v"), 1).sent


def test_a_long_queue_at_the_best_host_rejects_requests_at_random_and_accepts_some():
    gateway = make_gateway()
    report_loads(gateway, 12)  # an expected wait of 1.2 s
    ended = [Drive(gateway, task(f"t{number}"), SECOND).ended for number in range(40)]
    assert 20 < sum(ended) < 40


def test_a_short_queue_rejects_nothing_and_an_unknown_queue_counts_as_the_usual_load():
    gateway = make_gateway()
    report_loads(gateway, 3)
    assert not any(Drive(gateway, task(f"t{number}"), SECOND).ended for number in range(20))
    gateway = make_gateway(*(row(name) for name in "abcd"))
    report_loads(gateway, 40)
    host = gateway.hosts_by_id["d"]
    assert (
        sum(
            [
                gateway.shedder.should_shed(SECOND, task(), gateway.settings.request_classes[0], host)
                for _ in range(20)
            ]
        )
        > 15
    )


def test_a_request_is_shed_before_its_first_attempt_only():
    gateway = make_gateway()
    drive = Drive(gateway, task())
    report_loads(gateway, 400)
    drive.hears(SECOND // 2, Result.ERROR)
    assert len(drive.sent) == 2


def test_drain_times_expire():
    gateway = make_gateway()
    report_loads(gateway, 12)
    later = SECOND + EVIDENCE_LIFETIME
    for name in ("a", "b", "c"):
        report_load(gateway, name, 12, later)
    assert not any(Drive(gateway, task(f"t{number}"), later).ended for number in range(20))


def test_a_queue_below_the_usual_concurrency_rejects_nothing():
    gateway = make_gateway()
    gateway.throughput.drain_times.extend([(0, 2 * SECOND)] * MAX_SAMPLES)
    report_load(gateway, "a", USUAL_CONCURRENCY - 1, SECOND)
    assert not any(
        gateway.shedder.should_shed(
            SECOND, task(), gateway.settings.request_classes[0], gateway.hosts_by_id["a"]
        )
        for _ in range(20)
    )


def test_a_slow_host_adds_no_drain_time():
    gateway = make_gateway()
    gateway.functions.find_or_add("f", 4).answer_times.extend([100 * MILLI] * MAX_SAMPLES)
    for is_slow in (False, True):
        host = gateway.hosts_by_id["ab"[is_slow]]
        host.relative_answer_times.extend([(SECOND, 9.0 if is_slow else 1.0)] * 4)
        report_load(gateway, host.id, 12, SECOND)
        end_attempt(gateway, host.id, SECOND, 0, duration=900 * MILLI if is_slow else 100 * MILLI)
        assert len(gateway.throughput.drain_times) == 1
