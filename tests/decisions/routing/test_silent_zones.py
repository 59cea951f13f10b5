"""Zones from which no host answers."""

from helpers import (
    MILLI,
    SECOND,
    row,
    task,
)
from helpers import gateway as make_gateway
from routing_scenes import end_attempt, set_ranks

from gaproute.decisions.routing.attempt_tracker import InFlightAttempt
from gaproute.decisions.routing.parameters import (
    EVIDENCE_LIFETIME,
)
from gaproute.decisions.routing.request_attempts import RequestAttempts


def make_gateway_with_overdue_attempts():
    """Returns a gateway with two zones of three hosts; two hosts of zone 1 have an overdue attempt."""
    gateway = make_gateway(*(row(f"{zone}{number}", zone=zone) for zone in (0, 1) for number in range(3)))
    gateway.silent_zones.answered_at[1] = 0
    for number in range(2):
        host = gateway.hosts_by_id[f"1{number}"]
        host.in_flight["x", number] = 1
        gateway.tracker.in_flight["x", number] = InFlightAttempt(host.id, "g", 0, 1, True)
        host.overdue["x", number] = False
    return gateway


def test_a_zone_with_two_silent_hosts_is_avoided_until_one_answers():
    gateway = make_gateway_with_overdue_attempts()
    set_ranks(gateway, "12", "00", "01", "02", "10", "11").last_used["12"] = 0
    gateway.silent_zones.detect(SECOND)
    assert gateway.selector.choose(SECOND, task(), RequestAttempts()).zone == 0
    end_attempt(gateway, "10", SECOND, 0)
    assert gateway.selector.choose(SECOND, task(), RequestAttempts()).id == "12"


def test_one_silent_host_or_a_later_answer_makes_no_silent_zone():
    gateway = make_gateway_with_overdue_attempts()
    gateway.hosts_by_id["11"].overdue.clear()
    gateway.silent_zones.detect(SECOND)
    assert not gateway.silent_zones.silent_until
    gateway = make_gateway_with_overdue_attempts()
    gateway.silent_zones.answered_at[1] = 2
    gateway.silent_zones.detect(SECOND)
    assert not gateway.silent_zones.silent_until


def test_a_silent_zone_gets_one_attempt_at_a_time():
    gateway = make_gateway_with_overdue_attempts()
    set_ranks(gateway, "12", "00", "01", "02", "10", "11").last_used["12"] = SECOND + EVIDENCE_LIFETIME
    gateway.silent_zones.detect(SECOND)
    now = SECOND + EVIDENCE_LIFETIME
    assert gateway.selector.choose(now, task(), RequestAttempts()).id == "12"
    gateway.tracker.record_sent(now, task(), 0, gateway.hosts_by_id["12"], RequestAttempts())
    assert gateway.selector.choose(now + MILLI, task("u"), RequestAttempts()).zone == 0
