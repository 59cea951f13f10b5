"""Which requests are rejected early."""

from helpers import (
    IDEMPOTENT,
    MILLI,
    SECOND,
    Drive,
    gateway,
    row,
    task,
)
from routing_scenes import crowd, heard

from gaproute import interface as face
from gaproute.decisions.routing.attempt_tracker import InFlightAttempt
from gaproute.decisions.routing.parameters import (
    EVIDENCE_LIFETIME,
    MAX_SAMPLES,
    USUAL_CONCURRENCY,
)
from gaproute.decisions.routing.throughput import REFUSAL_LIFETIME
from gaproute.interface import Result


def queues(made, count):
    made.throughput.drain_times.extend([(0, 100 * MILLI)] * MAX_SAMPLES)
    for name in ("a", "b", "c"):
        crowd(made, name, count, SECOND)


def test_the_shortest_latency_objective_sets_the_queue_and_least_weight_go_first():
    short = IDEMPOTENT._replace(latency_objective=SECOND // 2, priority_weight=3.0)
    made = gateway()
    made.answer_times.shortest_objective, made.shedder.max_priority_weight = short.latency_objective, 3.0
    made.throughput.answered_at.extend(range(0, 640 * MILLI, 10 * MILLI))
    made.tracker.in_flight = {(str(n), 0): InFlightAttempt("a", "f", 0, n, True) for n in range(75)}
    assert made.shedder.is_overloaded(640 * MILLI, task(), IDEMPOTENT)
    assert not made.shedder.is_overloaded(640 * MILLI, task(), short)
    made.tracker.in_flight = {(str(n), 0): InFlightAttempt("a", "f", 0, n, True) for n in range(70)}
    assert made.shedder.is_overloaded(SECOND, task(), short)


def test_a_full_fleet_rejects_at_once():
    made = gateway()
    made.throughput.refusals.extend([(0, True)] * 5 + [(0, False)] * 3)
    assert Drive(made, task()).wishes == [face.Reject(SECOND, face.RejectReason.OVERLOADED)]
    assert Drive(made, task("u"), REFUSAL_LIFETIME).sent  # nothing may come any more: refusals age
    made.throughput.refusals.append((1, False))
    assert Drive(made, task("v"), 1).sent


def test_a_long_queue_at_the_best_host_rejects_requests_by_chance_and_lets_some_through():
    made = gateway()
    queues(made, 12)  # 1.2 s expected
    ended = [Drive(made, task(f"t{number}"), SECOND).ended for number in range(40)]
    assert 20 < sum(ended) < 40


def test_a_short_queue_rejects_nothing_and_an_unknown_one_counts_as_the_usual():
    made = gateway()
    queues(made, 3)
    assert not any(Drive(made, task(f"t{number}"), SECOND).ended for number in range(20))
    made = gateway(*(row(name) for name in "abcd"))
    queues(made, 40)
    host = made.hosts_by_id["d"]
    assert (
        sum(
            [
                made.shedder.should_shed(SECOND, task(), made.settings.request_classes[0], host)
                for _ in range(20)
            ]
        )
        > 15
    )


def test_a_request_is_shed_before_its_first_attempt_only():
    made = gateway()
    drive = Drive(made, task())
    queues(made, 400)
    drive.hears(SECOND // 2, Result.ERROR)
    assert len(drive.sent) == 2


def test_the_pace_of_queues_is_forgotten_when_no_queue_has_shown_it_lately():
    made = gateway()
    queues(made, 12)
    late = SECOND + EVIDENCE_LIFETIME
    for name in ("a", "b", "c"):
        crowd(made, name, 12, late)
    assert not any(Drive(made, task(f"t{number}"), late).ended for number in range(20))


def test_a_queue_shorter_than_a_host_runs_at_once_promises_no_wait():
    made = gateway()
    made.throughput.drain_times.extend([(0, 2 * SECOND)] * MAX_SAMPLES)
    crowd(made, "a", USUAL_CONCURRENCY - 1, SECOND)
    assert not any(
        made.shedder.should_shed(SECOND, task(), made.settings.request_classes[0], made.hosts_by_id["a"])
        for _ in range(20)
    )


def test_a_slow_host_sets_no_pace_for_the_others_queues():
    made = gateway()
    made.functions.find_or_add("f", 4).answer_times.extend([100 * MILLI] * MAX_SAMPLES)
    for slow in (0, 1):
        host = made.hosts_by_id["ab"[slow]]
        host.relative_answer_times.extend([(SECOND, 9.0 if slow else 1.0)] * 4)
        crowd(made, host.id, 12, SECOND)
        heard(made, host.id, SECOND, 0, took=900 * MILLI if slow else 100 * MILLI)
        assert len(made.throughput.drain_times) == 1
