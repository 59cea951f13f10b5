"""Zones that are cut off as a whole."""

from helpers import (
    MILLI,
    SECOND,
    gateway,
    row,
    task,
)
from routing_scenes import heard, ranked

from gaproute.decisions.routing.attempt_tracker import InFlightAttempt
from gaproute.decisions.routing.parameters import (
    EVIDENCE_LIFETIME,
)
from gaproute.decisions.routing.request_attempts import RequestAttempts


def zoned():
    made = gateway(*(row(f"{zone}{number}", zone=zone) for zone in (0, 1) for number in range(3)))
    made.silent_zones.answered_at[1] = 0
    for number in range(2):
        host = made.hosts_by_id[f"1{number}"]
        host.in_flight["x", number] = 1
        made.tracker.in_flight["x", number] = InFlightAttempt(host.id, "g", 0, 1, True)
        host.overdue["x", number] = False
    return made


def test_a_zone_with_two_silent_hosts_is_left_alone_until_it_is_heard():
    made = zoned()
    ranked(made, "12", "00", "01", "02", "10", "11").last_used["12"] = 0
    made.silent_zones.detect(SECOND)
    assert made.selector.choose(SECOND, task(), RequestAttempts()).zone == 0
    heard(made, "10", SECOND, 0)
    assert made.selector.choose(SECOND, task(), RequestAttempts()).id == "12"


def test_one_silent_host_or_a_zone_heard_since_is_no_silent_zone():
    made = zoned()
    made.hosts_by_id["11"].overdue.clear()
    made.silent_zones.detect(SECOND)
    assert not made.silent_zones.silent_until
    made = zoned()
    made.silent_zones.answered_at[1] = 2
    made.silent_zones.detect(SECOND)
    assert not made.silent_zones.silent_until


def test_a_silent_zone_gets_one_trial_in_a_while():
    made = zoned()
    ranked(made, "12", "00", "01", "02", "10", "11").last_used["12"] = SECOND + EVIDENCE_LIFETIME
    made.silent_zones.detect(SECOND)
    now = SECOND + EVIDENCE_LIFETIME
    assert made.selector.choose(now, task(), RequestAttempts()).id == "12"
    made.tracker.record_sent(now, task(), 0, made.hosts_by_id["12"], RequestAttempts())
    assert made.selector.choose(now + MILLI, task("u"), RequestAttempts()).zone == 0
